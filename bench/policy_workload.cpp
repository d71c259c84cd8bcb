// Generates job sizes, run times, declared run times and arrivals.
#include "policy_workload.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace jackdaw::bench {
namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t teamCount = 5;
    constexpr std::size_t clientsPerTeam = 4;
    constexpr std::size_t sampleJobs = 4000; // number of jobs drawn to estimate the mean work of a job
    constexpr double burstPeriod = 20; // seconds from one burst to the next

    double logUniform(std::mt19937_64& random, double low, double high)
    {
        std::uniform_real_distribution<double> exponent(std::log(low), std::log(high));
        return std::exp(exponent(random));
    }

    duration seconds(double value)
    {
        return std::chrono::round<duration>(std::chrono::duration<double>(value));
    }

    double total(std::span<const duration> work)
    {
        duration sum {};
        for (duration each : work)
            sum += each;
        return std::chrono::duration<double>(sum).count();
    }

    // 90 % of the jobs have 1 to 16 tasks, 9 % have 17 to 100, 1 % have 101 to 640.
    std::size_t drawSize(std::mt19937_64& random)
    {
        const auto percent = std::uniform_int_distribution<int>(0, 99)(random);
        if (percent < 90)
            return static_cast<std::size_t>(logUniform(random, 1, 17));
        if (percent < 99)
            return static_cast<std::size_t>(logUniform(random, 17, 101));
        return static_cast<std::size_t>(logUniform(random, 101, 641));
    }

    // One task in 200 runs for 2 to 5 s, the others for 50 ms to 1 s.
    duration drawWork(std::mt19937_64& random)
    {
        if (std::uniform_int_distribution<int>(0, 199)(random) == 0)
            return seconds(logUniform(random, 2, 5));
        return seconds(logUniform(random, 0.05, 1));
    }

    // Of each team's four clients, two declare run times within 10 %, one is wrong by a fixed factor, and one declares
    // none.
    duration declare(std::mt19937_64& random, std::size_t client, duration work)
    {
        constexpr double wrongFactors[] = { 0.1, 0.2, 0.5, 4, 10 };
        const double noise = std::uniform_real_distribution<double>(0.9, 1.1)(random);
        switch (client % clientsPerTeam) {
        case 2:
            return std::chrono::round<duration>(work * noise * wrongFactors[client / clientsPerTeam % std::size(wrongFactors)]);
        case 3:
            return duration::zero();
        default:
            return std::chrono::round<duration>(work * noise);
        }
    }

    bench_job drawJob(std::mt19937_64& random, bool dune, bool isFlood)
    {
        bench_job job;
        const std::size_t client = std::uniform_int_distribution<std::size_t>(0, teamCount * clientsPerTeam - 1)(random);
        const std::uint64_t high = random();
        job.request.submission = protocol::makeSubmissionId(protocol::unix_milliseconds { 1 }, high, random());
        job.request.client = isFlood ? "flood" : "client" + std::to_string(client);
        job.request.team = isFlood ? "flood" : "team" + std::to_string(client / clientsPerTeam);
        job.request.deadline = seconds(dune ? logUniform(random, 30, 120) : logUniform(random, 8, 30));
        job.isFlood = isFlood;
        const std::size_t size = drawSize(random);
        for (std::size_t i = 0; i < size; ++i) {
            job.work.push_back(drawWork(random));
            job.request.tasks.push_back({ "payload", { 500, 256, 0 }, declare(random, client, job.work.back()) });
        }
        return job;
    }

    double meanWork(std::mt19937_64 random, bool dune)
    {
        double sum = 0;
        for (std::size_t i = 0; i < sampleJobs; ++i)
            sum += total(drawJob(random, dune, false).work);
        return sum / sampleJobs;
    }

    // In the preset dune, jobs arrive at twice the mean rate in the first quarter of each period, and at two thirds of
    // it in the rest.
    double rateAt(bool dune, double second)
    {
        if (!dune)
            return 1;
        return std::fmod(second, burstPeriod) < burstPeriod / 4 ? 2.0 : 2.0 / 3;
    }

    // Adds arrivals of a Poisson process with a varying rate, drawn by thinning at the peak rate.
    void addArrivals(std::vector<bench_job>& jobs, std::mt19937_64& random, const workload_settings& settings, double from, double to, double rate, bool isFlood)
    {
        const double peak = settings.dune ? 2 : 1;
        std::exponential_distribution<double> gap(rate * peak);
        std::uniform_real_distribution<double> accept(0, peak);
        for (double second = from + gap(random); second < to; second += gap(random)) {
            if (accept(random) > rateAt(settings.dune, second))
                continue;
            jobs.push_back(drawJob(random, settings.dune, isFlood));
            jobs.back().arrival = time_point {} + 1000s + seconds(second);
        }
    }

} // namespace

std::vector<double> upstreamFactors(std::size_t count)
{
    std::vector<double> factors;
    for (std::size_t i = 0; i < count; ++i)
        factors.push_back(std::pow(4.0, count > 1 ? static_cast<double>(i) / static_cast<double>(count - 1) : 0.0));
    return factors;
}

double capacityOf(std::span<const double> factors, std::uint32_t slots)
{
    double speeds = 0;
    for (double factor : factors)
        speeds += 1 / factor;
    return speeds * slots;
}

std::vector<bench_job> makeWorkload(const workload_settings& settings, double capacity)
{
    std::mt19937_64 random(settings.seed);
    const double rate = settings.load * capacity / meanWork(random, settings.dune);
    const double length = std::chrono::duration<double>(settings.length).count();
    std::vector<bench_job> jobs;
    addArrivals(jobs, random, settings, 0, length, rate, false);
    if (settings.flood)
        addArrivals(jobs, random, settings, length * 0.4, length * 0.6, rate * 2 / settings.load, true);
    std::sort(jobs.begin(), jobs.end(), [](const bench_job& a, const bench_job& b) { return a.arrival < b.arrival; });
    return jobs;
}

duration idealResponse(std::span<const duration> work, std::span<const double> factors, std::uint32_t slots, duration roundTrip)
{
    std::vector<duration> ordered(work.begin(), work.end());
    std::sort(ordered.begin(), ordered.end(), std::greater<>());
    std::vector<std::vector<double>> slotEnds(factors.size(), std::vector<double>(slots, 0.0)); // by upstream, min-heaps
    double last = 0;
    for (const duration each : ordered) {
        std::size_t best = 0;
        double bestEnd = 0;
        for (std::size_t i = 0; i < factors.size(); ++i) {
            const double end = slotEnds[i].front() + static_cast<double>(each.count()) * factors[i];
            if (i > 0 && end >= bestEnd)
                continue;
            best = i;
            bestEnd = end;
        }
        auto& heap = slotEnds[best];
        std::pop_heap(heap.begin(), heap.end(), std::greater<>());
        heap.back() = bestEnd;
        std::push_heap(heap.begin(), heap.end(), std::greater<>());
        last = std::max(last, bestEnd);
    }
    return duration { static_cast<std::int64_t>(last) } + roundTrip;
}

} // namespace jackdaw::bench
