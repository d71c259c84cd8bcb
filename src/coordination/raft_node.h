// One voter or learner of a replicated log: Raft (Ongaro and Ousterhout 2014) with pre-vote, check-quorum, learners,
// one-at-a-time membership change, snapshots, log compaction and leadership transfer. Pure decision code under a seed.
#pragma once

#include "protocol/raft_messages.h"
#include "protocol/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::coordination {

using protocol::duration;
using protocol::time_point;

using protocol::append_reply;
using protocol::append_request;
using protocol::raft_entry;
using protocol::raft_entry_kind;
using protocol::raft_hard_state;
using protocol::raft_member_id;
using protocol::raft_membership;
using protocol::raft_message;
using protocol::raft_snapshot;
using protocol::snapshot_request;
using protocol::timeout_now_request;
using protocol::vote_reply;
using protocol::vote_request;

struct raft_settings {
    raft_member_id self;
    std::uint64_t seed = 1;
    duration heartbeat = std::chrono::milliseconds(100);
    duration minElectionTimeout = std::chrono::milliseconds(500);
    duration maxElectionTimeout = std::chrono::milliseconds(1000);
    std::size_t maxEntriesPerAppend = 256;
    std::size_t maxBytesPerAppend = 1024 * 1024; // exceeded only by a single entry that is larger
    std::size_t maxInflightAppends = 4; // for each peer; what comes meanwhile goes into the next append
};

// What a member starts from: nothing but a membership for a new group, or what was on disk.
struct raft_initial_state {
    raft_hard_state hardState;
    raft_snapshot snapshot; // at index 0: the membership of a new group; empty for a member that is to be invited
    std::vector<raft_entry> entries; // those after the snapshot, without gaps
};

// What the owner must do, in this order: store hardState, snapshot and entries (and sync them), send the messages,
// apply the committed entries.
struct raft_ready {
    std::optional<raft_hard_state> hardState;
    std::optional<raft_snapshot> snapshot; // replaces state machine, log and membership
    std::vector<raft_entry> entries; // to append; the first one's index may overwrite a stored tail
    std::vector<raft_message> messages;
    std::vector<raft_entry> committed; // to apply in order
    bool wantsSnapshot = false; // after applying: call compact() with the state machine's data, a peer needs it

    bool isEmpty() const
    {
        return !hardState && !snapshot && entries.empty() && messages.empty() && committed.empty() && !wantsSnapshot;
    }
};

enum class raft_role {
    learner, // also a member that no known membership names
    follower,
    candidate, // also while it asks for pre-votes
    leader
};

struct raft_proposal {
    std::uint64_t index = 0;
    std::uint64_t term = 0; // committed under another term: the proposal was lost
};

class raft_node {
public:
    raft_node(raft_settings settings, raft_initial_state initial, time_point now);
    ~raft_node();

    void step(time_point now, const raft_message& message);
    void advance(time_point now);
    time_point nextTimer() const;

    // Only on the leader, else std::nullopt. The command is accepted once the entry comes back in committed.
    std::optional<raft_proposal> propose(time_point now, std::string_view command);

    // Only on the leader, one at a time, at most one voter more or fewer, never two incarnations of one host among the
    // voters; a new voter must be a learner that has caught up. Else std::nullopt.
    std::optional<raft_proposal> proposeMembership(time_point now, const raft_membership& wanted);

    // Takes what there is to do. To be called after every step, advance and propose.
    // Proposals made between two calls travel together.
    raft_ready takeReady();

    // Drops the log up to the index, which must be applied; the data is the state machine's at that index.
    void compact(std::uint64_t index, std::string data);

    // The same without data: raft_ready::wantsSnapshot asks for it if a peer ever needs it. For groups in memory.
    void compactLazily(std::uint64_t index);

    // Hands leadership to the most up-to-date voter, for a planned stop. Proposals are refused meanwhile; without success
    // within maxElectionTimeout the leader goes on.
    void transferLeadership(time_point now);

    raft_role role() const;
    std::uint64_t term() const;
    std::uint64_t commitIndex() const;
    std::uint64_t lastIndex() const;
    std::optional<raft_member_id> leader() const;
    const raft_membership& membership() const;
    std::size_t storedEntries() const;

    // On the leader: heard from within the last election timeout, and short of the commit index by one append at most.
    bool isCaughtUp(time_point now, const raft_member_id& member) const;

    // On the leader: heard from within the last election timeout.
    bool isReachable(time_point now, const raft_member_id& member) const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::coordination
