// Reads and checks the settings of jackdaw-control.
#include "apps/control/control_settings.h"

#include "apps/shared/settings_keys.h"
#include "apps/shared/zone_address.h"
#include "state/settings_reader.h"

#include <algorithm>
#include <optional>
#include <set>

namespace jackdaw::control {

using protocol::result;
using state::settings_reader;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    constexpr int heartbeatsPerElectionTimeout = 3;

    // Reads "host=ip:port,ip:port".
    std::optional<control_member> parseMember(std::string_view text)
    {
        const auto equals = text.find('=');
        const auto comma = text.find(',');
        if (equals == std::string_view::npos || equals == 0 || comma == std::string_view::npos || comma < equals)
            return std::nullopt;
        auto mesh = apps::parseEndpoint(text.substr(equals + 1, comma - equals - 1));
        auto operators = apps::parseEndpoint(text.substr(comma + 1));
        if (!mesh || !operators)
            return std::nullopt;
        return control_member { std::string(text.substr(0, equals)), mesh.value(), operators.value() };
    }

    // Reads "host=ip:port".
    std::optional<entry_address> parseEntry(std::string_view text)
    {
        const auto equals = text.find('=');
        if (equals == std::string_view::npos || equals == 0)
            return std::nullopt;
        auto mesh = apps::parseEndpoint(text.substr(equals + 1));
        if (!mesh)
            return std::nullopt;
        return entry_address { std::string(text.substr(0, equals)), mesh.value() };
    }

    template <typename Host, typename Parse>
    std::vector<Host> readHosts(settings_reader& reader, std::string_view key, std::string_view form, const Parse& parse)
    {
        std::vector<Host> hosts;
        std::set<std::string> names;
        for (const std::string& text : reader.stringsOr(key, {})) {
            const auto host = parse(text);
            if (!host)
                reader.fail(key, "holds '" + text + "', which is not of the form " + std::string(form));
            else if (!names.insert(host->host).second)
                reader.fail(key, "names '" + host->host + "' twice");
            else
                hosts.push_back(*host);
        }
        return hosts;
    }

    void readTimes(settings_reader& reader, control_settings& out)
    {
        out.heartbeat = reader.millisecondsOr("raft.heartbeat_ms", milliseconds(100), milliseconds(5), seconds(10));
        out.minElectionTimeout = reader.millisecondsOr("raft.election_timeout_ms", milliseconds(500), milliseconds(15), seconds(60));
        if (out.minElectionTimeout < heartbeatsPerElectionTimeout * out.heartbeat)
            reader.fail("raft.election_timeout_ms", "is below three times 'raft.heartbeat_ms'");
        out.changeTimeout = reader.millisecondsOr("operators.change_timeout_ms", seconds(5), milliseconds(100), seconds(60));
    }

    void readLog(settings_reader& reader, control_settings& out)
    {
        out.logLevel = apps::readLogLevel(reader, "log.level");
        out.logFile = reader.stringOr("log.file", {});
    }

    result<control_settings> read(settings_reader reader)
    {
        constexpr std::int64_t defaultCompactAfter = 256;
        control_settings out;
        out.host = reader.requiredString("host");
        out.group = reader.stringOr("group", "control");
        out.dataFolder = reader.requiredString("data_folder");
        out.members = readHosts<control_member>(reader, "members", "host=ip:port,ip:port", parseMember);
        out.entries = readHosts<entry_address>(reader, "entries", "host=ip:port", parseEntry);
        if (!out.findMember(out.host))
            reader.fail("members", "does not name this host, '" + out.host + "'");
        out.tokensFile = reader.requiredString("operators.tokens_file");
        out.compactAfterEntries = static_cast<std::size_t>(reader.integerOr("raft.compact_after_entries", defaultCompactAfter, 1, 1'000'000));
        readTimes(reader, out);
        readLog(reader, out);
        if (auto finished = reader.finish(); !finished)
            return finished.error();
        return out;
    }

} // namespace

const control_member& control_settings::self() const
{
    return *findMember(host);
}

const control_member* control_settings::findMember(std::string_view memberHost) const
{
    const auto found = std::find_if(members.begin(), members.end(), [&](const control_member& member) { return member.host == memberHost; });
    return found == members.end() ? nullptr : &*found;
}

result<control_settings> readControlSettings(const std::string& path)
{
    return apps::readSettingsFile(path, read);
}

result<control_settings> parseControlSettings(std::string_view text, const std::string& fileName)
{
    return apps::readSettingsText(text, fileName, read);
}

} // namespace jackdaw::control
