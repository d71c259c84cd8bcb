// Estimates how fast an upstream runs tasks, from the run times of ended tasks.
//
// Load pattern: upstreams whose speeds differ by a factor of three, some of which slow down for seconds, and declared run times
// that are off by half. The ratio of observed to declared run time does not depend on the task's size, and the errors of single
// declarations average out over the tasks that end within a second. An estimate that keeps all jobs away gets no samples that could
// correct it, so what has not been confirmed lately is read as decayed; the average itself is kept, and one fresh sample restores it.
#pragma once

#include "protocol/time.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jackdaw::cells::internal {

using protocol::duration;
using protocol::time_point;

// Moves value towards target: half of the distance in each second of age.
inline double decayed(double value, double target, duration age)
{
    constexpr double halfLifeS = 1; // shorter than the 1.3 s after which a refused caller is back
    const double ageS = std::max(std::chrono::duration<double>(age).count(), 0.0);
    return target + (value - target) * std::exp2(-ageS / halfLifeS);
}

// Moving average of observed / declared run time. Starts at 1; the first samples weigh more.
class run_time_ratio {
public:
    void add(double ratio, time_point now)
    {
        constexpr double latestWeight = 0.15; // a change of speed shows after about seven tasks
        constexpr double usualWeight = 0.02; // a slowdown of a few seconds, in which few tasks end, changes it little
        constexpr double bound = 20; // limits the effect of a single wrong declaration
        ++m_samples;
        const double firstWeight = 1.0 / (m_samples + 1.0);
        m_latest += std::max(latestWeight, firstWeight) * (std::min(ratio, bound) - m_latest);
        m_usual += std::max(usualWeight, firstWeight) * (std::min(ratio, bound) - m_usual);
        m_sampledAt = now;
    }

    double latest() const { return m_latest; } // over the last tasks, whatever their age
    double usual() const { return m_usual; } // over about fifty tasks
    int samples() const { return m_samples; }
    time_point sampledAt() const { return m_sampledAt; } // valid with samples

private:
    double m_latest = 1;
    double m_usual = 1;
    int m_samples = 0;
    time_point m_sampledAt;
};

} // namespace jackdaw::cells::internal
