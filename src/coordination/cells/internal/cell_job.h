// A job within a cell: its tasks' states, and the order in which jobs get room.
//
// Load pattern: more work than room for seconds. The operators' priority goes first; a job whose tasks have begun is ended
// before another begins, since begun work that is given up is lost; then the job whose objective ends first.
#pragma once

#include "coordination/cells/upstream_calls.h"
#include "protocol/cell_messages.h"
#include "protocol/time.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace jackdaw::cells::internal {

using protocol::duration;
using protocol::job_order;
using protocol::time_point;

enum class task_state {
    waiting,
    active, // a run of it may exist
    done
};

struct cell_task {
    task_state state = task_state::waiting;
    std::uint32_t lastRun = 0;
    std::uint32_t failedRuns = 0;
    std::string lastUpstream; // of the last run
};

struct cell_step {
    std::vector<cell_task> tasks;
    std::uint32_t waiting = 0;
    std::uint32_t done = 0;
};

class cell_job {
public:
    cell_job(const job_order& wanted, time_point now);

    job_order order;
    std::set<std::string, std::less<>> origins;
    std::vector<cell_step> steps;
    time_point submittedAt;
    time_point objectiveEnd;
    time_point deadline; // the caller stops waiting
    bool hasBegun = false; // a start was sent, or a run of an earlier owner was found
    bool isAdmitted = false; // admission let it wait

    // All steps that it comes after are done.
    bool isReady(std::size_t step) const;
    bool isDone() const;
    std::uint32_t waitingTasks() const;

    // Declared run time of its longest chain of steps.
    duration declaredCriticalPath() const;

    std::string taskName(std::size_t step, std::size_t index) const;

    void markDone(std::string_view task);
    void setState(std::size_t step, std::size_t index, task_state state);

    // Jobs with a lower key get room first. The key refers to the job.
    auto rank() const { return std::tuple(order.priority, !hasBegun, objectiveEnd, std::string_view(order.id)); }
};

// Finds step and index in the name of one of the job's tasks; false when it is none.
bool findTask(const cell_job& job, std::string_view task, std::size_t& step, std::size_t& index);

} // namespace jackdaw::cells::internal
