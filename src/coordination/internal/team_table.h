// The teams that have jobs here, with their shares of the upstreams.
#pragma once

#include "coordination/internal/token_bucket.h"
#include "coordination/rules.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jackdaw::coordination {

using protocol::time_point;

// Fair sharing by virtual time: each start adds its expected run time over the team's weight, and the team with the
// lowest virtual time is served first.
struct team_record {
    std::string name;
    double weight = 1;
    double virtualTime = 0; // microseconds of run time over the weight
    std::uint32_t jobs = 0; // accepted and not yet erased
    std::uint32_t queuedTasks = 0;
    std::uint32_t runningTasks = 0;
    token_bucket rate; // of tasks
    // Expected run times of the queued tasks, by the order of magnitude of their job's whole work. Microseconds.
    std::array<double, 64> queuedWork {};

    // The queued work that goes before a job of the given work.
    double workAhead(double jobWork, task_order order) const;
    static std::size_t magnitudeOf(double jobWork);
};

// The capacity of the team's rate limit, in tasks.
inline double burstCapacity(const team_rule& rule)
{
    return rule.burstTasks > 0 ? rule.burstTasks : rule.tasksPerSecond;
}

class team_table {
public:
    // The team's record, made where there is none. It stays while its count of jobs is not zero.
    team_record& get(std::string_view name, const rules& activeRules);
    void setRules(const rules& activeRules);

    // A team that was idle starts at the virtual time of those that are served now: idleness earns no credit.
    void recordQueued(team_record& team, std::uint32_t tasks);
    void recordStarted(team_record& team, duration expected);
    void recordEnded(team_record& team, duration expected, duration actual);

    // The team's share of the upstreams against the teams that have queued tasks, from 0 to 1.
    double shareOf(const team_record& team) const;

    // Drops the record of a team without jobs, unless its rate limit still has to recover.
    void removeIfIdle(time_point now, team_record& team, const rules& activeRules);

private:
    void removeIdleTeams(time_point now, const rules& activeRules);

    std::unordered_map<std::string, std::unique_ptr<team_record>> m_teams;
    double m_systemVirtualTime = 0; // virtual time of the team that was served last; only goes up
};

} // namespace jackdaw::coordination
