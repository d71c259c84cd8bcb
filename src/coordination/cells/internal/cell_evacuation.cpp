// Jobs of a cell whose zone is evacuated.
#include "coordination/cells/internal/cell_dispatcher_impl.h"

#include <algorithm>
#include <utility>

namespace jackdaw::cells {

using protocol::job_outcome;
using protocol::order_answer;

namespace {

    constexpr std::uint32_t retryWithoutZoneMs = 1000; // the smallest Retry-After, 1 s; operators withdraw an order at any time

} // namespace

bool cell_dispatcher::impl::mayHaveBegun(const cell_job& job)
{
    const auto hasBegunTask = [](const internal::cell_step& step) {
        return step.done > 0 || std::any_of(step.tasks.begin(), step.tasks.end(), [](const internal::cell_task& task) { return task.failedRuns > 0; });
    };
    return job.hasBegun || !job.order.failures.empty() || std::any_of(job.steps.begin(), job.steps.end(), hasBegunTask);
}

bool cell_dispatcher::impl::mayStartWhileEvacuated(time_point now, const cell_job& job) const
{
    return !evacuationStartsUntil || (now < *evacuationStartsUntil && mayHaveBegun(job));
}

bool cell_dispatcher::impl::evacuate(time_point now, cell_job& job)
{
    if (mayHaveBegun(job)) {
        const bool isComplete = job.waitingTasks() == 0 && std::all_of(job.steps.begin(), job.steps.end(), [](const internal::cell_step& step) { return step.held == 0; });
        if (isComplete || now < *evacuationStartsUntil)
            return false;
        finish(now, job, protocol::makeOrderAnswer(job.order, job_outcome::unfinished, "the zone is evacuated"));
        return true;
    }
    if (!areEarlierRunsKnown(now, job))
        return false; // its tasks may run here
    const std::string cell = hooks.findEvacuationTarget ? hooks.findEvacuationTarget(job.order) : std::string();
    if (cell.empty()) {
        finish(now, job, protocol::makeOrderAnswer(job.order, job_outcome::rejected, "no zone takes jobs of the evacuated zone", retryWithoutZoneMs));
        return true;
    }
    order_answer moved = protocol::makeOrderAnswer(job.order, job_outcome::moved, "the zone is evacuated");
    moved.cell = cell;
    moved.areRunsKnown = true; // also those of earlier owners
    finish(now, job, std::move(moved));
    return true;
}

void cell_dispatcher::setEvacuation(time_point now, std::optional<time_point> startsUntil)
{
    impl& self = *m_impl;
    const bool wasEvacuated = self.evacuationStartsUntil.has_value();
    self.evacuationStartsUntil = startsUntil;
    if (startsUntil)
        return self.checkJobs(now);
    if (!wasEvacuated)
        return;
    for (auto& [id, upstream] : self.upstreams)
        upstream.releasedAt = now;
    self.dispatch(now);
}

} // namespace jackdaw::cells
