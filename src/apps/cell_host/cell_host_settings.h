// Settings of a cell host, which finds the other entry hosts through the control hosts. The keys are documented in
// docs/OPERATIONS.md.
#pragma once

#include "apps/shared/machine_limits.h"
#include "protocol/result.h"
#include "protocol/time.h"
#include "state/log.h"
#include "transport/http_client.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::cell_host {

struct cell_host_settings {
    std::string name; // for log lines only
    std::string host; // IP address; identifies the host in the mesh
    std::string zone;
    std::uint32_t processorMillicores = 0;
    std::vector<std::string> seeds; // IP addresses of control hosts
    transport::endpoint callerEndpoint;
    transport::endpoint readinessEndpoint;
    std::uint16_t metricsPort = 0; // 0: metrics are not served
    std::uint16_t meshPort = 0; // the same on every entry host
    std::uint16_t controlMeshPort = 0; // the same on every control host
    protocol::duration maxLease {}; // longest lease of the tasks on an upstream
    protocol::duration reportInterval {}; // between two reports of an upstream
    protocol::duration stopTime {}; // within which an upstream ends a stopped task
    protocol::duration gracePeriod {}; // from SIGTERM until the process is killed
    state::log_level logLevel = state::log_level::info;
    apps::machine_limits limits;
};

protocol::result<cell_host_settings> readCellHostSettings(const std::string& path);
protocol::result<cell_host_settings> parseCellHostSettings(std::string_view text, const std::string& fileName);

} // namespace jackdaw::cell_host
