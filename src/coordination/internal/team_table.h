// The teams that have jobs here, with their shares of the upstreams.
#pragma once

#include "coordination/rules.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jackdaw::coordination {

// Fair sharing by virtual time: each start adds its expected run time over the team's weight, and the team with the
// lowest virtual time is served first.
struct team_record {
    std::string name;
    double weight = 1;
    double virtualTime = 0; // microseconds of run time over the weight
    std::uint32_t jobs = 0; // accepted and not yet erased
    std::uint32_t queuedTasks = 0;
    std::uint32_t runningTasks = 0;
};

class team_table {
public:
    // The team's record, made where there is none. It stays while its count of jobs is not zero.
    team_record& get(std::string_view name, const rules& inForce);
    void setRules(const rules& inForce);

    // A team that was idle starts at the virtual time of those that are served now: idleness earns no credit.
    void noteQueued(team_record& team, std::uint32_t tasks);
    void noteStarted(team_record& team, duration expected);
    void noteEnded(team_record& team, duration expected, duration actual);

    void forgetIfIdle(team_record& team);

private:
    std::unordered_map<std::string, std::unique_ptr<team_record>> m_teams;
    double m_servedTime = 0; // virtual time of the team that was served last; only goes up
};

} // namespace jackdaw::coordination
