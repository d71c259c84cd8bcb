// JSON encoding and decoding of upstream announcements.
#include "protocol/announcement.h"

#include "protocol/internal/json_reader.h"

#include <arpa/inet.h>

#include <charconv>
#include <cmath>

namespace jackdaw::protocol {
namespace {

    constexpr std::uint64_t maxSlots = 4096;
    constexpr std::uint64_t maxTtlMs = 60'000;
    constexpr std::uint64_t maxMemoryMb = 1U << 30;
    constexpr double maxCores = 1 << 16;

    bool isIpAddress(const std::string& text)
    {
        in6_addr binary {}; // holds an address of either family
        return inet_pton(AF_INET, text.c_str(), &binary) == 1 || inet_pton(AF_INET6, text.c_str(), &binary) == 1;
    }

    void readAddress(internal::json_reader& reader, announcement& out)
    {
        const std::string address = reader.requiredString("address");
        const auto colon = address.rfind(':');
        const std::size_t portAt = colon == std::string::npos ? address.size() : colon + 1;
        const char* const textEnd = address.data() + address.size();
        const auto [end, code] = std::from_chars(address.data() + portAt, textEnd, out.port);
        out.host = address.substr(0, colon);
        // A host name would block the event loop while it is resolved.
        if (code != std::errc() || end != textEnd || out.port == 0 || !isIpAddress(out.host))
            reader.fail("'address' is not ip:port");
    }

    void readState(internal::json_reader& reader, announcement& out)
    {
        const std::string state = reader.requiredString("state");
        if (state != "serving" && state != "leaving")
            reader.fail("'state' is neither serving nor leaving");
        out.state = state == "leaving" ? upstream_state::leaving : upstream_state::serving;
    }

} // namespace

result<announcement> parseAnnouncement(std::string_view json)
{
    internal::json_reader reader(json);
    announcement out;
    out.name = reader.requiredString("name");
    out.incarnation = reader.requiredInteger("incarnation", 0, UINT64_MAX);
    readAddress(reader, out);
    out.zone = reader.requiredString("zone");
    out.slots = static_cast<std::uint32_t>(reader.requiredInteger("slots", 1, maxSlots));
    out.connections = static_cast<std::uint32_t>(reader.integerOr("connections", out.slots, 1, maxSlots));
    out.capacity = reader.resourcesOr({ static_cast<std::uint32_t>(maxCores), static_cast<std::uint32_t>(maxMemoryMb), 0 });
    readState(reader, out);
    out.ttl = std::chrono::milliseconds(reader.requiredInteger("ttl_ms", 1, maxTtlMs));
    if (out.name.empty())
        reader.fail("'name' is empty");
    if (reader.hasFailed())
        return reader.takeError();
    return out;
}

std::string toJson(const announcement& announcement)
{
    const nlohmann::json json {
        { "name", announcement.name },
        { "incarnation", announcement.incarnation },
        { "address", announcement.host + ':' + std::to_string(announcement.port) },
        { "zone", announcement.zone },
        { "slots", announcement.slots },
        { "connections", announcement.connections },
        { "cores", announcement.capacity.millicores / internal::millicoresPerCore },
        { "memory_mb", announcement.capacity.memoryMb },
        { "accelerators", announcement.capacity.accelerators },
        { "state", announcement.state == upstream_state::leaving ? "leaving" : "serving" },
        { "ttl_ms", std::chrono::duration_cast<std::chrono::milliseconds>(announcement.ttl).count() },
    };
    return json.dump();
}

} // namespace jackdaw::protocol
