// Checks of a new job against upstreams, queue, quota, rate and deadline.
#include "coordination/internal/admission.h"

#include <algorithm>
#include <string>

namespace jackdaw::coordination {
namespace {

    using protocol::error_kind;
    using protocol::job_failure;

    constexpr duration longestRetryAfter = std::chrono::minutes(1);
    constexpr duration shortestRetryAfter = std::chrono::milliseconds(50);
    constexpr duration noUpstreamRetryAfter = std::chrono::seconds(1);
    // A job is refused for its deadline only if it would miss it by so much: run times are estimates.
    constexpr double deadlineTolerance = 1.25;

    // Older samples refuse nothing: a client that is refused brings no new ones to correct them.
    constexpr duration freshness = std::chrono::seconds(5);
    // With nothing queued a job is not refused if its longest task fits into its deadline so many times.
    constexpr double wideMargin = 4;

    duration bounded(double microseconds)
    {
        const auto longest = static_cast<double>(longestRetryAfter.count());
        return std::max(shortestRetryAfter, duration { static_cast<std::int64_t>(std::min(microseconds, longest)) });
    }

    // The time in which the upstreams end so many tasks of average length.
    duration timeToEnd(const admission_context& conditions, double tasks)
    {
        const double speed = std::max(1.0, conditions.upstreams.capacityOf(~class_mask { 0 }).speed);
        return bounded(tasks * conditions.meanWork / speed);
    }

    std::optional<job_failure> refuseQuota(const admission_context& conditions, const team_rule& rule, double tasks, const team_record& team)
    {
        const double present = team.queuedTasks + team.runningTasks;
        if (rule.maxTasks == 0 || present + tasks <= rule.maxTasks)
            return std::nullopt;
        const duration retryAfter = tasks > rule.maxTasks ? duration::zero() : timeToEnd(conditions, present + tasks - rule.maxTasks);
        return job_failure { error_kind::quota_exceeded, team.name + " has " + std::to_string(team.queuedTasks + team.runningTasks) + " tasks", retryAfter };
    }

    // A job larger than the bucket is admitted when the bucket is full, and leaves it in debt.
    std::optional<job_failure> refuseRate(const admission_context& conditions, const team_rule& rule, double tasks, team_record& team)
    {
        if (rule.tasksPerSecond <= 0)
            return std::nullopt;
        const double capacity = burstCapacity(rule);
        team.rate.refill(conditions.now, rule.tasksPerSecond, capacity, capacity);
        const double needed = std::min(tasks, capacity);
        if (team.rate.tokens() >= needed)
            return std::nullopt;
        return job_failure { error_kind::rate_exceeded, team.name, std::max(shortestRetryAfter, team.rate.timeUntil(needed, rule.tasksPerSecond)) };
    }

    // Predicts the job's end from the team's queued work that goes before it and the team's share of the upstreams.
    std::optional<job_failure> refuseDeadline(const admission_context& conditions, const protocol::job_request& job, const team_record& team)
    {
        double work = 0;
        double longest = 0;
        class_mask classes = 0;
        for (const protocol::task_spec& task : job.tasks) {
            const run_time_estimate estimated = conditions.runTimes.estimate(job.client, task.expectedRunTime);
            if (!estimated.learned || conditions.now - estimated.lastSampleAt > freshness)
                return std::nullopt;
            work += static_cast<double>(estimated.mean.count());
            longest = std::max(longest, static_cast<double>(estimated.mean.count()));
            classes |= conditions.upstreams.classesFor(task.need);
        }
        const upstream_pool::class_capacity capacity = conditions.upstreams.capacityOf(classes);
        const auto deadline = static_cast<double>((job.deadline > duration::zero() ? job.deadline : conditions.activeRules.defaultDeadline).count());
        if (conditions.queuedTasks == 0 && wideMargin * longest * capacity.fastestFactor <= deadline)
            return std::nullopt;
        const double share = std::max(1.0, capacity.speed) * conditions.teams.shareOf(team);
        const double end = team.workAhead(work, conditions.activeRules.order) / share + std::max(longest * capacity.fastestFactor, work / share);
        if (end <= deadlineTolerance * deadline)
            return std::nullopt;
        return job_failure { error_kind::deadline_unreachable, {}, bounded(end - deadline) };
    }

} // namespace

std::optional<job_failure> checkCapacity(const admission_context& conditions, const protocol::job_request& job)
{
    if (conditions.upstreams.servingCount() == 0)
        return job_failure { error_kind::no_upstream, {}, noUpstreamRetryAfter };
    const class_mask serving = conditions.upstreams.servingClasses();
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        if ((conditions.upstreams.classesFor(job.tasks[i].need) & serving) == 0)
            return job_failure { error_kind::never_fits, "task " + std::to_string(i), duration::zero() };
    }
    const std::size_t wanted = conditions.queuedTasks + job.tasks.size();
    if (wanted <= conditions.activeRules.maxQueuedTasks)
        return std::nullopt;
    return job_failure { error_kind::queue_full, {}, timeToEnd(conditions, static_cast<double>(wanted - conditions.activeRules.maxQueuedTasks)) };
}

std::optional<job_failure> checkTeamLimits(const admission_context& conditions, const protocol::job_request& job, team_record& team)
{
    const team_rule& rule = conditions.activeRules.teamRule(team.name);
    const auto tasks = static_cast<double>(job.tasks.size());
    if (auto refusal = refuseQuota(conditions, rule, tasks, team))
        return refusal;
    if (auto refusal = refuseRate(conditions, rule, tasks, team))
        return refusal;
    return refuseDeadline(conditions, job, team);
}

} // namespace jackdaw::coordination
