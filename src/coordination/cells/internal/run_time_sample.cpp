// Bounds of run times from the clocks of an upstream's responses.
#include "coordination/cells/internal/run_time_sample.h"

#include <algorithm>
#include <chrono>

namespace jackdaw::cells::internal {

using std::chrono::milliseconds;

namespace {

    // Of the declared run time. An error of this share changes an estimate by less than the spread of the declarations, 0.4.
    constexpr double timelyShare = 0.25;

} // namespace

std::optional<double> sampleRunTime(time_point now, const run_record& run, std::int64_t endClockMs, double estimateMs, duration ownDelay)
{
    const double localMs = std::chrono::duration<double, std::milli>(std::max<duration>(now - run.since - ownDelay, milliseconds(1))).count();
    const bool areClocksKnown = run.startClockMs > 0 && endClockMs >= run.startClockMs;
    if (!areClocksKnown)
        return localMs;
    // 1 ms, the clock's resolution, keeps a run within one tick from counting as none.
    const auto most = static_cast<double>(std::max<std::int64_t>(endClockMs - run.startClockMs, 1));
    const double least = std::clamp(static_cast<double>(run.listedClockMs - run.startClockMs), 0.0, most);
    // An owner that is in time measures the run itself. The estimate alone would never rise between two lists of the upstream.
    if (std::chrono::duration<double, std::milli>(ownDelay).count() < run.expectedMs * timelyShare)
        return std::clamp(localMs, least, most);
    const bool isInside = least <= estimateMs && estimateMs <= most;
    if (isInside && most - least > run.expectedMs)
        return std::nullopt;
    return std::clamp(estimateMs, least, most);
}

duration ageOf(time_point now, const run_record& run, duration ownDelay)
{
    const duration local = std::max(now - run.since - ownDelay, duration::zero());
    if (run.startClockMs <= 0 || run.listedClockMs <= run.startClockMs)
        return local;
    return std::max<duration>(local, milliseconds(run.listedClockMs - run.startClockMs));
}

} // namespace jackdaw::cells::internal
