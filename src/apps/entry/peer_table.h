// What this host knows of the other entry hosts: zone, incarnation, and whether they are heard.
#pragma once

#include "apps/entry/entry_settings.h"
#include "protocol/mesh_messages.h"
#include "protocol/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::entry {

// Heartbeats that a host of the own zone gets for each one that a host of another zone gets.
constexpr int otherZoneHeartbeatRatio = 3;

struct peer_state {
    std::string zone;
    std::uint64_t incarnation = 0; // 0: never heard
    protocol::time_point heardAt {};
    bool isDraining = false;
    std::uint64_t rulesVersion = 0;
};

class peer_table {
public:
    // The limit is that of hosts in the own zone. Hosts of other zones get fewer heartbeats, so theirs is
    // otherZoneHeartbeatRatio times longer.
    peer_table(const std::vector<peer_settings>& peers, std::string_view ownZone, protocol::duration silenceLimit);

    // True when the host is a peer. An incarnation that was not heard before counts as a restart of the host.
    bool hear(protocol::time_point now, std::string_view host, std::uint64_t incarnation, const protocol::heartbeat& heartbeat);

    // Null when there is no such peer.
    const peer_state* find(std::string_view host) const;

    bool isAlive(protocol::time_point now, std::string_view host) const;

    // The hosts of a zone that are heard and take new jobs.
    std::vector<std::string> hostsFor(protocol::time_point now, std::string_view zone) const;

    const std::map<std::string, peer_state, std::less<>>& all() const { return m_peers; }

private:
    std::map<std::string, peer_state, std::less<>> m_peers;
    std::string m_ownZone;
    protocol::duration m_silenceLimit; // of the own zone's hosts
};

} // namespace jackdaw::entry
