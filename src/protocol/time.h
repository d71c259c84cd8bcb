// Clock types. Scheduling and consensus code receives time points as arguments and never reads a clock itself.
#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>

namespace jackdaw::protocol {

using duration = std::chrono::microseconds;

// A point on a clock that never goes back and counts the time during which the machine was suspended, so that leases, deadlines and
// silence are over after a suspension. Never sent to another process.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

// Milliseconds since the Unix epoch; used for time stamps that are sent between processes.
using unix_milliseconds = std::chrono::duration<std::int64_t, std::milli>;

inline time_point steadyNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

inline unix_milliseconds unixNow()
{
    return std::chrono::duration_cast<unix_milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace jackdaw::protocol
