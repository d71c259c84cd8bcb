// Refuses jobs that can't be served, before anything of them is kept.
#pragma once

#include "coordination/internal/run_time_model.h"
#include "coordination/internal/team_table.h"
#include "coordination/internal/upstream_pool.h"
#include "protocol/job.h"

#include <cstddef>
#include <optional>

namespace jackdaw::coordination {

// What an admission rests on.
struct admission_context {
    time_point now {};
    const rules& activeRules;
    const upstream_pool& upstreams;
    const team_table& teams;
    const run_time_model& runTimes;
    std::size_t queuedTasks = 0;
    double meanWork = 1; // of started tasks; microseconds at factor 1
};

// The refusal of a job that no upstream fits, or for which the queue has no room; it depends on no team.
std::optional<protocol::job_failure> checkCapacity(const admission_context& conditions, const protocol::job_request& job);

// The refusal by the team's quota, its rate limit, or a deadline that can't be met. Refills the team's rate limit.
std::optional<protocol::job_failure> checkTeamLimits(const admission_context& conditions, const protocol::job_request& job, team_record& team);

} // namespace jackdaw::coordination
