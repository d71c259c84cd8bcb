// An admitted job and the state of its tasks.
#pragma once

#include "coordination/internal/team_table.h"
#include "coordination/internal/timer_queue.h"
#include "coordination/internal/upstream_pool.h"
#include "protocol/job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jackdaw::coordination {

enum class task_phase : std::uint8_t {
    queued,
    sent, // start_task was issued, no report yet
    settling, // the start was not answered; settle_task asks for its outcome
    finished,
    closed // ended without a result; holds no slot, and only requeue() can start it again
};

struct task_record {
    task_phase phase = task_phase::queued;
    std::uint32_t attempt = 0;
    std::uint32_t part = 0; // index into job_record::parts
    bool delayed = false; // in phase queued, but waits for the retry budget outside the task queue
    std::uint32_t settleRequests = 0; // settle_task actions of this attempt
    std::uint32_t lostUpstreams = 0; // incarnations that were replaced before they reported the task's outcome
    std::uint64_t avoidedSerial = 0; // upstream of the previous attempt, avoided if another is free
    duration expected {}; // run time on an upstream of factor 1
    float expectedVariance = 0; // variance of the logarithm of the run time
    time_point sentAt {};
    time_point leaseEnd {};
    std::optional<timer_id> settleTimer;
    upstream_ptr upstream; // the task holds a slot of it; set exactly while isOutstanding()
    std::string body; // the result; set in phase finished

    bool isOutstanding() const { return phase == task_phase::sent || phase == task_phase::settling; }
};

// The tasks of one job that fit into the same set of capacity classes.
struct job_part {
    class_mask classes = 0;
    std::vector<std::uint32_t> pending; // indices of queued tasks by ascending expected run time
    bool enqueued = false; // the part is in the task queue under queueKey
    std::uint64_t queueKey = 0;
};

// Invariant: outstanding is the number of tasks with isOutstanding(), finished that of tasks in phase finished.
struct job_record {
    protocol::job_request request;
    team_record* team = nullptr;
    std::uint64_t sequence = 0; // order of admission
    time_point arrival {};
    time_point deadlineAt {};
    time_point targetEnd {}; // a job that ends by then counts as on time
    time_point expectedEnd {}; // latest expected end of the started tasks
    std::vector<task_record> tasks;
    std::vector<job_part> parts;
    std::uint32_t finished = 0;
    std::uint32_t outstanding = 0;
    std::uint32_t queued = 0; // tasks in phase queued, delayed retries included
    std::size_t magnitude = 0; // index in team_record::queuedWork, from the whole job's work
    duration queuedWork {}; // sum of the expected run times of the queued tasks
    bool provedStarted = false; // a report confirmed that a task was started
    bool hasUnknownStart = false; // a start got no answer, and its upstream can't tell any more
    bool answered = false; // the record is kept until no task is outstanding
    std::optional<timer_id> timer; // fires at the deadline; after the answer, at the end of the last lease
};

} // namespace jackdaw::coordination
