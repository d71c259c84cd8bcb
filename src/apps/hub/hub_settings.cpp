// Reads the settings of a hub.
#include "apps/hub/hub_settings.h"

#include "apps/shared/settings_list.h"
#include "apps/shared/zone_address.h"
#include "state/settings_reader.h"

namespace jackdaw::hub {

protocol::result<hub_settings> readHubSettings(const std::string& path)
{
    auto opened = state::settings_reader::open(path);
    if (!opened)
        return opened.error();
    state::settings_reader& reader = opened.value();
    hub_settings settings;
    settings.name = reader.requiredString("name");
    settings.host = reader.requiredString("host");
    settings.dataFolder = reader.requiredString("data_folder") + "/control";
    settings.isFirstStart = reader.booleanOr("first_start", false);
    settings.metricsPort = static_cast<std::uint16_t>(reader.integerOr("metrics_port", 0, 0, 65535));
    settings.meshPort = static_cast<std::uint16_t>(reader.requiredInteger("control_mesh_port", 1, 65535));
    settings.entryMeshPort = static_cast<std::uint16_t>(reader.requiredInteger("entry_mesh_port", 1, 65535));
    settings.logLevel = state::parseLogLevel(reader.stringOr("log_level", "info"));
    const auto operators = apps::parseEndpoint(reader.requiredString("operators"));
    if (operators)
        settings.operators = operators.value();
    else
        reader.fail("operators", operators.error().detail);
    for (transport::endpoint& seed : apps::readList<transport::endpoint>(reader, "seeds", apps::parseEndpoint))
        settings.seeds.push_back(std::move(seed.host));
    if (auto finished = reader.finish(); !finished)
        return finished.error();
    return settings;
}

} // namespace jackdaw::hub
