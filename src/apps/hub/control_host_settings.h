// Settings of a hub: a control host that finds its group by seeds. The keys are documented in docs/OPERATIONS.md.
#pragma once

#include "protocol/result.h"
#include "state/log.h"
#include "transport/http_client.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::hub {

struct control_host_settings {
    std::string name; // for logs
    std::string host; // IP address; names the host in its group and in the mesh
    std::string dataFolder;
    std::vector<std::string> seeds; // IP addresses of control hosts
    bool isFirstStart = false; // of the whole system, with empty disks
    transport::endpoint operatorEndpoint; // operators and upstreams call here
    std::uint16_t metricsPort = 0; // 0: no metrics page
    std::uint16_t meshPort = 0; // of every control host
    std::uint16_t entryMeshPort = 0; // of every entry host
    state::log_level logLevel = state::log_level::info;
};

protocol::result<control_host_settings> readControlHostSettings(const std::string& path);
protocol::result<control_host_settings> parseControlHostSettings(std::string_view text, const std::string& fileName);

} // namespace jackdaw::hub
