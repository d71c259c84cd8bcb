// Reading of jackdaw-upstream's settings.
#include "apps/upstream/upstream_settings.h"

#include "apps/shared/settings_keys.h"

#include <cstdlib>

namespace jackdaw::upstream {
namespace {

    using state::settings_reader;

    constexpr std::int64_t maxInstances = 2000;
    constexpr std::int64_t maxSlots = 4096;
    constexpr std::int64_t maxMemoryMb = 1 << 24;
    constexpr double maxCores = 4096;
    constexpr double maxSpeed = 1000;
    constexpr double millicoresPerCore = 1000;

    protocol::result<double> parseSpeed(const std::string& text)
    {
        char* end = nullptr;
        const double speed = std::strtod(text.c_str(), &end);
        if (*end == 0 && speed > 0 && speed <= maxSpeed)
            return speed;
        return protocol::makeError(protocol::error_kind::malformed_request, "holds '" + text + "', which is no positive number");
    }

    void readCapacity(settings_reader& reader, upstream_settings& out)
    {
        out.slots = static_cast<std::uint32_t>(reader.integerOr("slots", 8, 1, maxSlots));
        out.connections = static_cast<std::uint32_t>(reader.integerOr("connections", 60, 1, maxSlots));
        out.capacity.millicores = static_cast<std::uint32_t>(reader.numberOr("cores", 32, 0, maxCores) * millicoresPerCore);
        out.capacity.memoryMb = static_cast<std::uint32_t>(reader.integerOr("memory_mb", 65536, 0, maxMemoryMb));
        out.capacity.accelerators = static_cast<std::uint32_t>(reader.integerOr("accelerators", 0, 0, maxSlots));
    }

    void readIdentity(settings_reader& reader, upstream_settings& out)
    {
        out.name = reader.requiredString("name");
        out.zones = reader.stringsOr("zones", { "a" });
        if (out.zones.empty())
            reader.fail("zones", "is empty");
        out.instances = static_cast<std::size_t>(reader.integerOr("instances", 1, 1, maxInstances));
        out.address = reader.stringOr("address", "127.0.0.1");
        out.firstPort = static_cast<std::uint16_t>(reader.integerOr("first_port", 0, 0, UINT16_MAX - maxInstances));
        out.ttl = reader.millisecondsOr("ttl_ms", std::chrono::seconds(3), std::chrono::milliseconds(100), std::chrono::minutes(1));
        out.speeds = apps::readList<double>(reader, "speeds", parseSpeed);
        if (out.speeds.empty())
            out.speeds.push_back(1);
    }

} // namespace

protocol::result<upstream_settings> readUpstreamSettings(settings_reader& reader)
{
    upstream_settings out;
    readIdentity(reader, out);
    readCapacity(reader, out);
    out.entries = apps::readList<apps::zone_address>(reader, "entries", apps::parseZoneAddress);
    out.faults = apps::readList<fault_step>(reader, "faults", parseFaultStep);
    out.control.host = reader.stringOr("control.address", "127.0.0.1");
    out.control.port = static_cast<std::uint16_t>(reader.integerOr("control.port", 0, 0, UINT16_MAX));
    out.log.program = "jackdaw-upstream";
    out.log.level = state::parseLogLevel(reader.stringOr("log.level", "info"));
    out.log.file = reader.stringOr("log.file", "");
    auto finished = reader.finish();
    if (!finished)
        return finished.error();
    return out;
}

} // namespace jackdaw::upstream
