// Messages by which control hosts hand the accepted rules to the entry hosts.
//
// A control host pushes an accepted version at once. An entry host sends a pull with the version it has in force: after
// each push as acknowledgement, at its start, and whenever a heartbeat names a newer version. The answer to a pull from an
// older version is a push. Each travels as the service_message for configuration of protocol/mesh_messages.h.
#pragma once

#include "protocol/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace jackdaw::protocol {

// The rules file of one accepted version, whole.
struct rules_push {
    std::uint64_t version = 0;
    std::string text;

    friend bool operator==(const rules_push&, const rules_push&) = default;
};

// "I have this version in force"; 0: none yet.
struct rules_pull {
    std::uint64_t version = 0;

    friend bool operator==(const rules_pull&, const rules_pull&) = default;
};

// An operator's wish that the entry host stops as on SIGTERM.
struct drain_request {
    friend bool operator==(const drain_request&, const drain_request&) = default;
};

using config_message = std::variant<rules_push, rules_pull, drain_request>;

// The name of a host's control process in the mesh; entry processes go by the host's name.
inline std::string controlMeshName(std::string_view host)
{
    return "control/" + std::string(host);
}

std::string encodeConfigMessage(const config_message& message);

// corrupt_data when the bytes are not such a message.
result<config_message> decodeConfigMessage(std::string_view bytes);

} // namespace jackdaw::protocol
