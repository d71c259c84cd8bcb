// Takes each rule of a document over into the rules in force.
#include "coordination/rules_conversion.h"

namespace jackdaw::coordination {
namespace {

    template <typename T>
    void takeOver(T& target, const std::optional<T>& value)
    {
        if (value)
            target = *value;
    }

    team_rule toTeamRule(const state::team_limits& limits, const team_rule& fallback)
    {
        team_rule rule = fallback;
        takeOver(rule.weight, limits.weight);
        takeOver(rule.maxTasks, limits.maxTasks);
        takeOver(rule.tasksPerSecond, limits.tasksPerSecond);
        takeOver(rule.burstTasks, limits.burstTasks);
        return rule;
    }

    task_order toTaskOrder(state::job_order order)
    {
        switch (order) {
        case state::job_order::fifo:
            return task_order::fifo;
        case state::job_order::earliest_deadline:
            return task_order::earliest_deadline;
        case state::job_order::fewest_remaining:
            break;
        }
        return task_order::fewest_remaining;
    }

} // namespace

rules toRules(const state::rules_document& document, std::uint64_t version)
{
    rules out;
    out.version = version;
    if (document.defaultTeam)
        out.defaultTeam = toTeamRule(*document.defaultTeam, out.defaultTeam);
    for (const auto& [team, limits] : document.teams)
        out.teams[team] = toTeamRule(limits, out.defaultTeam);
    if (document.order)
        out.order = toTaskOrder(*document.order);
    takeOver(out.defaultDeadline, document.defaultDeadline);
    takeOver(out.maxQueuedTasks, document.maxQueuedTasks);
    takeOver(out.retryBudget, document.retryBudget);
    takeOver(out.retryIdempotentAfterLease, document.retryIdempotentAfterLease);
    takeOver(out.answerRetention, document.answerRetention);
    takeOver(out.maxEjectedRatio, document.maxEjectedRatio);
    takeOver(out.slowUpstreamPenalty, document.slowUpstreamPenalty);
    takeOver(out.spillBetweenZones, document.spillBetweenZones);
    return out;
}

} // namespace jackdaw::coordination
