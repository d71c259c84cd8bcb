// Admission control: decides whether a new job is refused, before any state is kept for it.
#pragma once

#include "coordination/internal/run_time_model.h"
#include "coordination/internal/team_table.h"
#include "coordination/internal/upstream_pool.h"
#include "protocol/job.h"

#include <cstddef>
#include <optional>

namespace jackdaw::coordination {

// The state that an admission decision depends on.
struct admission_context {
    time_point now {};
    const rules& activeRules;
    const upstream_pool& upstreams;
    const team_table& teams;
    const run_time_model& runTimes;
    std::size_t queuedTasks = 0;
    double meanWork = 1; // mean run time of started tasks at factor 1; microseconds
};

// Returns the refusal if no upstream serves, none that serves is large enough for a task, or the queue is full. These checks
// don't depend on the team.
std::optional<protocol::job_failure> checkCapacity(const admission_context& context, const protocol::job_request& job);

// Returns the refusal if the job exceeds its team's quota or rate limit, or can't meet its deadline. Refills the team's
// token bucket but takes no tokens.
std::optional<protocol::job_failure> checkTeamLimits(const admission_context& context, const protocol::job_request& job, team_record& team);

} // namespace jackdaw::coordination
