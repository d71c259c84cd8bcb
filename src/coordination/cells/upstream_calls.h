// Calls from a cell's dispatcher to upstreams that run tasks under leases and fencing tokens, and the answers to them.
#pragma once

#include "protocol/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jackdaw::cells {

// Identifies one start of a task.
struct run_id {
    std::string task; // unique; made of job, occurrence, step and index
    std::uint32_t run = 0; // rises with each start of the task

    friend bool operator==(const run_id&, const run_id&) = default;
    friend auto operator<=>(const run_id&, const run_id&) = default;
};

// Destination of a call. id tells apart upstreams that use one address in turn, so that none answers for another.
struct upstream_target {
    std::string id;
    std::string address; // "ip:port"
    std::uint64_t life = 0; // the caller's number for the addressed incarnation, to tell answers of earlier ones
};

struct start_request {
    upstream_target target;
    run_id run;
    std::shared_ptr<const std::string> spec; // one copy for all starts of a job; not null
    std::int64_t expiresAtMs = 0; // on the upstream's steady clock; end of the lease for all tasks that run there
    std::uint64_t token = 0;
    protocol::time_point sentAt;
    protocol::duration timeout {}; // the call then ends as silent
};

struct stop_request {
    upstream_target target;
    run_id run;
    std::uint64_t token = 0;
    bool onNewConnection = false;
    protocol::time_point sentAt;
    protocol::duration timeout {};
};

// Long poll for running and ended tasks. Also renews the lease and acknowledges ended tasks.
struct poll_request {
    upstream_target target;
    std::uint64_t ackCursor = 0; // the upstream discards ended tasks up to this number
    std::int64_t expiresAtMs = 0; // on the upstream's steady clock; 0: the lease is not renewed
    std::uint32_t waitMs = 0; // the upstream delays its answer by up to this until a task ends
    std::uint64_t token = 0;
    bool onNewConnection = false;
    protocol::duration timeout {}; // waitMs included
};

enum class call_outcome {
    done,
    fenced, // the upstream has seen a higher token
    superseded, // this run, or one with a higher number, has ended or was stopped there
    expired, // the lease had expired before the start arrived
    no_room,
    other_life, // another upstream or incarnation answers at the address
    unhealthy, // refused without effect
    invalid, // malformed; refused without effect
    not_received, // the connection could not be opened
    silent // no answer; the call may have been carried out or may still be
};

struct call_answer {
    call_outcome outcome = call_outcome::silent;
    std::int64_t clockMs = 0; // the upstream's steady clock when it answered; 0: not known
    std::uint32_t sentBytes = 0; // of the request; for metrics
    std::uint32_t receivedBytes = 0; // of the answer
    bool isOnNewConnection = false; // the call opened a connection
};

struct running_task {
    run_id run;
};

enum class end_kind {
    done,
    failed, // by a fault of the task or of the upstream
    stopped,
    lapsed, // the lease expired
    broken // ended because of another task
};

struct ended_task {
    std::uint64_t number = 0; // rises by one with each ended task of one incarnation of the upstream
    run_id run;
    end_kind how = end_kind::failed;
};

struct poll_answer {
    call_answer call;
    std::int64_t bornUnixMs = 0; // start time, which identifies the incarnation that answered; 0: not known
    std::vector<running_task> running;
    std::vector<ended_task> ended; // those with a number above ackCursor
};

inline const call_answer& callOf(const call_answer& answer)
{
    return answer;
}
inline const call_answer& callOf(const poll_answer& answer)
{
    return answer.call;
}

// Whether the upstream has answered, whatever it said.
bool isAnswer(call_outcome outcome);

// For logs.
std::string_view toText(call_outcome outcome);
std::string_view toText(end_kind kind);

} // namespace jackdaw::cells
