// The settings of one jackdaw-entry process, as read from its TOML file.
#pragma once

#include "protocol/job_codec.h"
#include "protocol/result.h"
#include "protocol/time.h"
#include "state/log.h"
#include "transport/http_client.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jackdaw::entry {

// Another entry host. Written in the settings as "host@zone=ip:port".
struct peer_settings {
    std::string host;
    std::string zone;
    std::string address; // "ip:port" of its mesh listener
};

// A control host. Written in the settings as "host=ip:port".
struct control_settings {
    std::string host;
    std::string address; // "ip:port" of its mesh listener
};

struct entry_settings {
    std::string host; // this host's name among the entry hosts
    std::string zone; // one of zones
    std::vector<std::string> zones; // in the same order on every host: the default home zone depends on it
    std::vector<peer_settings> peers; // without this host

    std::vector<control_settings> controls;
    std::string rulesFile; // where the rules in force are stored; empty: nowhere

    transport::endpoint callers;
    transport::endpoint upstreams;
    transport::endpoint operators;
    transport::endpoint mesh;

    state::log_level logLevel = state::log_level::info;
    std::string logFile;

    protocol::job_limits job;
    std::uint32_t maxQueuedTasks = 0;
    std::size_t maxConnections = 0; // of callers
    std::size_t maxStoredAnswerBytes = 0;
    std::size_t maxUpstreamConnections = 0; // to each upstream

    protocol::duration drainLag {}; // new work is still served for so long after SIGTERM
    protocol::duration abandonAfter {}; // a job whose callers all went away is cancelled then
    protocol::duration heartbeat {}; // between two heartbeats to a peer
    protocol::duration peerSilenceLimit {}; // a peer not heard for so long counts as lost

    std::uint32_t upstreamLoops = 0; // threads that talk to upstreams

    // Whether there is anybody to talk to over the mesh.
    bool isAlone() const { return peers.empty() && controls.empty(); }

    // The zone's entry hosts with this one, by name.
    std::vector<std::string> hostsOfZone(const std::string& wantedZone) const;
};

// Errors name file, line and reason.
protocol::result<entry_settings> readEntrySettings(const std::string& path);
protocol::result<entry_settings> parseEntrySettings(std::string_view text, const std::string& fileName);

} // namespace jackdaw::entry
