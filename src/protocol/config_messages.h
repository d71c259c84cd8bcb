// Messages that distribute the accepted rules from the control hosts to the entry hosts.
//
// A control host pushes an accepted version immediately. An entry host sends a pull with its active version: after each push
// as acknowledgement, at startup, and whenever a heartbeat carries a newer version. A pull with an older version is answered
// by a push. Each message is sent in a service_message of mesh_service::configuration (protocol/mesh_messages.h).
#pragma once

#include "protocol/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace jackdaw::protocol {

// The complete rules file of one accepted version.
struct rules_push {
    std::uint64_t version = 0;
    std::string text;

    friend bool operator==(const rules_push&, const rules_push&) = default;
};

// Carries the version that is active on the sender; 0: none yet.
struct rules_pull {
    std::uint64_t version = 0;

    friend bool operator==(const rules_pull&, const rules_pull&) = default;
};

// An operator's request that the entry host shuts down as on SIGTERM.
struct drain_request {
    friend bool operator==(const drain_request&, const drain_request&) = default;
};

using config_message = std::variant<rules_push, rules_pull, drain_request>;

constexpr std::string_view controlMeshPrefix = "control/";

// The mesh name of a host's control process. An entry process uses the name of its host.
inline std::string controlMeshName(std::string_view host)
{
    return std::string(controlMeshPrefix) + std::string(host);
}

std::string encodeConfigMessage(const config_message& message);

// Fails with corrupt_data when the bytes are not a valid configuration message.
result<config_message> decodeConfigMessage(std::string_view bytes);

} // namespace jackdaw::protocol
