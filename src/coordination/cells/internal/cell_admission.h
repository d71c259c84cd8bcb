// Whether a job may wait for room.
//
// Load pattern: bursts of 1.3 to 1.8 times what the upstreams can carry, for seconds. A job that waits in vain has kept its
// caller from going elsewhere and pushes others over their objective, so it is let in only when enough running tasks are
// expected to end early enough, and a refusal names when that will be.
#pragma once

#include "protocol/time.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace jackdaw::cells::internal {

using protocol::duration;

// Until the last of so many waiting tasks is expected to start, when each takes the place of one running task.
// untilEnds: expected time left of each running task.
duration expectedWait(std::vector<duration> untilEnds, std::size_t waitingTasks);

// For a refused caller: when there will be room, spread by the job's id so that callers do not return together.
std::uint32_t retryAfterMs(duration wait, std::string_view job);

} // namespace jackdaw::cells::internal
