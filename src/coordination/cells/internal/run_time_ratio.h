// How fast each upstream runs tasks, learned from their ends.
//
// Load pattern: upstreams whose speeds differ by a factor of three, some of which turn slow for seconds; declared run times
// that are off by half. A ratio of observed to declared time cancels the size of the task; the error of one declaration is
// averaged out over the tasks that end in a second.
#pragma once

#include "protocol/time.h"

#include <algorithm>

namespace jackdaw::cells::internal {

// A running mean of observed / declared run time. Starts at 1 and moves fast while it has few samples.
class run_time_ratio {
public:
    void add(double ratio)
    {
        constexpr double steadyWeight = 0.15; // a change of speed shows after some seven tasks
        constexpr double bound = 20; // one absurd declaration must not outweigh all others
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
