// What an operators' rules file says, checked and typed. A rule that the file leaves out is absent here; defaults belong
// to the code that applies the rules.
#pragma once

#include "protocol/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jackdaw::state {

// One rule as it stands in the file.
struct rule_line {
    std::string name; // dotted, "team.minutes"
    std::string value; // TOML text of the value
    std::string author; // who asked for it, from the comment beside it
    std::size_t line = 0; // counted from 1

    friend bool operator==(const rule_line&, const rule_line&) = default;
};

enum class job_order {
    fifo,
    earliest_deadline,
    fewest_remaining
};

struct team_limits {
    std::optional<double> weight; // always positive
    std::optional<std::uint32_t> maxTasks; // 0: no limit
    std::optional<double> tasksPerSecond; // 0: no limit
    std::optional<double> burstTasks;
};

// Service level of one client's jobs for one team; read by the burn report.
struct service_objective {
    std::string client;
    std::string team;
    double target = 0; // share of the jobs, between 0 and 1, both excluded
    protocol::duration within {};
};

// Invariant: ratios lie in [0, 1], durations are positive, and lines are in the file's order with distinct names.
struct rules_document {
    std::vector<rule_line> lines;

    std::map<std::string, team_limits, std::less<>> teams;
    std::optional<team_limits> defaultTeam;
    std::optional<job_order> order;
    std::optional<protocol::duration> defaultDeadline;
    std::optional<std::uint32_t> maxQueuedTasks;
    std::optional<double> retryBudget;
    std::optional<bool> retryIdempotentAfterLease;
    std::optional<protocol::duration> answerRetention;
    std::optional<double> maxEjectedRatio;
    std::optional<double> slowUpstreamPenalty;
    std::optional<bool> spillBetweenZones;
    std::vector<service_objective> objectives;
};

} // namespace jackdaw::state
