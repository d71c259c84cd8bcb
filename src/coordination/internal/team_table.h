// The teams that have jobs on this host, and their shares of the upstreams.
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

// Weighted fair queueing: each start adds its expected run time divided by the team's weight to the team's virtual
// time, and the team with the lowest virtual time is served first.
struct team_record {
    std::string name;
    double weight = 1;
    double virtualTime = 0; // microseconds of run time divided by the weight
    std::uint32_t jobs = 0; // admitted and not yet erased
    std::uint32_t queuedTasks = 0;
    std::uint32_t runningTasks = 0;
    token_bucket rate; // the rate limit; one token for each task
    // Sums of the expected run times of queued tasks, by magnitudeOf() their job's whole work. Microseconds.
    std::array<double, 64> queuedWork {};

    // The queued work that is started before a job with the given work.
    double workAhead(double jobWork, task_order order) const;
    // The binary logarithm, rounded down, as an index of queuedWork.
    static std::size_t magnitudeOf(double jobWork);
};

// The capacity of the team's token bucket, in tasks. One second's rate unless the rule sets a burst.
inline double burstCapacity(const team_rule& rule)
{
    return rule.burstTasks > 0 ? rule.burstTasks : rule.tasksPerSecond;
}

class team_table {
public:
    // Returns the team's record, and adds it if it is missing. The record is kept while it has jobs.
    team_record& get(std::string_view name, const rules& activeRules);
    void setRules(const rules& activeRules);

    // Raises the virtual time of a team without queued tasks to the system virtual time, so that it gains no advantage
    // from the time in which it was idle.
    void recordQueued(team_record& team, std::uint32_t tasks);
    void recordStarted(team_record& team, duration expected);
    void recordEnded(team_record& team, duration expected, duration actual);

    // The team's share of the upstreams by weight, relative to the teams with queued tasks; from 0 to 1.
    double shareOf(const team_record& team) const;

    // Removes the record of a team without jobs if its token bucket is full. Otherwise the record keeps the rate limit in
    // force; while there are many records, each such call also removes those of other idle teams with a full bucket.
    void removeIfIdle(time_point now, team_record& team, const rules& activeRules);

private:
    void removeIdleTeams(time_point now, const rules& activeRules);

    std::unordered_map<std::string, std::unique_ptr<team_record>> m_teams;
    double m_systemVirtualTime = 0; // virtual time of the team served last; never decreases
};

} // namespace jackdaw::coordination
