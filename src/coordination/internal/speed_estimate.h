// How much longer an upstream takes than the run-time model expects: a scalar Kalman filter on the logarithm of
// observed over expected run times.
#pragma once

#include <algorithm>
#include <cmath>

namespace jackdaw::coordination {

class speed_estimate {
public:
    // Observed over expected run time; 1 before the first sample. Large is slow.
    double factor() const { return m_factor; }

    // The variance is that of the logarithm of the expectation's own error.
    void addSample(double observedOverExpected, double expectationVariance)
    {
        constexpr double largestStep = 3; // on the logarithm: one sample moves the estimate by 20 times at most
        m_variance += driftVariance;
        const double gain = m_variance / (m_variance + expectationVariance + measurementVariance);
        const double step = std::log(observedOverExpected) - m_logFactor;
        m_logFactor += gain * std::clamp(step, -largestStep, largestStep);
        m_logFactor = std::clamp(m_logFactor, smallestLogFactor, largestLogFactor);
        m_variance *= 1 - gain;
        m_factor = std::exp(m_logFactor);
    }

private:
    // Only the product of a speed and a run time is observed. Speeds are compared with mean run times, whose logarithm
    // lies above that of the median, so speeds drift down and run times up, until a bound stops both.
    static constexpr double smallestLogFactor = -2.0794; // 8 times faster, the fastest speed band of the pool
    static constexpr double largestLogFactor = 5; // about 150 times slower
    static constexpr double initialVariance = 0.5;
    static constexpr double driftVariance = 0.001; // added with each sample: speeds change
    static constexpr double measurementVariance = 0.01;

    double m_logFactor = 0;
    double m_variance = initialVariance;
    double m_factor = 1;
};

} // namespace jackdaw::coordination
