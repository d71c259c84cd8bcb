// Virtual time of teams.
#include "coordination/internal/team_table.h"

#include <algorithm>

namespace jackdaw::coordination {

team_record& team_table::get(std::string_view name, const rules& inForce)
{
    auto& entry = m_teams[std::string(name)];
    if (!entry) {
        entry = std::make_unique<team_record>();
        entry->name = name;
        entry->weight = inForce.teamRule(name).weight;
        entry->virtualTime = m_servedTime;
    }
    return *entry;
}

void team_table::setRules(const rules& inForce)
{
    for (auto& [name, team] : m_teams)
        team->weight = inForce.teamRule(name).weight;
}

void team_table::noteQueued(team_record& team, std::uint32_t tasks)
{
    if (team.queuedTasks == 0)
        team.virtualTime = std::max(team.virtualTime, m_servedTime);
    team.queuedTasks += tasks;
}

void team_table::noteStarted(team_record& team, duration expected)
{
    m_servedTime = std::max(m_servedTime, team.virtualTime);
    --team.queuedTasks;
    ++team.runningTasks;
    team.virtualTime += static_cast<double>(expected.count()) / team.weight;
}

// Replaces the expected run time by the actual one.
void team_table::noteEnded(team_record& team, duration expected, duration actual)
{
    --team.runningTasks;
    team.virtualTime += static_cast<double>((actual - expected).count()) / team.weight;
}

void team_table::forgetIfIdle(team_record& team)
{
    if (team.jobs > 0)
        return;
    m_teams.erase(std::string(team.name));
}

} // namespace jackdaw::coordination
