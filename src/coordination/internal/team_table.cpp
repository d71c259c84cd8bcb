// Implements virtual time and the lifetime of team records.
#include "coordination/internal/team_table.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jackdaw::coordination {
namespace {

    constexpr std::size_t maxIdleTeams = 1000; // if more records exist, all idle teams with a full token bucket are removed

    bool isBucketFull(time_point now, team_record& team, const team_rule& rule)
    {
        if (rule.tasksPerSecond <= 0)
            return true;
        const double capacity = burstCapacity(rule);
        team.rate.refill(now, rule.tasksPerSecond, capacity, capacity);
        return team.rate.tokens() >= capacity;
    }

} // namespace

std::size_t team_record::magnitudeOf(double jobWork)
{
    return static_cast<std::size_t>(std::clamp(std::ilogb(std::max(jobWork, 1.0)), 0, 63));
}

double team_record::workAhead(double jobWork, task_order order) const
{
    if (order == task_order::earliest_deadline)
        return 0; // unknown, because queuedWork is not indexed by deadline
    const auto end = order == task_order::fewest_remaining ? queuedWork.begin() + static_cast<std::ptrdiff_t>(magnitudeOf(jobWork)) : queuedWork.end();
    return std::accumulate(queuedWork.begin(), end, 0.0);
}

team_record& team_table::get(std::string_view name, const rules& activeRules)
{
    auto& entry = m_teams[std::string(name)];
    if (!entry) {
        entry = std::make_unique<team_record>();
        entry->name = name;
        entry->weight = activeRules.teamRule(name).weight;
        entry->virtualTime = m_systemVirtualTime;
    }
    return *entry;
}

void team_table::setRules(const rules& activeRules)
{
    for (auto& [name, team] : m_teams)
        team->weight = activeRules.teamRule(name).weight;
}

void team_table::recordQueued(team_record& team, std::uint32_t tasks)
{
    if (team.queuedTasks == 0)
        team.virtualTime = std::max(team.virtualTime, m_systemVirtualTime);
    team.queuedTasks += tasks;
}

void team_table::recordStarted(team_record& team, duration expected)
{
    m_systemVirtualTime = std::max(m_systemVirtualTime, team.virtualTime);
    --team.queuedTasks;
    ++team.runningTasks;
    team.virtualTime += static_cast<double>(expected.count()) / team.weight;
}

// Replaces the expected run time in the virtual time by the actual one.
void team_table::recordEnded(team_record& team, duration expected, duration actual)
{
    --team.runningTasks;
    team.virtualTime += static_cast<double>((actual - expected).count()) / team.weight;
}

double team_table::shareOf(const team_record& team) const
{
    double weights = team.queuedTasks > 0 ? 0 : team.weight;
    for (const auto& [name, each] : m_teams)
        weights += each->queuedTasks > 0 ? each->weight : 0;
    return team.weight / weights;
}

void team_table::removeIfIdle(time_point now, team_record& team, const rules& activeRules)
{
    if (team.jobs > 0)
        return;
    if (isBucketFull(now, team, activeRules.teamRule(team.name)))
        m_teams.erase(std::string(team.name));
    else if (m_teams.size() > maxIdleTeams)
        removeIdleTeams(now, activeRules);
}

void team_table::removeIdleTeams(time_point now, const rules& activeRules)
{
    std::erase_if(m_teams, [&](const auto& entry) {
        return entry.second->jobs == 0 && isBucketFull(now, *entry.second, activeRules.teamRule(entry.first));
    });
}

} // namespace jackdaw::coordination
