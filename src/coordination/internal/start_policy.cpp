// A task whose job can still meet its target is started on the slowest free upstream that ends it in time. Any other
// task is started on the fastest free upstream, unless it is expected to end earlier by waiting for a faster busy
// upstream.
#include "coordination/internal/start_policy.h"

#include <algorithm>
#include <cmath>

namespace jackdaw::coordination {
namespace {

    constexpr std::size_t windowSize = 8; // parts that are tried when the first one waits

    // Safety margin for uncertain run times, in standard deviations of the logarithm.
    constexpr double cautiousDeviations = 0.7;

    // The time in which the job's queued tasks have to end so that they don't delay its answer. Microseconds.
    double slackOf(const job_record& job, time_point now)
    {
        return static_cast<double>((std::max(job.targetEnd, job.expectedEnd) - now).count());
    }

    double workOf(const task_record& task)
    {
        return static_cast<double>(std::max<std::int64_t>(1, task.expected.count()));
    }

} // namespace

start_policy::decision start_policy::choose(const start_context& context, task_queue& queue, const upstream_pool& pool)
{
    m_context = context;
    m_pool = &pool;
    m_forecasts.clear();
    const queued_part* first = queue.next(pool);
    if (!first)
        return std::nullopt;
    if (auto found = chooseFor(*first, 0))
        return found;
    queue.collect(pool, windowSize, m_window);
    double tasksAhead = 0;
    for (const queued_part* candidate : m_window) {
        if (auto found = chooseFor(*candidate, tasksAhead))
            return found;
        tasksAhead += static_cast<double>(candidate->job->parts[candidate->part].pending.size());
    }
    // The last part in a long queue has the longest wait, so slots that the first parts decline are offered to it.
    if (static_cast<double>(context.queuedTasks) <= tasksAhead)
        return std::nullopt;
    return chooseFor(*queue.last(pool), static_cast<double>(context.queuedTasks));
}

start_policy::decision start_policy::chooseFor(const queued_part& candidate, double tasksAhead)
{
    job_record& job = *candidate.job;
    const job_part& part = job.parts[candidate.part];
    const std::size_t longest = part.pending.size() - 1;
    const task_record& task = job.tasks[part.pending[longest]];
    const double cautiousWork = workOf(task) * std::exp(cautiousDeviations * std::sqrt(task.expectedVariance));
    const double onTime = slackOf(job, m_context.now) / cautiousWork;
    if (upstream_record* upstream = m_pool->slowestFree(part.classes, onTime, task.avoidedSerial))
        return start_decision { &job, candidate.part, longest, upstream };
    upstream_record* upstream = m_pool->fastestFree(part.classes, task.avoidedSerial);
    if (isWorthStarting(job, task, *upstream, part.classes, tasksAhead))
        return start_decision { &job, candidate.part, longest, upstream };
    return chooseShorter(candidate, *upstream);
}

// Chooses the longest task of the part that the upstream is expected to end in time.
start_policy::decision start_policy::chooseShorter(const queued_part& candidate, upstream_record& upstream) const
{
    job_record& job = *candidate.job;
    const auto& pending = job.parts[candidate.part].pending;
    const double maxWork = slackOf(job, m_context.now) / upstream.speed.factor();
    const auto tooLong = std::partition_point(pending.begin(), pending.end(), [&](std::uint32_t index) { return workOf(job.tasks[index]) <= maxWork; });
    if (tooLong == pending.begin())
        return std::nullopt;
    return start_decision { &job, candidate.part, static_cast<std::size_t>(tooLong - pending.begin()) - 1, &upstream };
}

bool start_policy::isWorthStarting(const job_record& job, const task_record& task, const upstream_record& upstream, class_mask classes, double tasksAhead)
{
    if (m_context.slowUpstreamPenalty <= 0)
        return true;
    const double factor = upstream.speed.factor();
    const double end = workOf(task) * factor;
    // Limits the wait, so that a wrong forecast does not delay a task indefinitely.
    const auto waited = static_cast<double>((m_context.now - job.arrival).count());
    if (waited > 2 * end)
        return true;
    return end <= m_context.slowUpstreamPenalty * forecastFor(classes).earliestEnd(workOf(task), tasksAhead, factor);
}

const wait_forecast& start_policy::forecastFor(class_mask classes)
{
    for (const auto& [mask, forecast] : m_forecasts) {
        if (mask == classes)
            return forecast;
    }
    return m_forecasts.emplace_back(classes, m_pool->forecast(classes, m_context.meanWork)).second;
}

} // namespace jackdaw::coordination
