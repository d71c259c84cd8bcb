// Estimates how fast an upstream runs tasks, from the run times of ended tasks.
//
// Load pattern: upstreams whose speeds differ by a factor of three, some of which slow down for seconds, and declared run times
// that are off by half. The ratio of observed to declared run time does not depend on the task's size, and the errors of single
// declarations average out over the tasks that end within a second.
#pragma once

#include "protocol/time.h"

#include <algorithm>

namespace jackdaw::cells::internal {

// Moving average of observed / declared run time. Starts at 1; the first samples weigh more.
class run_time_ratio {
public:
    void add(double ratio)
    {
        constexpr double steadyWeight = 0.15; // a change of speed shows after about seven tasks
        constexpr double bound = 20; // limits the effect of a single wrong declaration
        ++m_samples;
        const double weight = std::max(steadyWeight, 1.0 / (m_samples + 1.0));
        m_value += weight * (std::min(ratio, bound) - m_value);
    }

    double value() const { return m_value; }
    int samples() const { return m_samples; }

private:
    double m_value = 1;
    int m_samples = 0;
};

} // namespace jackdaw::cells::internal
