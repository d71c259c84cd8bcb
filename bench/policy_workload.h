// Generates seeded workloads for the policy bench, and computes the ideal response time of a job.
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

// A job with properties that the dispatcher does not know.
struct bench_job {
    protocol::job_request request;
    time_point arrival {};
    std::vector<duration> work; // run time of each task on an upstream of factor 1
    bool isFlood = false; // submitted by the additional team of workload_settings::flood
};

enum class fault_kind {
    none,
    failing, // one upstream in ten fails all tasks immediately
    refusing, // one in ten refuses all tasks immediately and reports them as not started
    slow, // one in ten becomes four times slower
    silent // one start in a thousand gets no answer; in half of these cases the task is run
};

struct workload_settings {
    bool dune = false; // preset dune: bursts and longer deadlines; else zapisnikar: a steady rate
    std::uint64_t seed = 1;
    double load = 0.7; // fraction of the true capacity, the sum of speeds times slots
    duration length = std::chrono::seconds(120);
    bool flood = false; // an additional team submits twice the capacity during the middle fifth of the run
    double cancelRatio = 0.01; // share of the admitted jobs that are cancelled, each at a random time
};

// Returns run-time factors from 1 (fastest) to 4 (slowest), evenly spaced on a logarithmic scale.
std::vector<double> upstreamFactors(std::size_t count);

// Returns the work that the upstreams complete in one second, in seconds of run time at factor 1.
double capacityOf(std::span<const double> factors, std::uint32_t slots);

// Returns the jobs in order of arrival. capacity is as returned by capacityOf().
std::vector<bench_job> makeWorkload(const workload_settings& settings, double capacity);

// Returns the response time of a job that has all upstreams to itself: tasks are placed longest first, each on the slot
// where it ends earliest.
duration idealResponse(std::span<const duration> work, std::span<const double> factors, std::uint32_t slots, duration roundTrip);

} // namespace jackdaw::bench
