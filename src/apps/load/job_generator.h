// Draws the jobs of a load and their arrival times. The same seed gives the same jobs.
#pragma once

#include "apps/load/workload.h"
#include "protocol/job.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jackdaw::load {

struct planned_task {
    duration work {}; // at speed 1
    duration declared {};
};

struct planned_job {
    duration arrival {}; // since the start of the load
    std::string team;
    bool isIdempotent = false;
    std::vector<planned_task> tasks;
    std::uint64_t randomHigh = 0; // of the submission id
    std::uint64_t randomLow = 0;
    std::optional<duration> resubmissionDelay; // after the first sending

    duration longestWork() const;
};

class job_generator {
public:
    job_generator(workload load, std::uint64_t seed);

    // Jobs come in the order of their arrival.
    planned_job next();

    // The mean arrival rate outside of bursts, as given or as derived from the utilization.
    double jobsPerSecond() const { return m_jobsPerSecond; }

private:
    duration drawArrival();
    bool isInBurst(duration time) const;
    planned_task drawTask();
    bool chance(double share);

    workload m_load;
    std::mt19937_64 m_random;
    double m_jobsPerSecond = 0;
    duration m_lastArrival {};
};

// The echo each task of a submission must answer with.
std::string expectedEcho(const protocol::submission_id& submission, std::size_t index, std::size_t payloadBytes);

// Builds the request that is sent.
protocol::job_request makeRequest(const planned_job& job, const workload& load, const protocol::submission_id& submission);

// Why the results are not the whole answer to this submission, in order; nothing when they are.
std::optional<std::string> findMismatch(
    const planned_job& job, const workload& load, const protocol::submission_id& submission, const protocol::job_results& results);

} // namespace jackdaw::load
