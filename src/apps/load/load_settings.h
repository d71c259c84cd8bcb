// Settings of jackdaw-load.
#pragma once

#include "apps/load/workload.h"
#include "apps/shared/zone_address.h"
#include "apps/upstream/fault.h"
#include "protocol/result.h"
#include "state/log.h"
#include "state/settings_reader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jackdaw::load {

struct load_settings {
    std::vector<apps::zone_address> entries; // callers' ports; never empty
    std::vector<transport::endpoint> operators; // operators' ports of the same hosts, for their counters
    std::vector<transport::endpoint> upstreamControls; // control ports of the stand-ins
    std::uint64_t seed = 0; // 0: drawn at the start and printed
    std::size_t jobs = 0;
    duration maxTime {}; // of the arrivals
    bool isZoneNamed = false; // each job names the zone of the entry host that it is first sent to
    double fastestSpeed = 0; // of the upstreams, for the ideal response; 0: as the stand-ins say
    std::vector<upstream::fault_step> faults; // times count from the first arrival
    std::string resultsFile; // empty: none
    workload load;
    state::log_settings log;
};

// Reads and checks everything; the reader's finish() is called here.
protocol::result<load_settings> readLoadSettings(state::settings_reader& reader);

} // namespace jackdaw::load
