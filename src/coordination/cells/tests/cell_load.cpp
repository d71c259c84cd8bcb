// Draws random jobs, replays them, and sums up their worth.
#include "coordination/cells/tests/cell_load.h"

#include <algorithm>
#include <cmath>

namespace jackdaw::cells::tests {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    constexpr double lateShare = 0.2; // of a job's worth, up to three times its objective
    constexpr double declaredSpread = 0.4;
    constexpr double sizeSpread = 0.4;
    constexpr seconds period(12);

    struct asked_job {
        std::size_t kind = 0;
        double work = 0; // core-milliseconds
        double worth = 0;
        duration objective {};
        std::size_t second = 0; // of the replay, in which it was submitted
    };

    double drawAround(std::mt19937_64& random, double mean, double spread, double most)
    {
        // Log-normal with this mean.
        const double sigma = std::sqrt(std::log(1 + spread * spread));
        std::lognormal_distribution<double> distribution(std::log(mean) - sigma * sigma / 2, sigma);
        return std::clamp(distribution(random), mean / 10, mean * most);
    }

    bool isWithin(time_point now, time_point start, seconds from, seconds to)
    {
        const auto phase = (now - start) % period;
        return phase >= from && phase < to;
    }

    void setFaults(cell_simulation& sim, const load_pattern& pattern, bool isDisturbed)
    {
        if (pattern.fault != upstream_fault::none) {
            for (int i = 0; i < pattern.faultyUpstreams; ++i)
                sim.upstream("u" + std::to_string(pattern.upstreams - 1 - i)).fault = isDisturbed ? pattern.fault : upstream_fault::none;
        }
        if (pattern.slowdown > 1) {
            for (const char* id : { "u2", "u6", "u11" })
                sim.upstream(id).slowness = isDisturbed ? pattern.slowdown : 1;
        }
    }

    void addUp(const cell_simulation& sim, const std::map<std::string, asked_job>& asked, load_result& result)
    {
        std::array<double, 3> askedOfClass {};
        std::array<std::vector<double>, 3> works;
        for (const auto& [id, job] : asked)
            works[job.kind].push_back(job.work);
        std::array<double, 3> largest {};
        for (std::size_t kind = 0; kind < works.size(); ++kind) {
            std::sort(works[kind].begin(), works[kind].end());
            largest[kind] = works[kind].empty() ? 0 : works[kind][works[kind].size() * 9 / 10];
        }
        std::array<double, 3> askedOfLargest {};
        double sum = 0;
        std::vector<double> askedBySecond;
        for (const auto& [id, job] : asked) {
            const auto found = sim.outcomes().find(id);
            double earned = 0;
            if (found != sim.outcomes().end() && found->second.answer.outcome == protocol::job_outcome::completed) {
                const duration took = found->second.took;
                earned = took <= job.objective ? job.worth : (took <= 3 * job.objective ? job.worth * lateShare : 0);
            }
            if (found != sim.outcomes().end() && found->second.answer.outcome == protocol::job_outcome::rejected) {
                result.refused += 1.0 / static_cast<double>(asked.size());
                result.lateRefused += found->second.took > job.objective / 4 ? 1.0 / static_cast<double>(asked.size()) : 0;
            }
            if (job.second >= askedBySecond.size()) {
                askedBySecond.resize(job.second + 1);
                result.inTimeBySecond.resize(job.second + 1);
            }
            ++askedBySecond[job.second];
            result.inTimeBySecond[job.second] += earned == job.worth ? 1 : 0;
            sum += job.worth;
            result.worth += earned;
            askedOfClass[job.kind] += job.worth;
            result.worthOfClass[job.kind] += earned;
            if (job.work >= largest[job.kind]) {
                askedOfLargest[job.kind] += job.worth;
                result.worthOfLargest[job.kind] += earned;
            }
        }
        result.worth /= sum;
        for (std::size_t second = 0; second < askedBySecond.size(); ++second)
            result.inTimeBySecond[second] /= std::max(askedBySecond[second], 1.0);
        for (std::size_t kind = 0; kind < askedOfClass.size(); ++kind) {
            result.worthOfClass[kind] /= askedOfClass[kind];
            result.worthOfLargest[kind] /= askedOfLargest[kind];
        }
    }

} // namespace

double inTimeWithin(const load_result& result, std::size_t from, std::size_t to)
{
    double sum = 0;
    std::size_t count = 0;
    for (std::size_t second = 0; second < result.inTimeBySecond.size(); ++second) {
        const std::size_t phase = second % static_cast<std::size_t>(period.count());
        if (phase < from || phase >= to)
            continue;
        sum += result.inTimeBySecond[second];
        ++count;
    }
    return count == 0 ? 0 : sum / static_cast<double>(count);
}

load_result replayLoad(const load_pattern& pattern, std::uint64_t seed)
{
    constexpr std::array<double, 3> speeds { 0.6, 1.0, 1.6 };
    cell_simulation sim(seed);
    std::mt19937_64 random(seed);
    for (int i = 0; i < pattern.upstreams; ++i)
        sim.addUpstream("u" + std::to_string(i), i % 3 == 2 ? 48000 : 32000, speeds[random() % speeds.size()]);
    sim.addOwner();
    sim.setOwnerCost(pattern.ownerCost);
    sim.runFor(milliseconds(100));
    const time_point start = sim.now();
    std::discrete_distribution<std::size_t> drawKind({ jobClasses[0].share, jobClasses[1].share, jobClasses[2].share });
    std::map<std::string, asked_job> asked;
    for (int number = 0; sim.now() - start < pattern.length; ++number) {
        const double rate = pattern.jobsPerSecond * (isWithin(sim.now(), start, seconds(4), seconds(8)) ? pattern.burst : 1);
        std::exponential_distribution<double> pause(rate);
        sim.runFor(std::chrono::duration_cast<duration>(std::chrono::duration<double>(pause(random))));
        setFaults(sim, pattern, isWithin(sim.now(), start, seconds(3), seconds(9)));
        asked_job job;
        job.kind = drawKind(random);
        const load_class& kind = jobClasses[job.kind];
        const auto tasks = static_cast<std::uint32_t>(std::max(1.0, std::round(drawAround(random, kind.meanTasks, sizeSpread, 4))));
        const double runMs = drawAround(random, kind.meanRunMs * pattern.runTimes, sizeSpread, 4);
        const double millicores = std::min(drawAround(random, 14000, 0.2, 2), 20000.0);
        const double declaredMs = runMs * drawAround(random, 1, declaredSpread, 4);
        job.work = tasks * runMs / pattern.runTimes * millicores / 1000;
        job.worth = kind.worth * std::min(0.3 + 0.7 * job.work / (kind.meanTasks * kind.meanRunMs * 14), 4.0);
        const std::string id = std::to_string(number);
        protocol::job_order order = sim.makeJob(id, tasks, static_cast<std::int64_t>(millicores), static_cast<std::uint32_t>(std::max(declaredMs, 1.0)), kind.priority);
        job.objective = milliseconds(static_cast<std::int64_t>(order.slackFactor * runMs) + order.targetMs);
        constexpr std::uint32_t shortestDeadlineMs = 1500;
        const auto patienceMs = static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(3 * job.objective).count());
        order.timeLeftMs = std::max(shortestDeadlineMs, patienceMs);
        job.second = static_cast<std::size_t>(std::chrono::duration_cast<seconds>(sim.now() - start).count());
        asked[id] = job;
        sim.submit(0, order, static_cast<std::uint32_t>(runMs));
    }
    setFaults(sim, pattern, false);
    sim.runFor(seconds(4));
    load_result result;
    addUp(sim, asked, result);
    result.doubleRuns = sim.doubleRuns();
    result.overfills = sim.overfills();
    return result;
}

} // namespace jackdaw::cells::tests
