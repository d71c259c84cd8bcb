// When callers are answered that can't be given a result.
#pragma once

#include "protocol/time.h"

#include <chrono>

namespace jackdaw::cells {

// Before a caller's deadline: a tick of the host's loop, 20 ms, and as much for the way to the caller and back.
constexpr protocol::duration answerMargin = std::chrono::milliseconds(40);

} // namespace jackdaw::cells
