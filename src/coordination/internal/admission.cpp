// Checks a new job against upstreams, queue limit, quota, rate limit and deadline.
#include "coordination/internal/admission.h"

#include <algorithm>
#include <string>

namespace jackdaw::coordination {
namespace {

    using protocol::error_kind;
    using protocol::job_failure;

    constexpr duration maxRetryAfter = std::chrono::minutes(1);
    constexpr duration minRetryAfter = std::chrono::milliseconds(50);
    constexpr duration noUpstreamRetryAfter = std::chrono::seconds(1);
    // checkDeadline() refuses a job only if its predicted end exceeds the deadline by this factor: run times are estimates.
    constexpr double deadlineTolerance = 1.25;

    // checkDeadline() refuses no job by estimates whose latest sample is older: while a client's jobs are refused, no
    // new samples correct its estimates.
    constexpr duration maxSampleAge = std::chrono::seconds(5);
    // With an empty queue, checkDeadline() refuses no job whose deadline is at least this many times its longest task's
    // run time on the fastest upstream.
    constexpr double emptyQueueMargin = 4;

    duration retryAfterOf(double microseconds)
    {
        const auto longest = static_cast<double>(maxRetryAfter.count());
        return std::max(minRetryAfter, duration { static_cast<std::int64_t>(std::min(microseconds, longest)) });
    }

    // The time in which the upstreams complete the given number of tasks of mean run time.
    duration timeToComplete(const admission_context& context, double tasks)
    {
        const double speed = std::max(1.0, context.upstreams.capacityOf(~class_mask { 0 }).speed);
        return retryAfterOf(tasks * context.meanWork / speed);
    }

    std::optional<job_failure> checkQuota(const admission_context& context, const team_rule& rule, double tasks, const team_record& team)
    {
        const double current = team.queuedTasks + team.runningTasks;
        if (rule.maxTasks == 0 || current + tasks <= rule.maxTasks)
            return std::nullopt;
        const duration retryAfter = tasks > rule.maxTasks ? duration::zero() : timeToComplete(context, current + tasks - rule.maxTasks);
        return job_failure { error_kind::quota_exceeded, team.name + " has " + std::to_string(team.queuedTasks + team.runningTasks) + " tasks", retryAfter };
    }

    // A job with more tasks than the bucket's capacity is admitted when the bucket is full; its balance becomes
    // negative.
    std::optional<job_failure> checkRate(const admission_context& context, const team_rule& rule, double tasks, team_record& team)
    {
        if (rule.tasksPerSecond <= 0)
            return std::nullopt;
        const double capacity = burstCapacity(rule);
        team.rate.refill(context.now, rule.tasksPerSecond, capacity, capacity);
        const double needed = std::min(tasks, capacity);
        if (team.rate.tokens() >= needed)
            return std::nullopt;
        return job_failure { error_kind::rate_exceeded, team.name, std::max(minRetryAfter, team.rate.timeUntil(needed, rule.tasksPerSecond)) };
    }

    // Predicts the job's end from the team's work that is queued before it and the team's share of the upstreams. Jobs
    // with a task that has no recent estimate are not refused.
    std::optional<job_failure> checkDeadline(const admission_context& context, const protocol::job_request& job, const team_record& team)
    {
        double work = 0;
        double longest = 0;
        class_mask classes = 0;
        for (const protocol::task_spec& task : job.tasks) {
            const run_time_estimate estimated = context.runTimes.estimate(job.client, task.expectedRunTime);
            if (!estimated.learned || context.now - estimated.lastSampleAt > maxSampleAge)
                return std::nullopt;
            work += static_cast<double>(estimated.mean.count());
            longest = std::max(longest, static_cast<double>(estimated.mean.count()));
            classes |= context.upstreams.classesFor(task.need);
        }
        const upstream_pool::class_capacity capacity = context.upstreams.capacityOf(classes);
        const auto deadline = static_cast<double>((job.deadline > duration::zero() ? job.deadline : context.activeRules.defaultDeadline).count());
        if (context.queuedTasks == 0 && emptyQueueMargin * longest * capacity.fastestFactor <= deadline)
            return std::nullopt;
        const double share = std::max(1.0, capacity.speed) * context.teams.shareOf(team);
        const double end = team.workAhead(work, context.activeRules.order) / share + std::max(longest * capacity.fastestFactor, work / share);
        if (end <= deadlineTolerance * deadline)
            return std::nullopt;
        return job_failure { error_kind::deadline_unreachable, {}, retryAfterOf(end - deadline) };
    }

} // namespace

std::optional<job_failure> checkCapacity(const admission_context& context, const protocol::job_request& job)
{
    if (context.upstreams.servingCount() == 0)
        return job_failure { error_kind::no_upstream, {}, noUpstreamRetryAfter };
    const class_mask serving = context.upstreams.servingClasses();
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        if ((context.upstreams.classesFor(job.tasks[i].need) & serving) == 0)
            return job_failure { error_kind::never_fits, "task " + std::to_string(i), duration::zero() };
    }
    const std::size_t wanted = context.queuedTasks + job.tasks.size();
    if (wanted <= context.activeRules.maxQueuedTasks)
        return std::nullopt;
    return job_failure { error_kind::queue_full, {}, timeToComplete(context, static_cast<double>(wanted - context.activeRules.maxQueuedTasks)) };
}

std::optional<job_failure> checkTeamLimits(const admission_context& context, const protocol::job_request& job, team_record& team)
{
    const team_rule& rule = context.activeRules.teamRule(team.name);
    const auto tasks = static_cast<double>(job.tasks.size());
    if (auto refusal = checkQuota(context, rule, tasks, team))
        return refusal;
    if (auto refusal = checkRate(context, rule, tasks, team))
        return refusal;
    return checkDeadline(context, job, team);
}

} // namespace jackdaw::coordination
