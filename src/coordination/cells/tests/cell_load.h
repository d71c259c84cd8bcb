// Replays load on one simulated cell: a mix of short jobs with many tasks, long jobs and plain jobs, as users submit them, with
// declared run times that are off by 40 %, on upstreams of three speeds.
#pragma once

#include "coordination/cells/tests/cell_simulation.h"

#include <array>
#include <cstdint>
#include <vector>

namespace jackdaw::cells::tests {

struct load_pattern {
    double jobsPerSecond = 30;
    double burst = 1; // factor on the job rate for four of every twelve seconds
    duration length = std::chrono::seconds(24);
    upstream_fault fault = upstream_fault::none; // of faultyUpstreams upstreams, for six of every twelve seconds
    int faultyUpstreams = 2;
    double slowdown = 1; // factor on the run times of three upstreams, for six of every twelve seconds
    int upstreams = 16;
    double runTimes = 1; // factor on the run times of all jobs
    duration ownerCost {}; // of the owner's CPU for each task; 0: none
};

// One class of the users' jobs.
struct load_class {
    const char* name;
    double share; // of all jobs
    double meanTasks;
    double meanRunMs;
    double worth; // of an average job that ends in time
    std::uint32_t priority;
};

constexpr std::array<load_class, 3> jobClasses { {
    { "short-wide", 34.4, 8, 60, 0.0291, 0 },
    { "long", 6.25, 4, 900, 0.16, 2 },
    { "plain", 100, 2, 200, 0.01, 1 },
} };

struct load_result {
    double worth = 0; // earned / offered; a late job earns a fifth, up to three times its objective
    std::array<double, 3> worthOfClass {};
    std::array<double, 3> worthOfLargest {}; // of the largest tenth of the jobs of each class
    double refused = 0; // share of jobs
    double lateRefused = 0; // share of jobs refused later than after a quarter of their objective
    std::vector<double> inTimeBySecond; // share of the jobs submitted in this second that completed within their objective
    std::size_t doubleRuns = 0;
    std::size_t overfills = 0;
};

// Share of the jobs submitted within these seconds of each period of twelve that completed within their objective.
double inTimeWithin(const load_result& result, std::size_t from, std::size_t to);

load_result replayLoad(const load_pattern& pattern, std::uint64_t seed);

} // namespace jackdaw::cells::tests
