// The burn report as a table for terminals.
#pragma once

#include "apps/burn/burn_rate.h"

#include <span>
#include <string>

namespace jackdaw::burn {

// How each host stands.
struct host_state {
    std::string host;
    bool isAnswering = false;
    std::optional<unix_milliseconds> lastReading; // nothing when it never answered
};

std::string toTable(std::span<const objective_burn> burns, std::span<const host_state> hosts, unix_milliseconds now);

// "1 h", "5 min", "30 s" or "250 ms".
std::string toText(unix_milliseconds length);

} // namespace jackdaw::burn
