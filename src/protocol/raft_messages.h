// Raft messages and records. coordination/raft_node.h implements the algorithm.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace jackdaw::protocol {

// Identifies one incarnation of a member. A member that lost its state rejoins as a new incarnation.
struct raft_member_id {
    std::string host;
    std::uint64_t incarnation = 0;

    friend bool operator==(const raft_member_id&, const raft_member_id&) = default;
    friend auto operator<=>(const raft_member_id& left, const raft_member_id& right)
    {
        return std::tie(left.host, left.incarnation) <=> std::tie(right.host, right.incarnation);
    }
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

// Must be durable before any message that depends on it is sent; groups without storage keep it in memory only.
struct raft_hard_state {
    std::uint64_t term = 0;
    std::optional<raft_member_id> votedFor;

    friend bool operator==(const raft_hard_state&, const raft_hard_state&) = default;
};

struct vote_request {
    bool preVote = false; // does not change the term or vote of any member
    bool leadershipTransfer = false; // the leader requested this election, so leader stickiness does not apply
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;

    friend bool operator==(const vote_request&, const vote_request&) = default;
};

struct vote_reply {
    bool preVote = false;
    bool granted = false;

    friend bool operator==(const vote_reply&, const vote_reply&) = default;
};

// Without entries it is a heartbeat.
struct append_request {
    std::uint64_t previousIndex = 0;
    std::uint64_t previousTerm = 0;
    std::uint64_t commitIndex = 0;
    std::vector<raft_entry> entries;

    friend bool operator==(const append_request&, const append_request&) = default;
};

struct append_reply {
    bool accepted = false;
    std::uint64_t matchIndex = 0; // accepted: last replicated entry; else: the leader retries from the entry after this one
    std::uint64_t previousIndex = 0; // of the request that this answers

    friend bool operator==(const append_reply&, const append_reply&) = default;
};

struct snapshot_request {
    raft_snapshot snapshot;

    friend bool operator==(const snapshot_request&, const snapshot_request&) = default;
};

// The leader asks the receiver to start an election immediately.
struct timeout_now_request {
    friend bool operator==(const timeout_now_request&, const timeout_now_request&) = default;
};

// Answers a message to another incarnation of the sender's host: that one has ended and will never send again. The message's
// term is 0, as the sender may be in no group.
struct incarnation_ended {
    std::uint64_t incarnation = 0;

    friend bool operator==(const incarnation_ended&, const incarnation_ended&) = default;
};

struct raft_message {
    raft_member_id from;
    raft_member_id to;
    std::uint64_t term = 0;
    std::variant<vote_request, vote_reply, append_request, append_reply, snapshot_request, timeout_now_request, incarnation_ended> body;

    friend bool operator==(const raft_message&, const raft_message&) = default;
};

} // namespace jackdaw::protocol
