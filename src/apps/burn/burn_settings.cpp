// Reading of jackdaw-burn's settings.
#include "apps/burn/burn_settings.h"

#include "apps/shared/settings_keys.h"
#include "apps/shared/zone_address.h"

namespace jackdaw::burn {

protocol::result<burn_settings> readBurnSettings(state::settings_reader& reader)
{
    constexpr double maxDivisor = 1e6;
    burn_settings out;
    out.operators = apps::readList<transport::endpoint>(reader, "operators", apps::parseEndpoint);
    if (out.operators.empty())
        reader.fail("operators", "is empty");
    out.interval = reader.millisecondsOr("interval_ms", std::chrono::seconds(30), std::chrono::milliseconds(10), std::chrono::hours(1));
    out.historyFile = reader.stringOr("history_file", "");
    out.htmlFile = reader.stringOr("html_file", "");
    out.windowDivisor = reader.numberOr("window_divisor", 1, 1, maxDivisor);
    auto finished = reader.finish();
    if (!finished)
        return finished.error();
    return out;
}

} // namespace jackdaw::burn
