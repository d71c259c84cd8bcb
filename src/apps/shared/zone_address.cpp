// Reading of addresses.
#include "apps/shared/zone_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace jackdaw::apps {

using protocol::error_kind;
using protocol::makeError;
using protocol::result;

result<transport::endpoint> parseEndpoint(std::string_view text)
{
    const auto malformed = [&] { return makeError(error_kind::malformed_request, "'" + std::string(text) + "' is not ip:port"); };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return malformed();
    std::uint16_t port = 0;
    const char* const textEnd = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data() + colon + 1, textEnd, port);
    if (code != std::errc() || end != textEnd || port == 0)
        return malformed();
    return transport::endpoint { std::string(text.substr(0, colon)), port };
}

result<transport::endpoint> parseIpEndpoint(std::string_view text)
{
    auto address = parseEndpoint(text);
    if (!address)
        return address;
    in6_addr binary {}; // holds an address of either family
    const char* const host = address.value().host.c_str();
    if (inet_pton(AF_INET, host, &binary) != 1 && inet_pton(AF_INET6, host, &binary) != 1)
        return makeError(error_kind::malformed_request, "'" + address.value().host + "' is not an IP address");
    return address;
}

std::string toText(const transport::endpoint& address)
{
    return address.host + ':' + std::to_string(address.port);
}

result<zone_address> parseZoneAddress(std::string_view text)
{
    const auto equals = text.find('=');
    const bool hasZone = equals != std::string_view::npos;
    auto address = parseEndpoint(hasZone ? text.substr(equals + 1) : text);
    if (!address)
        return address.error();
    return zone_address { std::string(hasZone ? text.substr(0, equals) : std::string_view()), std::move(address.value()) };
}

} // namespace jackdaw::apps
