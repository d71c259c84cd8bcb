// Seeded workloads of the policy bench, and the ideal response of each job.
#pragma once

#include "protocol/job.h"
#include "protocol/time.h"

#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace jackdaw::bench {

using protocol::duration;
using protocol::time_point;

// One job with what the dispatcher is not told.
struct bench_job {
    protocol::job_request request;
    time_point arrival {};
    std::vector<duration> work; // run time of each task on an upstream of factor 1
    bool isFlood = false; // of the team that floods the system
};

enum class fault_kind {
    none,
    failing, // one upstream in ten fails everything at once
    refusing, // one in ten refuses everything at once, provably not started
    slow, // one in ten becomes four times slower
    silent // one start in a thousand gets no answer, half of them after the task was taken
};

struct workload_settings {
    bool dune = false; // bursts and longer deadlines; else Zapisnikar's steady minutes
    std::uint64_t seed = 1;
    double load = 0.7; // fraction of the true capacity, the sum of speeds times slots
    duration length = std::chrono::seconds(120);
    bool flood = false; // one more team adds twice the capacity in the middle fifth
    double cancelRatio = 0.01; // of the jobs, cancelled at a random moment
};

// Factors of the run times, 1 for the fastest to 4 for the slowest, evenly spread on a logarithmic scale.
std::vector<double> upstreamFactors(std::size_t count);

// Work that the upstreams do in one second, in seconds of factor 1.
double capacityOf(std::span<const double> factors, std::uint32_t slots);

std::vector<bench_job> makeWorkload(const workload_settings& settings, double capacity);

// The response of the job alone on the idle upstreams: longest task first, each to the slot that ends it first.
duration idealResponse(std::span<const duration> work, std::span<const double> factors, std::uint32_t slots, duration roundTrip);

} // namespace jackdaw::bench
