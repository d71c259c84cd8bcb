// Structured logs: one line an event, key=value, on standard output.
//
// Logging never waits: lines that the reader of standard output has no room for are left out and counted, and so are lines below
// warning over the bound. A line tells how many were left out.
//   logEvent(log_level::info, "job_answered", { { "submission", id }, { "state", "complete" } });
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace jackdaw::state {

enum class log_level {
    debug,
    info,
    warning,
    error
};

struct log_field {
    std::string_view key;
    std::string value;
};

struct log_settings {
    log_level level = log_level::info;
    std::string program;
    std::string file; // empty: standard output
    std::uint32_t maxLinesPerSecond = 2000; // on standard output; 0: no bound. Five times an entry host's lines at full load
};

// To be called once, before the first logEvent.
void configureLog(const log_settings& settings);

bool isLogged(log_level level);

// Lines that were not written to standard output since the start. Any thread.
std::uint64_t logLinesLeftOut();

// Values with spaces, quotes or control characters are quoted and escaped. Any thread.
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields);

// "debug", "info", "warning" or "error"; anything else yields info.
log_level parseLogLevel(std::string_view name);

} // namespace jackdaw::state
