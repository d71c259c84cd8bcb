// Faults that a stand-in upstream can be told to have, at once or on a schedule.
#pragma once

#include "protocol/result.h"
#include "protocol/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace jackdaw::upstream {

enum class fault_mode {
    none,
    fail_all, // every task starts and fails at once
    slow, // tasks take longer by the factor
    silent, // tasks run, but POST /run is never answered
    refuse, // every task is refused as not started
    leave, // announces itself as leaving
    mute // announces nothing
};

std::string_view toText(fault_mode mode);
std::optional<fault_mode> parseFaultMode(std::string_view text);

struct fault {
    fault_mode mode = fault_mode::none;
    double factor = 1; // of fault_mode::slow; at least 1
};

constexpr double maxSlowFactor = 1000;

// One fault of a schedule: begins and ends so long after the start of the process.
struct fault_step {
    std::string instance;
    fault what;
    protocol::duration begin {};
    std::optional<protocol::duration> end; // without one the fault stays
};

// Reads "instance=mode[*factor][@begin_ms[..end_ms]]", for example "u3=slow*4@5000..15000".
protocol::result<fault_step> parseFaultStep(std::string_view text);

} // namespace jackdaw::upstream
