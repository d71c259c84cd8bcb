// Reads and validates the settings of a cell host.
#include "apps/cell_host/cell_host_settings.h"

#include "apps/shared/settings_keys.h"
#include "apps/shared/zone_address.h"
#include "coordination/cells/zone_cells.h"

namespace jackdaw::cell_host {
namespace {

    using protocol::result;
    using state::settings_reader;

    constexpr double millicoresPerCore = 1000;
    constexpr double millisecondsPerSecond = 1000;

    protocol::duration toDuration(double milliseconds)
    {
        return std::chrono::duration_cast<protocol::duration>(std::chrono::duration<double, std::milli>(milliseconds));
    }

    result<cell_host_settings> read(settings_reader reader)
    {
        cell_host_settings settings;
        settings.name = reader.requiredString("name");
        settings.host = reader.requiredString("host");
        settings.zone = reader.requiredString("zone");
        if (settings.zone.find(cells::cellSeparator) != std::string::npos)
            reader.fail("zone", std::string("must not contain ") + cells::cellSeparator);
        settings.processorMillicores = static_cast<std::uint32_t>(reader.numberOr("processor_cores", 1, 0.01, 1024) * millicoresPerCore);
        for (transport::endpoint& seed : apps::readList<transport::endpoint>(reader, "seeds", apps::parseEndpoint))
            settings.seeds.push_back(std::move(seed.host));
        settings.callerEndpoint = apps::readEndpoint(reader, "callers");
        settings.readinessEndpoint = apps::readEndpoint(reader, "readiness");
        settings.metricsPort = static_cast<std::uint16_t>(reader.integerOr("metrics_port", 0, 0, 65535));
        settings.meshPort = static_cast<std::uint16_t>(reader.requiredInteger("entry_mesh_port", 1, 65535));
        settings.controlMeshPort = static_cast<std::uint16_t>(reader.requiredInteger("control_mesh_port", 1, 65535));
        settings.maxLease = toDuration(reader.numberOr("max_lease_ms", 1000, 100, 60000));
        settings.reportInterval = toDuration(reader.numberOr("report_interval_ms", 1500, 10, 60000));
        settings.stopTime = toDuration(reader.numberOr("task_stop_ms", 50, 1, 60000));
        settings.gracePeriod = toDuration(reader.numberOr("grace_s", 6, 0.1, 600) * millisecondsPerSecond);
        settings.logLevel = apps::readLogLevel(reader, "log_level");
        settings.limits = apps::readMachineLimits(reader);
        if (auto finished = reader.finish(); !finished)
            return finished.error();
        return settings;
    }

} // namespace

result<cell_host_settings> readCellHostSettings(const std::string& path)
{
    return apps::readSettingsFile(path, read);
}

result<cell_host_settings> parseCellHostSettings(std::string_view text, const std::string& fileName)
{
    return apps::readSettingsText(text, fileName, read);
}

} // namespace jackdaw::cell_host
