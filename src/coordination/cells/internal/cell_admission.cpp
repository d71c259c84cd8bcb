// Estimate of a job's wait, and what a refused caller is told.
#include "coordination/cells/internal/cell_admission.h"

#include <xxhash.h>

#include <algorithm>

namespace jackdaw::cells::internal {
namespace {

    constexpr duration noRoomEver = std::chrono::seconds(30); // nothing runs, and still there is no room
    constexpr std::uint32_t minRetryMs = 1000; // the unit of Retry-After is a second
    constexpr std::uint32_t maxRetryMs = 30000; // nobody knows the load of later
    constexpr std::uint32_t retrySpreadMs = 2000; // as long as the short bursts last

} // namespace

duration expectedWait(std::vector<duration> untilEnds, std::size_t waitingTasks)
{
    if (waitingTasks == 0)
        return duration::zero();
    if (untilEnds.empty())
        return noRoomEver;
    const std::size_t rounds = (waitingTasks - 1) / untilEnds.size();
    const std::size_t place = (waitingTasks - 1) % untilEnds.size();
    const duration longest = *std::max_element(untilEnds.begin(), untilEnds.end());
    std::nth_element(untilEnds.begin(), untilEnds.begin() + static_cast<std::ptrdiff_t>(place), untilEnds.end());
    return longest * static_cast<std::int64_t>(rounds) + untilEnds[place];
}

std::uint32_t retryAfterMs(duration wait, std::string_view job)
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const auto spread = static_cast<std::uint32_t>(XXH3_64bits(job.data(), job.size()) % retrySpreadMs);
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(waitMs, minRetryMs, maxRetryMs)) + spread;
}

} // namespace jackdaw::cells::internal
