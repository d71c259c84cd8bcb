// Messages and records of claims. A claim states which entry host coordinates a submission; coordination/claim_service.h
// decides on claims.
#pragma once

#include "protocol/raft_messages.h"
#include "protocol/submission_id.h"
#include "protocol/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jackdaw::protocol {

// One incarnation of an entry process, which runs the jobs whose claims it was granted.
struct claim_coordinator {
    std::string host;
    std::uint64_t incarnation = 0; // random, drawn at each start

    friend bool operator==(const claim_coordinator&, const claim_coordinator&) = default;
};

struct claim_entry {
    submission_id submission;
    std::uint64_t attempt = 0; // sequence number of the coordinator's claims; a resent claim keeps its number
    std::uint64_t bodyHash = 0;

    friend bool operator==(const claim_entry&, const claim_entry&) = default;
};

struct claim_batch {
    claim_coordinator coordinator;
    std::vector<claim_entry> claims;

    friend bool operator==(const claim_batch&, const claim_batch&) = default;
};

// One command in the log of a claim group.
struct claim_command {
    unix_milliseconds time {}; // the leader's clock; the time of the group is the maximum over all commands
    std::optional<unix_milliseconds> knownSince; // set by the command that opens a generation; later values are ignored
    std::vector<claim_batch> batches;

    friend bool operator==(const claim_command&, const claim_command&) = default;
};

enum class claim_outcome : std::uint8_t {
    granted = 0, // to this coordinator and attempt, and never to another one
    held = 1, // by another attempt
    mismatch = 2, // held for a submission with another body
    too_old = 3, // the group's records do not reach back to the time stamp of the submission
    from_future = 4 // the time stamp is ahead of the group's time by more than the clock margin: granted to no coordinator
};

struct claim_answer {
    submission_id submission;
    std::uint64_t attempt = 0;
    claim_outcome outcome = claim_outcome::too_old;
    claim_coordinator holder; // set for granted, held and mismatch

    friend bool operator==(const claim_answer&, const claim_answer&) = default;
};

// Identifies one generation of a zone's claim group by the member that bootstrapped it.
using claim_generation = raft_member_id;

struct claim_hello {
    std::uint64_t incarnation = 0; // member incarnation of the sender
    std::optional<claim_generation> generation; // empty: not a member of any generation
    bool wantsReply = false;

    friend bool operator==(const claim_hello&, const claim_hello&) = default;
};

struct claim_bootstrap {
    claim_generation generation;
    std::vector<raft_member_id> voters;

    friend bool operator==(const claim_bootstrap&, const claim_bootstrap&) = default;
};

struct claim_raft_message {
    claim_generation generation;
    raft_message message;

    friend bool operator==(const claim_raft_message&, const claim_raft_message&) = default;
};

struct claim_request {
    claim_batch batch;

    friend bool operator==(const claim_request&, const claim_request&) = default;
};

struct claim_reply {
    std::uint64_t incarnation = 0; // of the requesting coordinator
    std::vector<claim_answer> answers;

    friend bool operator==(const claim_reply&, const claim_reply&) = default;
};

// Answer to a request that reached a host other than the leader.
struct claim_redirect {
    std::string leaderHost; // empty: unknown

    friend bool operator==(const claim_redirect&, const claim_redirect&) = default;
};

using claim_message = std::variant<claim_hello, claim_bootstrap, claim_raft_message, claim_request, claim_reply, claim_redirect>;

} // namespace jackdaw::protocol
