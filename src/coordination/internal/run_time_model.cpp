// Log-normal statistics in two levels: all tasks of a client, and its tasks by order of magnitude of the declared run
// time.
#include "coordination/internal/run_time_model.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <cmath>
#include <functional>

namespace jackdaw::coordination {
namespace {

    constexpr std::size_t maxEntries = 20'000; // of the table of one level
    constexpr double maxSamples = 100; // a new sample has at least the weight 1 / maxSamples
    constexpr double priorSamples = 3; // weight of the more general level, in samples
    constexpr double learnedSamples = 10; // from this number on an estimate counts as learned
    constexpr double priorVariance = 1; // of the logarithm, without samples
    constexpr double percentile95Deviations = 1.645; // standard deviations to the 95th percentile
    constexpr double maxLogRatio = 7; // a ratio of about 1000
    constexpr duration defaultRunTime = std::chrono::milliseconds(300);

    duration baseRunTime(duration declared)
    {
        return declared > duration::zero() ? declared : defaultRunTime;
    }

    std::uint64_t clientKey(std::string_view client, duration declared)
    {
        return std::hash<std::string_view> {}(client)*2 + (declared > duration::zero() ? 1 : 0);
    }

    std::uint64_t declarationKey(std::string_view client, duration declared)
    {
        const auto magnitude = std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(declared.count(), 0)));
        return clientKey(client, declared) * 64 + magnitude;
    }

    duration scaled(duration base, double logRatio)
    {
        const double ratio = std::exp(std::clamp(logRatio, -maxLogRatio, maxLogRatio));
        return duration { std::max<std::int64_t>(1, std::llround(static_cast<double>(base.count()) * ratio)) };
    }

} // namespace

void run_time_model::statistics::add(time_point now, double value)
{
    lastSampleAt = now;
    samples = std::min(samples + 1, maxSamples);
    const double step = value - mean;
    mean += step / samples;
    variance += (step * (value - mean) - variance) / samples;
}

run_time_estimate run_time_model::estimate(std::string_view client, duration declared) const
{
    double mean = 0;
    double variance = priorVariance;
    const auto refine = [&](const statistics* level) {
        if (!level)
            return;
        const double share = level->samples / (level->samples + priorSamples);
        mean += share * (level->mean - mean);
        variance += share * (level->variance - variance);
    };
    const statistics* ofClient = find(m_byClient, clientKey(client, declared));
    refine(ofClient);
    refine(find(m_byDeclaration, declarationKey(client, declared)));
    const duration base = baseRunTime(declared);
    // The mean of a log-normal distribution is exp(mean + variance / 2). The cap keeps it below 1.3 times the median, so
    // that without samples the estimate is close to the declaration.
    const double meanVariance = std::min(variance, priorVariance / 2);
    run_time_estimate result;
    result.mean = scaled(base, mean + meanVariance / 2);
    result.percentile95 = scaled(base, mean + percentile95Deviations * std::sqrt(variance));
    result.logVariance = variance;
    result.learned = ofClient && ofClient->samples >= learnedSamples;
    result.lastSampleAt = ofClient ? ofClient->lastSampleAt : time_point {};
    return result;
}

void run_time_model::addSample(time_point now, std::string_view client, duration declared, duration atFactorOne)
{
    const double ratio = static_cast<double>(std::max<std::int64_t>(1, atFactorOne.count())) / static_cast<double>(baseRunTime(declared).count());
    const double value = std::clamp(std::log(ratio), -maxLogRatio, maxLogRatio);
    addSampleTo(m_byClient, clientKey(client, declared), now, value);
    addSampleTo(m_byDeclaration, declarationKey(client, declared), now, value);
}

const run_time_model::statistics* run_time_model::find(const std::unordered_map<std::uint64_t, statistics>& from, std::uint64_t key)
{
    const auto found = from.find(key);
    return found == from.end() ? nullptr : &found->second;
}

void run_time_model::addSampleTo(std::unordered_map<std::uint64_t, statistics>& into, std::uint64_t key, time_point now, double value)
{
    if (into.size() >= maxEntries && !into.contains(key))
        into.clear();
    into[key].add(now, value);
}

} // namespace jackdaw::coordination
