// Addresses in settings: "ip:port", and "zone=ip:port" for those that belong to an availability zone.
#pragma once

#include "protocol/result.h"
#include "transport/http_client.h"

#include <string>
#include <string_view>

namespace jackdaw::apps {

struct zone_address {
    std::string zone; // empty when none was named
    transport::endpoint address;

    friend bool operator==(const zone_address&, const zone_address&) = default;
};

// Reads "ip:port".
protocol::result<transport::endpoint> parseEndpoint(std::string_view text);

// Reads "ip:port" from another machine. Fails for a host name, which would block the event loop while it is resolved.
protocol::result<transport::endpoint> parseIpEndpoint(std::string_view text);

// "ip:port".
std::string toText(const transport::endpoint& address);

// Reads "zone=ip:port" or "ip:port".
protocol::result<zone_address> parseZoneAddress(std::string_view text);

} // namespace jackdaw::apps
