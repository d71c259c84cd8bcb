// The operators' rules that are in force, in the form that the dispatcher reads.
#pragma once

#include "protocol/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace jackdaw::coordination {

using protocol::duration;

enum class task_order {
    fifo,
    earliest_deadline,
    fewest_remaining // first the job with the least remaining work
};

struct team_rule {
    double weight = 1; // share of the upstreams relative to other teams; always positive
    std::uint32_t maxTasks = 0; // queued and running tasks in one zone; 0: no limit
    double tasksPerSecond = 0; // 0: no limit
    double burstTasks = 0; // token bucket size of the rate limit; 0: one second's worth of tasks
};

// Invariant: every ratio lies in [0, 1], every duration is positive.
struct rules {
    std::uint64_t version = 0; // increases with each change; 0: no rules yet
    std::map<std::string, team_rule, std::less<>> teams;
    team_rule defaultTeam;
    task_order order = task_order::fewest_remaining;
    std::uint32_t maxQueuedTasks = 200'000; // per entry host
    duration defaultDeadline = std::chrono::seconds(10);
    double retryBudget = 0.1; // retries allowed per task start
    bool retryIdempotentAfterLease = false; // retry idempotent tasks whose lease expired without an answer
    duration answerRetention = std::chrono::minutes(10);
    double maxEjectedRatio = 0.5; // share of the upstreams that may be ejected at the same time
    double slowUpstreamPenalty = 1.3; // a task waits for a busy upstream if it then ends this many times earlier; 0: never
    bool spillBetweenZones = false;

    const team_rule& teamRule(std::string_view team) const
    {
        const auto found = teams.find(team);
        return found == teams.end() ? defaultTeam : found->second;
    }
};

} // namespace jackdaw::coordination
