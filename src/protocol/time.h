// The project's clock types. Decision code receives time points; it never reads a clock itself.
#pragma once

#include <chrono>
#include <cstdint>

namespace jackdaw::protocol {

using duration = std::chrono::microseconds;

// A point on the monotonic clock of one process. Never sent to another process.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

// Milliseconds since the Unix epoch; the unit of time stamps that cross processes.
using unix_milliseconds = std::chrono::duration<std::int64_t, std::milli>;

inline time_point steadyNow()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

inline unix_milliseconds unixNow()
{
    return std::chrono::duration_cast<unix_milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace jackdaw::protocol
