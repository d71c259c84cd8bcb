// Settings of jackdaw-upstream.
#pragma once

#include "apps/shared/zone_address.h"
#include "apps/upstream/fault.h"
#include "protocol/job.h"
#include "protocol/result.h"
#include "state/log.h"
#include "state/settings_reader.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jackdaw::upstream {

struct upstream_settings {
    std::string name; // instances are named after it, with a number from 1
    std::vector<std::string> zones; // dealt to the instances in turn; never empty
    std::size_t instances = 1;
    std::string address; // numeric IP address
    std::uint16_t firstPort = 0; // of the first instance, the others follow; 0: any free port
    std::vector<apps::zone_address> entries; // where to announce; those without a zone serve every zone
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    protocol::resources capacity;
    std::vector<double> speeds; // dealt to the instances of each zone in turn; never empty, all positive
    protocol::duration ttl {};
    std::vector<fault_step> faults;
    transport::endpoint control;
    state::log_settings log;
};

// Reads and checks everything; the reader's finish() is called here.
protocol::result<upstream_settings> readUpstreamSettings(state::settings_reader& reader);

} // namespace jackdaw::upstream
