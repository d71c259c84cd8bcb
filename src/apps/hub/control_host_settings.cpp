// Reads and validates the settings of a control host.
#include "apps/hub/control_host_settings.h"

#include "apps/shared/settings_keys.h"
#include "apps/shared/zone_address.h"
#include "coordination/zone_evacuations.h"

#include <algorithm>

namespace jackdaw::hub {
namespace {

    using protocol::result;
    using state::settings_reader;

    constexpr std::int64_t maxToleratedLosses = 100;

    result<control_host_settings> read(settings_reader reader)
    {
        control_host_settings settings;
        settings.name = reader.requiredString("name");
        settings.host = reader.requiredString("host");
        settings.dataFolder = reader.requiredString("data_folder") + "/control";
        settings.isFirstStart = reader.booleanOr("first_start", false);
        settings.toleratedLosses = static_cast<std::size_t>(reader.integerOr("tolerated_losses", 1, 0, maxToleratedLosses));
        settings.metricsPort = static_cast<std::uint16_t>(reader.integerOr("metrics_port", 0, 0, 65535));
        settings.meshPort = static_cast<std::uint16_t>(reader.requiredInteger("control_mesh_port", 1, 65535));
        settings.entryMeshPort = static_cast<std::uint16_t>(reader.requiredInteger("entry_mesh_port", 1, 65535));
        settings.logLevel = apps::readLogLevel(reader, "log_level");
        settings.limits = apps::readMachineLimits(reader);
        settings.operatorEndpoint = apps::readEndpoint(reader, "operators");
        for (transport::endpoint& seed : apps::readList<transport::endpoint>(reader, "seeds", apps::parseEndpoint))
            settings.seeds.push_back(std::move(seed.host));
        settings.zones = reader.stringsOr("zones", {});
        if (!std::all_of(settings.zones.begin(), settings.zones.end(), coordination::isZoneName))
            reader.fail("zones", "a zone's name consists of letters, digits, '.', '_' and '-'");
        if (auto finished = reader.finish(); !finished)
            return finished.error();
        return settings;
    }

} // namespace

result<control_host_settings> readControlHostSettings(const std::string& path)
{
    return apps::readSettingsFile(path, read);
}

result<control_host_settings> parseControlHostSettings(std::string_view text, const std::string& fileName)
{
    return apps::readSettingsText(text, fileName, read);
}

} // namespace jackdaw::hub
