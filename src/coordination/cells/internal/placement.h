// Chooses the upstream that runs a task.
//
// Load pattern: upstreams of three speeds with capacity for two or three tasks each, nearly all of them busy, and more waiting
// tasks than free capacity. The fastest upstream with enough free capacity is chosen, and among equally fast ones the one with
// the least free capacity (best fit), so that large tasks still find empty upstreams. A task is not started where it would miss
// its objective while a faster upstream could still meet it: it waits, and a task with more time left uses the slow upstream.
// A task that may have crashed an upstream is kept apart from others like it, so that a second crash shows which task causes
// them, and from all others as far as possible, so that they aren't lost with it.
// A job may have hundreds of small tasks that all fit on one upstream. Starts over the bound of calls under way wait as tasks, which take
// little memory, and not as calls; nor do polls and stops wait behind them.
// Free capacity and speeds are computed once for all tasks placed in one pass, so that the cost hardly grows with the queue.
#pragma once

#include "coordination/cells/internal/cell_job.h"
#include "coordination/cells/internal/run_time_ratio.h"
#include "coordination/cells/internal/run_time_sample.h"
#include "coordination/cells/internal/upstream_record.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::cells::internal {

using upstream_map = std::map<std::string, upstream_record>;
using service_ratios = std::map<std::string, run_time_ratio, std::less<>>;

// What a placement must respect besides free capacity.
struct task_demand {
    const protocol::job_step* step = nullptr;
    std::string_view service;
    std::string_view job;
    std::uint32_t stepNumber = 0;
    std::string_view avoidUpstream; // upstream of the last run, which did not succeed: chosen only if no other fits
    duration fastestRun {}; // of the job's longest chain of steps on the fastest available upstream, free or not
    duration timeLeft {}; // until the end of the job's objective
    bool isSuspect = false; // the task may have crashed an upstream
};

bool hasLabel(const protocol::upstream_report& report, std::string_view label);

// Whether the upstream's service, labels and total capacity fit the task.
bool canRun(const upstream_record& upstream, const task_demand& demand);

// The same for the largest capacity that it has reported, which it may have again.
bool mayEverRun(const upstream_record& upstream, const task_demand& demand);

// Starts that one upstream is sent before it has answered any: twice as many as a host has connections to it.
constexpr std::size_t maxStartsUnderWay = 32;

// Whether the upstream may be sent starts now, whatever its free capacity.
bool isAvailable(const upstream_record& upstream, time_point now);

// Run time of a cold upstream / run time of the same upstream later.
constexpr double coldSlowness = 1.5;

// 1 for an upstream that is not cold.
double coldRatio(const upstream_record& upstream, time_point now);

// Free capacity for new starts. A cold upstream whose zone was evacuated gets its capacity back in steps: tasks that start on many
// cold upstreams at once would all be late.
resource_vector usableCapacity(const upstream_record& upstream, time_point now);

// Whether a run that starts now has its lease renewed before it ends.
bool isLeaseLongEnough(const upstream_record& upstream, time_point now);

// Run time / declared run time of a service's tasks, over all upstreams. Stands in where an upstream has few samples of its own.
const run_time_ratio& serviceRatio(const service_ratios& ratios, std::string_view service);

// Run time / declared run time on the upstream in the data's rack, as decides whether a job can meet its objective. An upstream
// without fresh samples returns to its usual ratio, and to the declared times when its whole service has none.
double expectedRatio(const upstream_record& upstream, const run_time_ratio& service, time_point now);

// Adds a sample for a run that has ended as done. clockMs: of the response that listed its end; 0 if not known.
// ownDelay: how long the owner is expected to take between sending a call and reading its answer.
void learnRunTime(time_point now, upstream_record& upstream, run_time_ratio& service, run_overhead& overhead, const run_record& run, std::int64_t clockMs, duration ownDelay);

// Snapshot of a cell's available upstreams with free capacity and speed of each. Valid until an upstream changes; starts must be
// recorded with reserve().
class available_upstreams {
public:
    // ownDelay: how long the owner is expected to take between sending a call and reading its answer.
    available_upstreams(upstream_map& upstreams, const service_ratios& ratios, duration ownDelay, time_point now);

    // Returns the upstream for one task; null if none fits, or if waiting for a faster one is better.
    upstream_record* choose(const task_demand& demand) const;

    // Deducts a started task from the upstream's free capacity, and from the starts that it may be sent.
    void reserve(const upstream_record& upstream, const resource_vector& need);

    // False if no upstream that may be sent a start has free capacity for such a task, whatever its speed and labels. True is no guarantee: each resource
    // is compared with its maximum over all upstreams.
    bool hasCapacityFor(std::string_view service, const resource_vector& need) const;

    // Whether count tasks with this demand fit at the same time. Free capacity is checked for the processor only.
    bool fitsAll(const task_demand& demand, std::uint32_t count) const;

    // Run time / declared run time on the service's fastest upstream, whatever its labels and free capacity; 0 if none is available.
    double fastestRatio(std::string_view service, const protocol::job_step& step) const;

private:
    struct candidate {
        upstream_record* upstream = nullptr;
        resource_vector freeCapacity;
        std::size_t startsLeft = 0;
        double ratio = 1; // run time / declared run time in the data's rack; for feasibility, as in admission
        double latestRatio = 1; // the same over the last tasks, whatever their age; for the order of upstreams
    };
    struct service_group {
        std::vector<candidate> candidates; // by the upstream's id
        resource_vector largestFreeCapacity; // maximum of each resource over the candidates that may be sent a start
        bool mayStartAny = false; // one of the candidates may be sent a start

        void noteFree(const candidate& known);
    };

    const service_group* find(std::string_view service) const;

    std::map<std::string_view, service_group> m_groups; // by service
};

} // namespace jackdaw::cells::internal
