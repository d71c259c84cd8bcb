// Field-by-field conversion of a rules document.
#include "coordination/rules_conversion.h"

namespace jackdaw::coordination {
namespace {

    template <typename T>
    void assignIfSet(T& target, const std::optional<T>& value)
    {
        if (value)
            target = *value;
    }

    team_rule toTeamRule(const state::team_limits& limits, const team_rule& fallback)
    {
        team_rule rule = fallback;
        assignIfSet(rule.weight, limits.weight);
        assignIfSet(rule.maxTasks, limits.maxTasks);
        assignIfSet(rule.tasksPerSecond, limits.tasksPerSecond);
        assignIfSet(rule.burstTasks, limits.burstTasks);
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
    assignIfSet(out.defaultDeadline, document.defaultDeadline);
    assignIfSet(out.maxQueuedTasks, document.maxQueuedTasks);
    assignIfSet(out.retryBudget, document.retryBudget);
    assignIfSet(out.retryIdempotentAfterLease, document.retryIdempotentAfterLease);
    assignIfSet(out.answerRetention, document.answerRetention);
    assignIfSet(out.maxEjectedRatio, document.maxEjectedRatio);
    assignIfSet(out.slowUpstreamPenalty, document.slowUpstreamPenalty);
    assignIfSet(out.spillBetweenZones, document.spillBetweenZones);
    return out;
}

} // namespace jackdaw::coordination
