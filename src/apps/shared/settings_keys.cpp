// Addresses and log levels in settings.
#include "apps/shared/settings_keys.h"

#include "apps/shared/zone_address.h"

#include <algorithm>
#include <array>

namespace jackdaw::apps {
namespace {

    constexpr std::array<std::string_view, 4> logLevels { "debug", "info", "warning", "error" };

} // namespace

transport::endpoint readEndpoint(state::settings_reader& reader, std::string_view key)
{
    auto address = parseEndpoint(reader.requiredString(key));
    if (address)
        return std::move(address.value());
    reader.fail(key, address.error().detail);
    return {};
}

state::log_level readLogLevel(state::settings_reader& reader, std::string_view key)
{
    const std::string level = reader.stringOr(key, "info");
    if (std::find(logLevels.begin(), logLevels.end(), level) == logLevels.end())
        reader.fail(key, "is not one of debug, info, warning, error");
    return state::parseLogLevel(level);
}

} // namespace jackdaw::apps
