// Estimates for admission control: how long a job would wait for free capacity.
//
// Load pattern: bursts of 1.3 to 1.8 times the upstreams' capacity, for seconds. A job that waits in vain keeps its caller from
// going elsewhere and makes other jobs miss their objective. So it is admitted only if enough running tasks are expected to end
// in time, and a rejection tells the caller when to retry.
#pragma once

#include "protocol/time.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace jackdaw::cells::internal {

using protocol::duration;

// Returns the expected time until the last of the waiting tasks starts, if each takes the place of one running task.
// untilEnds: expected remaining time of each running task.
duration expectedWait(std::vector<duration> untilEnds, std::size_t waitingTasks);

// Returns the retry delay for a rejected caller. A hash of the job's id spreads it, so that callers do not retry all at once.
std::uint32_t retryAfterMs(duration wait, std::string_view job);

} // namespace jackdaw::cells::internal
