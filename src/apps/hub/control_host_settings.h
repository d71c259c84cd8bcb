// Settings of a control host, which finds the other members of its group by seed addresses. The keys are documented in
// docs/OPERATIONS.md.
#pragma once

#include "apps/shared/machine_limits.h"
#include "protocol/result.h"
#include "state/log.h"
#include "transport/http_client.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::hub {

struct control_host_settings {
    std::string name; // for log lines only
    std::string host; // IP address; identifies the host in its group and in the mesh
    std::string dataFolder;
    std::vector<std::string> seeds; // IP addresses of control hosts
    std::size_t toleratedLosses = 1; // disks that may be lost at once without loss of a change
    bool isFirstStart = false; // first start of the whole system, with empty disks
    transport::endpoint operatorEndpoint; // serves operators and upstreams
    std::uint16_t metricsPort = 0; // 0: metrics are not served
    std::uint16_t meshPort = 0; // the same on every control host
    std::uint16_t entryMeshPort = 0; // the same on every entry host
    std::vector<std::string> zones; // that can be evacuated; empty: every well-formed name
    state::log_level logLevel = state::log_level::info;
    apps::machine_limits limits;
};

protocol::result<control_host_settings> readControlHostSettings(const std::string& path);
protocol::result<control_host_settings> parseControlHostSettings(std::string_view text, const std::string& fileName);

} // namespace jackdaw::hub
