// One voter or learner of a replicated log: Raft (Ongaro and Ousterhout 2014) with pre-vote, check-quorum, learners,
// one-at-a-time membership change, snapshots and log compaction. Pure decision code under a seed.
#pragma once

#include "protocol/error_kind.h"
#include "protocol/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jackdaw::coordination {

using protocol::duration;
using protocol::time_point;

// Names one incarnation of a member. A member that lost its state returns as a new incarnation.
struct raft_member_id {
    std::string host;
    std::uint64_t incarnation = 0;

    friend bool operator==(const raft_member_id&, const raft_member_id&) = default;
    friend auto operator<=>(const raft_member_id&, const raft_member_id&) = default;
};

struct raft_membership {
    std::vector<raft_member_id> voters;
    std::vector<raft_member_id> learners;

    friend bool operator==(const raft_membership&, const raft_membership&) = default;
};

enum class raft_entry_kind : std::uint8_t {
    noop,
    command,
    membership
};

struct raft_entry {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    raft_entry_kind kind = raft_entry_kind::noop;
    std::string data; // the command's bytes
    raft_membership membership; // for entries of kind membership

    friend bool operator==(const raft_entry&, const raft_entry&) = default;
};

struct raft_snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    raft_membership membership;
    std::string data; // the state machine's bytes

    friend bool operator==(const raft_snapshot&, const raft_snapshot&) = default;
};

// Must be on disk before messages that rest on it are sent (a no-op for groups in memory).
struct raft_hard_state {
    std::uint64_t term = 0;
    std::optional<raft_member_id> vote;

    friend bool operator==(const raft_hard_state&, const raft_hard_state&) = default;
};

struct vote_request {
    bool preVote = false;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
};

struct vote_reply {
    bool preVote = false;
    bool granted = false;
};

struct append_request {
    std::uint64_t previousIndex = 0;
    std::uint64_t previousTerm = 0;
    std::uint64_t commit = 0;
    std::vector<raft_entry> entries;
};

struct append_reply {
    bool accepted = false;
    std::uint64_t matchIndex = 0; // accepted: replicated up to here; else: try from here
};

struct snapshot_request {
    raft_snapshot snapshot;
};

struct raft_message {
    raft_member_id from;
    raft_member_id to;
    std::uint64_t term = 0;
    std::variant<vote_request, vote_reply, append_request, append_reply, snapshot_request> body;
};

struct raft_settings {
    raft_member_id self;
    std::uint64_t seed = 1;
    duration heartbeat = std::chrono::milliseconds(100);
    duration minElectionTimeout = std::chrono::milliseconds(500);
    duration maxElectionTimeout = std::chrono::milliseconds(1000);
    std::size_t maxEntriesPerAppend = 256;
    std::size_t maxBytesPerAppend = 1024 * 1024;
};

// What a member starts from: nothing but a membership for a new group, or what was on disk.
struct raft_initial_state {
    raft_hard_state hardState;
    raft_snapshot snapshot; // its membership is the group's first one when nothing else is stored
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

    bool isEmpty() const
    {
        return !hardState && !snapshot && entries.empty() && messages.empty() && committed.empty();
    }
};

enum class raft_role {
    learner,
    follower,
    candidate,
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

    // Only on the leader, one at a time, at most one voter more or fewer: else std::nullopt.
    std::optional<raft_proposal> proposeMembership(time_point now, const raft_membership& wanted);

    // Takes what there is to do. To be called after every step, advance and propose.
    raft_ready takeReady();

    // Drops the log up to the index, which must be applied; the data is the state machine's at that index.
    void compact(std::uint64_t index, std::string data);

    // Hands leadership to the most up-to-date voter; for a planned stop.
    void transferLeadership(time_point now);

    raft_role role() const;
    std::uint64_t term() const;
    std::uint64_t commitIndex() const;
    std::uint64_t lastIndex() const;
    std::optional<raft_member_id> leader() const;
    const raft_membership& membership() const;
    std::size_t storedEntries() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::coordination
