// Estimate of a job's wait, and of the retry delay for rejected callers.
#include "coordination/cells/internal/cell_admission.h"

#include <xxhash.h>

#include <algorithm>

namespace jackdaw::cells::internal {
namespace {

    constexpr duration waitWithoutRuns = std::chrono::seconds(30); // no run is going to end and free capacity
    constexpr std::uint32_t minRetryMs = 1000; // Retry-After has a resolution of one second
    constexpr std::uint32_t maxRetryMs = 30000; // an estimate further ahead says nothing about the load then
    constexpr std::uint32_t retrySpreadMs = 2000; // duration of a short burst

} // namespace

duration expectedWait(std::vector<duration> untilEnds, std::size_t waitingTasks)
{
    if (waitingTasks == 0)
        return duration::zero();
    if (untilEnds.empty())
        return waitWithoutRuns;
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
