// Estimates an upstream's factor, the ratio of observed to expected run times, by a scalar Kalman filter on the
// logarithm of that ratio.
#pragma once

#include <algorithm>
#include <cmath>

namespace jackdaw::coordination {

class speed_estimate {
public:
    // Observed over expected run time: above 1 the upstream is slower than expected. 1 before the first sample.
    double factor() const { return m_factor; }

    // expectationVariance is the variance of the logarithm of the expected run time's error.
    void addSample(double observedOverExpected, double expectationVariance)
    {
        constexpr double maxStep = 3; // of the logarithm: one sample changes the factor by at most about 20 times
        m_variance += driftVariance;
        const double gain = m_variance / (m_variance + expectationVariance + measurementVariance);
        const double step = std::log(observedOverExpected) - m_logFactor;
        m_logFactor += gain * std::clamp(step, -maxStep, maxStep);
        m_logFactor = std::clamp(m_logFactor, minLogFactor, maxLogFactor);
        m_variance *= 1 - gain;
        m_factor = std::exp(m_logFactor);
    }

private:
    // Only the product of factor and run time is observed. Factors are relative to mean run times, whose logarithm is
    // above that of the median, so factors drift down and run-time estimates drift up. The bounds limit this drift.
    static constexpr double minLogFactor = -2.0794; // factor 1/8, the fastest speed band of the pool
    static constexpr double maxLogFactor = 5; // factor of about 150
    static constexpr double initialVariance = 0.5;
    static constexpr double driftVariance = 0.001; // added with each sample, because factors change
    static constexpr double measurementVariance = 0.01;

    double m_logFactor = 0;
    double m_variance = initialVariance;
    double m_factor = 1;
};

} // namespace jackdaw::coordination
