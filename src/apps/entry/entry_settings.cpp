// Reads and checks the settings of jackdaw-entry.
#include "apps/entry/entry_settings.h"

#include "apps/shared/settings_keys.h"
#include "apps/shared/zone_address.h"
#include "state/settings_reader.h"

#include <algorithm>
#include <optional>
#include <set>

namespace jackdaw::entry {
namespace {

    using protocol::duration;
    using protocol::result;
    using state::settings_reader;
    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;

    constexpr std::int64_t maxPort = 65535;
    constexpr std::int64_t mebibyte = 1024 * 1024;

    transport::endpoint readEndpoint(settings_reader& reader, const std::string& section)
    {
        transport::endpoint out;
        out.host = reader.stringOr(section + ".address", "127.0.0.1");
        out.port = static_cast<std::uint16_t>(reader.integerOr(section + ".port", 0, 0, maxPort));
        return out;
    }

    // Reads "host@zone=ip:port".
    std::optional<peer_settings> parsePeer(std::string_view text)
    {
        const auto at = text.find('@');
        const auto equals = text.find('=');
        if (at == std::string_view::npos || equals == std::string_view::npos || at == 0 || equals <= at + 1)
            return std::nullopt;
        const std::string_view address = text.substr(equals + 1);
        if (!apps::parseEndpoint(address))
            return std::nullopt;
        return peer_settings { std::string(text.substr(0, at)), std::string(text.substr(at + 1, equals - at - 1)), std::string(address) };
    }

    bool isZone(const entry_settings& settings, const std::string& zone)
    {
        return std::find(settings.zones.begin(), settings.zones.end(), zone) != settings.zones.end();
    }

    void readPlace(settings_reader& reader, entry_settings& out)
    {
        out.host = reader.requiredString("host");
        out.zone = reader.requiredString("zone");
        out.zones = reader.stringsOr("zones", { out.zone });
        if (out.host.empty())
            reader.fail("host", "is empty");
        if (!isZone(out, out.zone))
            reader.fail("zone", "is not one of 'zones'");
    }

    void readPeers(settings_reader& reader, entry_settings& out)
    {
        std::set<std::string> names { out.host };
        for (const std::string& text : reader.stringsOr("peers", {})) {
            const auto peer = parsePeer(text);
            if (!peer)
                return reader.fail("peers", "holds '" + text + "', which is not of the form host@zone=ip:port");
            if (!isZone(out, peer->zone))
                return reader.fail("peers", "holds '" + text + "', whose zone is not one of 'zones'");
            if (!names.insert(peer->host).second)
                return reader.fail("peers", "names the host of '" + text + "' twice");
            out.peers.push_back(*peer);
        }
    }

    void readControls(settings_reader& reader, entry_settings& out)
    {
        for (const std::string& text : reader.stringsOr("controls", {})) {
            const auto equals = text.find('=');
            if (equals == std::string::npos || equals == 0 || !apps::parseEndpoint(std::string_view(text).substr(equals + 1)))
                return reader.fail("controls", "holds '" + text + "', which is not of the form host=ip:port");
            out.controls.push_back({ text.substr(0, equals), text.substr(equals + 1) });
        }
        out.rulesFile = reader.stringOr("rules_file", {});
    }

    void readLog(settings_reader& reader, entry_settings& out)
    {
        out.logLevel = apps::readLogLevel(reader, "log.level");
        out.logFile = reader.stringOr("log.file", {});
    }

    void readLimits(settings_reader& reader, entry_settings& out)
    {
        out.job.maxTasks = static_cast<std::size_t>(reader.integerOr("limits.tasks_per_job", 640, 1, 100'000));
        out.job.maxBodyBytes = static_cast<std::size_t>(reader.integerOr("limits.body_bytes", 16 * mebibyte, 1024, 256 * mebibyte));
        out.job.maxDeadline = reader.millisecondsOr("limits.deadline_ms", minutes(10), milliseconds(1), minutes(60));
        out.maxQueuedTasks = static_cast<std::uint32_t>(reader.integerOr("limits.queued_tasks", 200'000, 1, 10'000'000));
        out.maxConnections = static_cast<std::size_t>(reader.integerOr("limits.connections", 4096, 1, 100'000));
        out.maxStoredAnswerBytes = static_cast<std::size_t>(reader.integerOr("limits.stored_answer_bytes", 64 * mebibyte, 0, 4096 * mebibyte));
        out.maxUpstreamConnections = static_cast<std::size_t>(reader.integerOr("limits.upstream_connections", 60, 1, 10'000));
    }

    void readTimes(settings_reader& reader, entry_settings& out)
    {
        out.drainLag = reader.millisecondsOr("drain.lag_ms", seconds(3), milliseconds(0), minutes(10));
        out.abandonAfter = reader.millisecondsOr("callers.abandon_after_ms", seconds(2), milliseconds(0), minutes(10));
        out.heartbeat = reader.millisecondsOr("mesh.heartbeat_ms", milliseconds(500), milliseconds(10), seconds(10));
        out.peerSilenceLimit = reader.millisecondsOr("mesh.silence_limit_ms", milliseconds(1500), milliseconds(30), minutes(1));
        if (out.peerSilenceLimit <= out.heartbeat)
            reader.fail("mesh.silence_limit_ms", "is not above 'mesh.heartbeat_ms'");
    }

    result<entry_settings> read(settings_reader reader)
    {
        entry_settings out;
        readPlace(reader, out);
        readPeers(reader, out);
        readControls(reader, out);
        out.callers = readEndpoint(reader, "callers");
        out.upstreams = readEndpoint(reader, "upstreams");
        out.operators = readEndpoint(reader, "operators");
        out.mesh = readEndpoint(reader, "mesh");
        readLog(reader, out);
        readLimits(reader, out);
        readTimes(reader, out);
        out.upstreamLoops = static_cast<std::uint32_t>(reader.integerOr("threads.upstream_loops", 2, 1, 64));
        if (auto finished = reader.finish(); !finished)
            return finished.error();
        return out;
    }

} // namespace

std::vector<std::string> entry_settings::hostsOfZone(const std::string& wantedZone) const
{
    std::vector<std::string> hosts;
    if (zone == wantedZone)
        hosts.push_back(host);
    for (const peer_settings& peer : peers) {
        if (peer.zone == wantedZone)
            hosts.push_back(peer.host);
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

result<entry_settings> readEntrySettings(const std::string& path)
{
    return apps::readSettingsFile(path, read);
}

result<entry_settings> parseEntrySettings(std::string_view text, const std::string& fileName)
{
    return apps::readSettingsText(text, fileName, read);
}

} // namespace jackdaw::entry
