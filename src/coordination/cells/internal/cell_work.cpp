// Bounds on the work in an owner's hands: its jobs are counted by what they take of its memory, as long as that lives.
#include "coordination/cells/internal/cell_dispatcher_impl.h"

#include <algorithm>

namespace jackdaw::cells {

using protocol::job_outcome;

namespace {

    constexpr std::uint32_t retryTooLargeMs = 30000; // long, because another try has the same result
    constexpr std::uint32_t retryInUseMs = 1000; // other jobs end within a second or two

    std::uint64_t countTasks(const protocol::job_order& order)
    {
        std::uint64_t sum = 0;
        for (const protocol::job_step& step : order.steps)
            sum += step.count;
        return sum;
    }

    // Beside the order: the job's record, origins, groups and answer.
    constexpr std::size_t jobBytes = 1024;

    std::uint64_t countBytes(const protocol::job_order& order)
    {
        return jobBytes + protocol::memoryOf(order);
    }

} // namespace

void cell_dispatcher::impl::addWork(cell_job& job)
{
    job.bytes = jobBytes + job.spec->capacity() + protocol::memoryOf(job.order);
    tasksOfJobs += countTasks(job.order);
    bytesOfOrders += job.bytes;
}

void cell_dispatcher::impl::removeWork(const cell_job& job)
{
    tasksOfJobs -= countTasks(job.order);
    bytesOfOrders -= job.bytes;
}

work_in_hand cell_dispatcher::impl::workInHand() const
{
    std::uint64_t runs = 0;
    std::uint64_t unanswered = 0;
    for (const auto& [id, upstream] : upstreams) {
        runs += upstream.runs.size();
        unanswered += static_cast<std::uint64_t>(std::count_if(upstream.unansweredStarts.begin(), upstream.unansweredStarts.end(), [&runs = upstream.runs](const auto& start) { return !runs.contains(start.first); }));
    }
    std::uint64_t active = 0; // each has a run, which is no further work
    for (const auto& [id, job] : jobs)
        active += job->activeTasks();
    return { tasksOfJobs + (runs - std::min(runs, active)) + unanswered, bytesOfOrders };
}

// An order that was handed over may have runs under an earlier owner, so nothing is promised about it.
bool cell_dispatcher::impl::refusesSize(const protocol::job_order& order, std::string_view origin)
{
    const std::uint64_t tasks = countTasks(order);
    const std::uint64_t bytes = countBytes(order);
    const bool isTooLarge = tasks > settings.maxTasksOfJob || bytes > settings.maxOrderBytes;
    work_in_hand held;
    if (!isTooLarge) {
        held = workInHand();
        const work_in_hand elsewhere = hooks.workInOtherCells ? hooks.workInOtherCells() : work_in_hand();
        held.tasks += elsewhere.tasks;
        held.orderBytes += elsewhere.orderBytes;
        if (held.tasks + tasks <= settings.maxTasks && held.orderBytes + bytes <= settings.maxOrderBytes)
            return false;
    }
    note("job_too_large", order.id, "tasks=" + std::to_string(tasks) + " bytes=" + std::to_string(bytes) + " tasks_in_hand=" + std::to_string(held.tasks) + " bytes_in_hand=" + std::to_string(held.orderBytes));
    const job_outcome outcome = order.handOverCount == 0 ? job_outcome::rejected : job_outcome::unfinished;
    const std::string_view reason = isTooLarge ? "the job is too large" : "the jobs in hand are too large";
    actions.emplace_back(owner_answer { { std::string(origin) }, protocol::makeOrderAnswer(order, outcome, reason, isTooLarge ? retryTooLargeMs : retryInUseMs) });
    return true;
}

} // namespace jackdaw::cells
