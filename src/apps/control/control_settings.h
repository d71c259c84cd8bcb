// Settings of jackdaw-control. The keys are documented in docs/OPERATIONS.md.
#pragma once

#include "protocol/result.h"
#include "protocol/time.h"
#include "state/log.h"
#include "transport/http_client.h"

#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::control {

// A host that runs, or may run, a member of the control group.
struct control_member {
    std::string host;
    transport::endpoint mesh;
    transport::endpoint operators; // the operators' HTTP port
};

struct entry_address {
    std::string host;
    transport::endpoint mesh;
};

struct control_settings {
    std::string host;
    std::string group;
    std::string dataFolder;
    std::vector<control_member> members; // this host among them, no host twice
    std::vector<entry_address> entries; // no host twice
    std::string tokensFile;
    protocol::duration heartbeat {};
    protocol::duration minElectionTimeout {}; // at least three heartbeats
    protocol::duration changeTimeout {}; // an operator's change that is not committed by then is answered timed_out
    std::size_t compactAfterEntries = 0;
    state::log_level logLevel = state::log_level::info;
    std::string logFile; // empty: standard error

    const control_member& self() const;
    const control_member* findMember(std::string_view memberHost) const; // null when there is none
};

protocol::result<control_settings> readControlSettings(const std::string& path);
protocol::result<control_settings> parseControlSettings(std::string_view text, const std::string& fileName);

} // namespace jackdaw::control
