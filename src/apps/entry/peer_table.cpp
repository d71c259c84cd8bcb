// The other entry hosts by their heartbeats.
#include "apps/entry/peer_table.h"

namespace jackdaw::entry {

using protocol::time_point;

peer_table::peer_table(const std::vector<peer_settings>& peers, std::string_view ownZone, protocol::duration silenceLimit)
    : m_ownZone(ownZone)
    , m_silenceLimit(silenceLimit)
{
    for (const peer_settings& peer : peers)
        m_peers[peer.host].zone = peer.zone;
}

bool peer_table::hear(time_point now, std::string_view host, std::uint64_t incarnation, const protocol::heartbeat& heartbeat)
{
    const auto found = m_peers.find(host);
    if (found == m_peers.end())
        return false;
    peer_state& peer = found->second;
    peer.incarnation = incarnation;
    peer.heardAt = now;
    peer.isDraining = heartbeat.isDraining;
    peer.rulesVersion = heartbeat.rulesVersion;
    return true;
}

const peer_state* peer_table::find(std::string_view host) const
{
    const auto found = m_peers.find(host);
    return found == m_peers.end() ? nullptr : &found->second;
}

bool peer_table::isAlive(time_point now, std::string_view host) const
{
    const peer_state* peer = find(host);
    if (!peer || peer->incarnation == 0)
        return false;
    const auto limit = peer->zone == m_ownZone ? m_silenceLimit : m_silenceLimit * otherZoneHeartbeatRatio;
    return now - peer->heardAt < limit;
}

std::vector<std::string> peer_table::hostsFor(time_point now, std::string_view zone) const
{
    std::vector<std::string> out;
    for (const auto& [host, peer] : m_peers) {
        if (peer.zone == zone && !peer.isDraining && isAlive(now, host))
            out.push_back(host);
    }
    return out;
}

} // namespace jackdaw::entry
