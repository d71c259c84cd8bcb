// Random jobs, and the check of their answers.
#include "apps/load/job_generator.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace jackdaw::load {
namespace {

    constexpr double microsecondsPerSecond = 1e6;
    constexpr double microsecondsPerMillisecond = 1e3;

    // The mean of a log-uniform distribution.
    double logUniformMean(double low, double high)
    {
        return high > low ? (high - low) / std::log(high / low) : low;
    }

    double drawLogUniform(std::mt19937_64& random, double low, double high)
    {
        if (high <= low)
            return low;
        return std::exp(std::uniform_real_distribution(std::log(low), std::log(high))(random));
    }

    duration fromMicroseconds(double microseconds)
    {
        return duration(std::llround(microseconds));
    }

    double meanWorkPerJob(const task_plan& plan)
    {
        // A count is drawn as the whole part of a number up to maxCount + 1.
        double meanCount = static_cast<double>(plan.minCount);
        if (plan.maxCount > plan.minCount) {
            const double span = std::log(static_cast<double>(plan.maxCount + 1) / static_cast<double>(plan.minCount));
            meanCount = 0;
            for (std::size_t count = plan.minCount; count <= plan.maxCount; ++count)
                meanCount += static_cast<double>(count) * std::log(static_cast<double>(count + 1) / static_cast<double>(count)) / span;
        }
        const double usual = logUniformMean(static_cast<double>(plan.minWork.count()), static_cast<double>(plan.maxWork.count()));
        const double meanWork = usual * (1 - plan.longShare) + static_cast<double>(plan.longWork.count()) * plan.longShare;
        return meanCount * meanWork / microsecondsPerSecond;
    }

    double arrivalRate(const workload& load)
    {
        if (load.arrivals.jobsPerSecond > 0)
            return load.arrivals.jobsPerSecond;
        return load.arrivals.utilization * load.arrivals.capacity / std::max(meanWorkPerJob(load.tasks), 1e-6);
    }

} // namespace

duration planned_job::longestWork() const
{
    return std::ranges::max_element(tasks, {}, &planned_task::work)->work;
}

job_generator::job_generator(workload load, std::uint64_t seed)
    : m_load(std::move(load))
    , m_random(seed)
    , m_jobsPerSecond(arrivalRate(m_load))
{
}

bool job_generator::chance(double share)
{
    return std::bernoulli_distribution(share)(m_random);
}

bool job_generator::isInBurst(duration time) const
{
    const arrival_plan& plan = m_load.arrivals;
    return plan.burstInterval > duration::zero() && time % plan.burstInterval < plan.burstLength;
}

// Thins a Poisson process of the highest rate to the rate of the moment.
duration job_generator::drawArrival()
{
    const double factor = m_load.arrivals.burstInterval > duration::zero() ? m_load.arrivals.burstFactor : 1;
    const double highestRate = m_jobsPerSecond * std::max(factor, 1.0);
    std::exponential_distribution gap(highestRate);
    for (;;) {
        m_lastArrival += fromMicroseconds(gap(m_random) * microsecondsPerSecond);
        const double rate = m_jobsPerSecond * (isInBurst(m_lastArrival) ? factor : 1);
        if (chance(rate / highestRate))
            return m_lastArrival;
    }
}

planned_task job_generator::drawTask()
{
    const task_plan& plan = m_load.tasks;
    planned_task task;
    if (chance(plan.longShare))
        task.work = plan.longWork;
    else
        task.work = fromMicroseconds(drawLogUniform(m_random, static_cast<double>(plan.minWork.count()), static_cast<double>(plan.maxWork.count())));
    task.declared = task.work;
    if (chance(m_load.declarations.wrongShare)) {
        const double factor = chance(0.5) ? m_load.declarations.wrongFactor : 1 / m_load.declarations.wrongFactor;
        task.declared = fromMicroseconds(static_cast<double>(task.work.count()) * factor);
    }
    return task;
}

planned_job job_generator::next()
{
    planned_job job;
    job.arrival = drawArrival();
    job.team = m_load.teams[std::uniform_int_distribution<std::size_t>(0, m_load.teams.size() - 1)(m_random)];
    job.isIdempotent = chance(m_load.idempotentShare);
    const task_plan& plan = m_load.tasks;
    const double drawn = drawLogUniform(m_random, static_cast<double>(plan.minCount), static_cast<double>(plan.maxCount + 1));
    const std::size_t count = std::clamp(static_cast<std::size_t>(drawn), plan.minCount, plan.maxCount);
    for (std::size_t i = 0; i < count; ++i)
        job.tasks.push_back(drawTask());
    job.randomHigh = m_random();
    job.randomLow = m_random();
    const resubmission_plan& again = m_load.resubmissions;
    if (chance(again.share))
        job.resubmissionDelay = duration(std::uniform_int_distribution(again.minDelay.count(), again.maxDelay.count())(m_random));
    return job;
}

std::string expectedEcho(const protocol::submission_id& submission, std::size_t index, std::size_t payloadBytes)
{
    return protocol::toText(submission) + '#' + std::to_string(index) + std::string(payloadBytes, '.');
}

protocol::job_request makeRequest(const planned_job& job, const workload& load, const protocol::submission_id& submission)
{
    protocol::job_request request;
    request.submission = submission;
    request.client = load.client;
    request.team = job.team;
    request.deadline = load.deadline;
    request.idempotent = job.isIdempotent;
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        const nlohmann::json payload {
            { "work_ms", static_cast<double>(job.tasks[i].work.count()) / microsecondsPerMillisecond },
            { "echo", expectedEcho(submission, i, load.tasks.payloadBytes) },
        };
        protocol::task_spec task;
        task.payload = payload.dump();
        task.expectedRunTime = job.tasks[i].declared;
        request.tasks.push_back(std::move(task));
    }
    return request;
}

std::optional<std::string> findMismatch(
    const planned_job& job, const workload& load, const protocol::submission_id& submission, const protocol::job_results& results)
{
    if (results.bodies.size() != job.tasks.size())
        return std::to_string(results.bodies.size()) + " results for " + std::to_string(job.tasks.size()) + " tasks";
    for (std::size_t i = 0; i < results.bodies.size(); ++i) {
        if (results.bodies[i] != expectedEcho(submission, i, load.tasks.payloadBytes))
            return "result " + std::to_string(i) + " is not that of its task";
    }
    return std::nullopt;
}

} // namespace jackdaw::load
