// Run times as the upstream saw them.
//
// Load pattern: an owner that is short of CPU during a burst. It sends starts late and reads ends late, by more than a short task
// takes. The time from sending a start to reading the end then measures the owner. The upstream's own clock, which each of its
// responses carries, bounds the run time however late the responses are read.
#pragma once

#include "coordination/cells/internal/upstream_record.h"

#include <cstdint>
#include <optional>

namespace jackdaw::cells::internal {

// Time that tasks take at the owner beyond their run: until the start is sent and until the end is read. It does not grow with the
// run time, so it is learned apart. Halves in each second without a sample.
class run_overhead {
public:
    void add(duration overhead, time_point now)
    {
        constexpr double weight = 0.1; // about the last ten tasks, since the tasks of one job wait for each other
        const double old = decayed(m_meanMs, 0, now - m_sampledAt);
        m_meanMs = old + weight * (std::max(std::chrono::duration<double, std::milli>(overhead).count(), 0.0) - old);
        m_sampledAt = now;
    }
    duration expected(time_point now) const { return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(decayed(m_meanMs, 0, now - m_sampledAt))); }

private:
    double m_meanMs = 0;
    time_point m_sampledAt;
};

// Run time of an ended run in ms: the local time less ownDelay while that is short, else the estimate, both clamped to the bounds that
// the upstream's clock gives. Without known clocks, the local time less ownDelay. Empty if the bounds contain the estimate and are so
// wide that they say nothing of it.
// endClockMs: of the response that listed the end, 0 if not known. ownDelay: expected between a call and reading its response.
std::optional<double> sampleRunTime(time_point now, const run_record& run, std::int64_t endClockMs, double estimateMs, duration ownDelay);

// For how long a run that has not been listed as ended is known to take, without the owner's own delay.
duration ageOf(time_point now, const run_record& run, duration ownDelay);

} // namespace jackdaw::cells::internal
