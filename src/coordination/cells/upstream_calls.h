// Calls to upstreams that run tasks under leases and fences, and their answers, as the dispatcher of a cell sees them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jackdaw::cells {

// One start of a task.
struct run_id {
    std::string task; // unique: job, occurrence, step, index
    std::uint32_t run = 0; // counts the starts of the task

    friend bool operator==(const run_id&, const run_id&) = default;
    friend auto operator<=>(const run_id&, const run_id&) = default;
};

// Where a call goes. A life that has ended answers nothing in place of its successor.
struct upstream_target {
    std::string id;
    std::string address; // "ip:port"
};

struct start_request {
    upstream_target target;
    run_id run;
    std::string spec;
    std::int64_t expiresAtMs = 0; // on the upstream's clock; the lease of all that runs there
    std::uint64_t token = 0;
};

struct stop_request {
    upstream_target target;
    run_id run;
    std::uint64_t token = 0;
    bool onNewConnection = false;
};

// Asks what runs and what has ended, renews the lease, and acknowledges ends.
struct poll_request {
    upstream_target target;
    std::uint64_t ackCursor = 0; // ends up to this number are forgotten
    std::int64_t expiresAtMs = 0; // on the upstream's clock; 0: the lease stays as it is
    std::uint32_t waitMs = 0; // the answer waits so long for an end
    std::uint64_t token = 0;
    bool onNewConnection = false;
};

enum class call_outcome {
    done,
    fenced, // a higher token was seen there
    superseded, // this run, or a higher one, has ended there or was stopped
    expired, // the lease had run out before the start arrived
    no_room,
    other_life, // another life of the upstream answers at the address
    unhealthy, // refused without effect
    invalid, // refused as wrong; without effect
    not_received, // the connection could not be opened
    silent // no answer; the call may have been or may yet be carried out
};

struct call_answer {
    call_outcome outcome = call_outcome::silent;
    std::int64_t clockMs = 0; // the upstream's steady clock at its answer; 0: not known
};

struct running_task {
    run_id run;
};

enum class end_kind {
    done,
    failed, // by the task's or the upstream's fault
    stopped,
    lapsed, // the lease ran out
    broken // ended because of another task
};

struct ended_task {
    std::uint64_t number = 0; // rises by one with each end in one life of the upstream
    run_id run;
    end_kind how = end_kind::failed;
};

struct poll_answer {
    call_answer call;
    std::int64_t bornUnixMs = 0; // the life that answered
    std::vector<running_task> running;
    std::vector<ended_task> ended; // those after ackCursor
};

// For logs.
std::string_view toText(call_outcome outcome);
std::string_view toText(end_kind kind);

} // namespace jackdaw::cells
