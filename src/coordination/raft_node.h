// One voter or learner of a replicated log: Raft (Ongaro and Ousterhout 2014) with pre-vote, check-quorum, learners,
// one-at-a-time membership change, snapshots, log compaction and leadership transfer. Performs no I/O, reads no clock, and is
// deterministic for a given seed.
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
using protocol::incarnation_ended;
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
    std::size_t maxBytesPerAppend = 1024 * 1024; // exceeded only by a single larger entry
    std::size_t maxInflightAppends = 4; // per peer; later entries wait for the next append

    // In a group of an even number, half of the voters decide once one of the others is known to have ended
    // (internal/raft_quorum.h). For groups in which an incarnation that ended never returns.
    bool discountsEndedVoters = false;
};

// Initial state of a member: only a membership for a new group, or the state read from disk.
struct raft_initial_state {
    raft_hard_state hardState;
    raft_snapshot snapshot; // at index 0: the membership of a new group; empty for a member that a leader adds later
    std::vector<raft_entry> entries; // entries after the snapshot, contiguous
};

// Work for the owner, in this order: store hardState, snapshot and entries (and sync them), send the messages, apply the
// committed entries.
struct raft_ready {
    std::optional<raft_hard_state> hardState;
    std::optional<raft_snapshot> snapshot; // replaces the state machine, the log and the membership
    std::vector<raft_entry> entries; // to append; they overwrite stored entries from the first one's index on
    std::vector<raft_message> messages;
    std::vector<raft_entry> committed; // to apply in order
    bool wantsSnapshot = false; // a peer needs a snapshot: after applying, call compact() with the state machine's data

    bool isEmpty() const
    {
        return !hardState && !snapshot && entries.empty() && messages.empty() && committed.empty() && !wantsSnapshot;
    }
};

enum class raft_role {
    learner, // also a member that the known membership does not contain
    follower,
    candidate, // also during the pre-vote
    leader
};

// Replies to the vote requests of the last election or pre-vote that this member started.
struct raft_election {
    std::uint64_t number = 0; // counts the elections and pre-votes of this member; 0: none yet
    bool isPreVote = false;
    std::vector<raft_member_id> granted; // includes this member
    std::vector<raft_member_id> refused; // voters in neither list did not reply
};

struct raft_proposal {
    std::uint64_t index = 0;
    std::uint64_t term = 0; // if an entry of another term is committed at the index, the proposal was lost
};

class raft_node {
public:
    raft_node(raft_settings settings, raft_initial_state initial, time_point now);
    ~raft_node();

    void step(time_point now, const raft_message& message);
    void advance(time_point now);
    time_point nextTimer() const;

    // Appends a command on the leader; std::nullopt on other members and during a leadership transfer. The command is
    // accepted once its entry appears in raft_ready::committed.
    std::optional<raft_proposal> propose(time_point now, std::string command);

    // Appends a membership change on the leader. Returns std::nullopt during a leadership transfer and unless the previous
    // change and an entry of the current term are committed, at most one voter is added or removed, the voters include no
    // two incarnations of one host, and an added voter is a learner that has caught up.
    std::optional<raft_proposal> proposeMembership(time_point now, const raft_membership& wanted);

    // Returns and clears the pending work. Must be called after step(), advance() and the proposals; proposals made between
    // two calls are sent in one append.
    raft_ready takeReady();

    // Replaces the log up to the index, which must be applied, by a snapshot of the state machine at that index.
    void compact(std::uint64_t index, std::string data);

    // Compacts without snapshot data; raft_ready::wantsSnapshot requests the data when a peer needs it. For in-memory groups.
    void compactLazily(std::uint64_t index);

    // Transfers leadership to the most up-to-date reachable voter, before a planned stop. Proposals are refused during the
    // transfer; if it does not succeed within maxElectionTimeout, this member continues as leader.
    void transferLeadership(time_point now);

    raft_role role() const;
    std::uint64_t term() const;
    std::uint64_t commitIndex() const;
    std::uint64_t lastIndex() const;
    std::optional<raft_member_id> leader() const;
    const raft_membership& membership() const;
    std::size_t storedEntries() const;
    const raft_election& lastElection() const;

    // The voters that are known to have stored the entry at the index; empty on other members than the leader.
    std::vector<raft_member_id> votersWithEntry(std::uint64_t index) const;

    // True only on the leader, for a reachable member that needs no probe or snapshot and is at most one append
    // (maxEntriesPerAppend) behind the commit index.
    bool isCaughtUp(time_point now, const raft_member_id& member) const;

    // True only on the leader, for a member that was heard from within the last minElectionTimeout.
    bool isReachable(time_point now, const raft_member_id& member) const;

    // True only on the leader, for another member that was not heard from within the limit, of which all was spent leading.
    bool isSilent(time_point now, const raft_member_id& member, duration limit) const;

    // The ended voter that does not count in this election or term; std::nullopt if all count.
    const std::optional<raft_member_id>& discountedVoter() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::coordination
