// Reads the settings and the token of jackdawctl.
#include "apps/ctl/ctl_settings.h"

#include "apps/shared/zone_address.h"
#include "state/settings_reader.h"

#include <fstream>

namespace jackdaw::ctl {

using protocol::error_kind;
using protocol::makeError;
using protocol::result;

result<ctl_settings> readCtlSettings(const std::string& path)
{
    auto opened = state::settings_reader::open(path);
    if (!opened)
        return opened.error();
    state::settings_reader& reader = opened.value();
    ctl_settings out;
    for (const std::string& text : reader.stringsOr("control", {})) {
        auto address = apps::parseEndpoint(text);
        if (address)
            out.control.push_back(std::move(address.value()));
        else
            reader.fail("control", "holds " + address.error().detail);
    }
    if (out.control.empty())
        reader.fail("control", "names no control host");
    out.tokenFile = reader.stringOr("token_file", {});
    out.timeout = reader.millisecondsOr("timeout_ms", std::chrono::seconds(10), std::chrono::milliseconds(100), std::chrono::minutes(5));
    if (auto finished = reader.finish(); !finished)
        return finished.error();
    return out;
}

result<std::string> readToken(const std::string& path)
{
    std::ifstream file(path);
    std::string token;
    if (!(file >> token))
        return makeError(error_kind::malformed_request, path + ": holds no token, or can't be read");
    return token;
}

} // namespace jackdaw::ctl
