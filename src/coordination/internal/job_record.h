// An accepted job and the state of its tasks.
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
    sent, // start_task left, no report yet
    settling, // the start was silent; its fate is asked for
    finished,
    closed // will never be started again, and holds no slot
};

struct task_record {
    task_phase phase = task_phase::queued;
    std::uint32_t attempt = 0;
    std::uint32_t part = 0; // index into job_record::parts
    bool delayed = false; // queued, but waits for the retry budget outside the queue
    std::uint32_t settleRequests = 0; // settle_task actions for this attempt
    std::uint64_t avoidedSerial = 0; // the upstream that did not start the attempt before
    duration expected {}; // run time on an upstream of factor 1
    float expectedVariance = 0; // of the logarithm of the expected run time
    time_point sentAt {};
    time_point leaseEnd {};
    std::optional<timer_id> settleTimer;
    upstream_ptr upstream; // holds a slot of it; set exactly while the phase is sent or settling
    std::string body; // set when finished

    bool isOutstanding() const { return phase == task_phase::sent || phase == task_phase::settling; }
};

// The tasks of one job that fit the same capacity classes.
struct job_part {
    class_mask classes = 0;
    std::vector<std::uint32_t> pending; // indices of queued tasks, the longest last
    bool enqueued = false; // the part is in the task queue, under the key below
    std::uint64_t queueKey = 0;
};

// Invariant: outstanding counts the tasks with isOutstanding(); finished those with phase finished.
struct job_record {
    protocol::job_request request;
    team_record* team = nullptr;
    std::uint64_t sequence = 0; // order of admission
    time_point arrival {};
    time_point deadlineAt {};
    time_point targetEnd {}; // until when an end of the job counts as on time
    time_point expectedEnd {}; // of the started tasks
    std::vector<task_record> tasks;
    std::vector<job_part> parts;
    std::uint32_t finished = 0;
    std::uint32_t outstanding = 0;
    std::uint32_t queued = 0; // tasks with phase queued, a delayed retry included
    std::size_t magnitude = 0; // of the whole job's work, as in team_record::queuedWork
    duration queuedWork {}; // sum of the expected run times of the queued tasks
    bool provedStarted = false; // a report said that a task was started
    bool answered = false; // kept only until nothing is outstanding
    std::optional<timer_id> timer; // the deadline; after the answer the end of the last lease
};

} // namespace jackdaw::coordination
