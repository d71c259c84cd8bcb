// Clock types. Scheduling and consensus code receives time points as arguments and never reads a clock itself.
#pragma once

#include <chrono>
#include <cstdint>

namespace jackdaw::protocol {

using duration = std::chrono::microseconds;

// A point on the monotonic clock of one process. Never sent to another process.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

// Milliseconds since the Unix epoch; used for time stamps that are sent between processes.
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
