// The burn report as one HTML page that needs nothing else: the table, and a plot of each objective's burn over time.
#pragma once

#include "apps/burn/text_report.h"

namespace jackdaw::burn {

// The page for the burns as they stand now.
std::string toHtml(const burn_history& history, std::span<const objective_burn> burns, std::span<const host_state> hosts, unix_milliseconds now);

} // namespace jackdaw::burn
