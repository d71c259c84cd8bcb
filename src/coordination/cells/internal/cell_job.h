// A job in a cell: the states of its tasks, and the order in which jobs are scheduled.
//
// Load pattern: demand above capacity for seconds. Jobs are ordered by the operators' priority first, then come jobs of groups that
// starve (group_shares.h), and jobs that can no longer meet their objective go behind the others of their priority. Next come jobs with
// started tasks, since abandoned work would be lost; then the job whose objective ends first.
#pragma once

#include "coordination/cells/upstream_calls.h"
#include "protocol/cell_messages.h"
#include "protocol/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
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
    held, // upstreams may have crashed under it: started apart, after the waiting tasks
    active, // a run of the task may exist
    done
};

struct cell_task {
    task_state state = task_state::waiting;
    std::uint32_t lastRun = 0;
    std::uint32_t failedRuns = 0;
    std::string lastUpstream; // where the last run was sent
};

// A host whose callers wait for the job.
struct waiting_origin {
    std::uint64_t submissionNumber = 0; // of its latest order
    std::uint32_t handOverCount = 0; // in that order
    time_point deadline; // when the last of its callers is answered
};

struct cell_step {
    std::vector<cell_task> tasks;
    std::uint32_t waiting = 0;
    std::uint32_t held = 0;
    std::uint32_t done = 0;
};

class cell_job {
public:
    cell_job(const job_order& wanted, time_point now);

    job_order order; // without the spec
    const std::shared_ptr<const std::string> spec;
    std::map<std::string, waiting_origin, std::less<>> origins;
    std::vector<cell_step> steps;
    std::size_t bytes = 0; // that it takes beside its tasks; valid once it is counted as work in hand
    time_point submittedAt;
    time_point objectiveEnd;
    time_point deadline; // the latest one of the origins; of the last one that waited, if none does
    time_point abandonedAt; // valid once no origin waits: when the last one was known to wait
    bool hasBegun = false; // a start was sent, or an earlier owner's run was found
    std::vector<std::string> groups; // whose shares of accepted jobs are compared; empty if it was not admitted here
    bool isOfStarvingGroup = false; // when it was submitted
    bool isLate = false; // it can no longer meet its objective
    bool isAdmitted = false; // may be scheduled; set by admission, or at once for jobs that may already have run

    // Whether all steps that this step depends on are done.
    bool isReady(std::size_t step) const;
    bool isDone() const;
    std::uint32_t waitingTasks() const;
    std::uint64_t activeTasks() const;

    // The end of its objective, or its deadline if that comes first: an end in between is in time for nobody.
    time_point usefulEnd() const { return std::min(objectiveEnd, deadline); }

    // Declared run time of the longest chain of dependent steps.
    duration declaredCriticalPath() const;

    void addOrigin(std::string_view origin, const job_order& wanted, time_point now);
    void removeOrigin(std::string_view origin);
    void updateDeadline();
    std::string taskName(std::size_t step, std::size_t index) const;

    void markDone(std::string_view task);
    void setState(std::size_t step, std::size_t index, task_state state);

    // Jobs with a lower key are scheduled first: by priority, then those of starving groups, then
    // those that can be in time. The key holds a reference into the job.
    auto rank() const { return std::tuple(order.priority, !isOfStarvingGroup, isLate, !hasBegun, objectiveEnd, std::string_view(order.id)); }
};

// Parses step and index from the name of one of the job's tasks. Returns false if the job has no such task.
bool findTask(const cell_job& job, std::string_view task, std::size_t& step, std::size_t& index);

} // namespace jackdaw::cells::internal
