// One member of the control group: the replicated log with its storage, and the rules it decides on.
//
// Has no sockets, threads or clock: messages leave through a hook, and time comes with the calls.
#pragma once

#include "apps/control/control_storage.h"
#include "coordination/raft_node.h"
#include "coordination/rules_store.h"
#include "protocol/result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jackdaw::control {

using protocol::duration;
using protocol::time_point;

struct control_node_settings {
    storage_settings storage;
    std::uint64_t seed = 1; // of the election timeouts
    duration heartbeat = std::chrono::milliseconds(100);
    duration minElectionTimeout = std::chrono::milliseconds(500);
    duration changeTimeout = std::chrono::seconds(5);
    duration reopenInterval = std::chrono::milliseconds(500); // between two tries to open a storage that failed
    std::size_t compactAfterEntries = 256;
    std::size_t toleratedLosses = 0; // disks that may be lost at once, with all other hosts down, without loss of a change
    std::size_t expectedHosts = 1; // hosts of the group that the settings name; more are known once they are heard
    bool removesSilentVoters = false; // down to the number that toleratedLosses needs
};

struct control_node_hooks {
    std::function<void(const coordination::raft_message& message)> send;
    std::function<void()> onNewVersion; // another version of the rules is in force
    std::function<void()> onNewEvacuation = {}; // an evacuation order was applied and changed a zone
};

struct control_node_status {
    coordination::raft_role role = coordination::raft_role::learner;
    std::uint64_t term = 0;
    std::uint64_t commitIndex = 0;
    std::uint64_t journalBytes = 0;
    std::size_t storedEntries = 0;
    std::string storageFailure; // empty: the storage works
    std::optional<coordination::raft_member_id> leader;
    coordination::raft_membership membership; // the newest one in the log, maybe not committed yet
    coordination::raft_election lastElection;
    std::optional<coordination::raft_member_id> discountedVoter; // an ended voter that does not count in this election or term
};

class control_node {
public:
    using change_completion = std::function<void(protocol::result<coordination::change_answer> answer)>;

    control_node(control_node_settings settings, control_storage storage, control_node_hooks hooks, time_point now);
    ~control_node();

    void step(time_point now, const coordination::raft_message& message);

    // A member of a host of this group is alive, though maybe not in the membership yet: a leader takes it in, in place of
    // its host's earlier incarnation.
    void hearMember(time_point now, const coordination::raft_member_id& member);

    void advance(time_point now);
    time_point nextTimer() const;

    // The completion runs once: when the change is committed and applied, or with not_leader, storage_failed, timed_out.
    // not_leader also while there are fewer voters than toleratedLosses needs and known hosts could be voters.
    void change(time_point now, coordination::rules_change change, change_completion done);

    // Hands leadership on; for a planned stop.
    void transferLeadership(time_point now);

    // For a planned stop: asks the leader to remove this voter, where the group has one more than it needs.
    // To be repeated while it returns true: the request is under way. The caller no longer announces this member to the others.
    bool requestRemoval();

    // True on a leader that has applied all that was committed before its term.
    bool isServingLeader() const;
    std::optional<coordination::raft_member_id> leader() const;
    coordination::raft_member_id self() const; // a storage that is opened again can begin a new incarnation
    const coordination::raft_membership& membership() const;
    const coordination::rules_store& rules() const; // the newest applied; never goes back
    control_node_status status() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::control
