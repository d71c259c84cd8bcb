// Digests of announcements.
#include "apps/entry/announcement_relay.h"

#include <algorithm>
#include <utility>

namespace jackdaw::entry {

using protocol::announcement;
using protocol::duration;
using protocol::heartbeat;
using protocol::time_point;

namespace {

    // Contents are kept for longer than any announcement's ttl.
    constexpr duration contentRetention = std::chrono::minutes(5);

} // namespace

announcement_relay::announcement_relay(const std::vector<peer_settings>& peers, announcement_hook onRelayed)
    : m_onRelayed(std::move(onRelayed))
{
    for (const peer_settings& peer : peers)
        m_peers[peer.host].zone = peer.zone;
}

void announcement_relay::hear(time_point now, const announcement& announcement)
{
    const std::uint64_t hash = protocol::contentHash(announcement);
    m_contents[hash] = { announcement, now };
    for (auto& [name, peer] : m_peers) {
        if (peer.zone == announcement.zone)
            peer.pending[hash] = now;
    }
}

void announcement_relay::fill(time_point now, const std::string& peerName, heartbeat& out)
{
    const auto found = m_peers.find(peerName);
    if (found == m_peers.end())
        return;
    peer_digest& peer = found->second;
    for (const auto& [hash, heardAt] : std::exchange(peer.pending, {})) {
        const duration age = now - heardAt;
        const bool isKnownThere = peer.sent.contains(hash);
        peer.sent[hash] = now;
        if (isKnownThere)
            out.refreshed.push_back({ hash, age });
        else
            out.changed.push_back({ m_contents[hash].content, age });
    }
    out.requestedHashes = std::exchange(peer.wanted, {});
}

void announcement_relay::take(time_point now, const std::string& peerName, const heartbeat& digest)
{
    const auto found = m_peers.find(peerName);
    if (found == m_peers.end())
        return;
    peer_digest& peer = found->second;
    for (const protocol::relayed_announcement& one : digest.changed) {
        known_content& known = m_contents[protocol::contentHash(one.content)];
        known = { one.content, std::max(known.heardAt, now - one.age) };
        m_onRelayed(now - one.age, one.content);
    }
    for (const protocol::refreshed_announcement& one : digest.refreshed) {
        const auto known = m_contents.find(one.contentHash);
        if (known == m_contents.end()) {
            peer.wanted.push_back(one.contentHash);
            continue;
        }
        known->second.heardAt = std::max(known->second.heardAt, now - one.age);
        m_onRelayed(now - one.age, known->second.content);
    }
    for (const std::uint64_t hash : digest.requestedHashes) {
        peer.sent.erase(hash);
        const auto known = m_contents.find(hash);
        if (known != m_contents.end())
            peer.pending.try_emplace(hash, known->second.heardAt);
    }
}

void announcement_relay::reset(const std::string& peer)
{
    const auto found = m_peers.find(peer);
    if (found != m_peers.end())
        found->second.sent.clear();
}

void announcement_relay::expire(time_point now)
{
    std::erase_if(m_contents, [now](const auto& entry) { return entry.second.heardAt + contentRetention < now; });
    for (auto& [name, peer] : m_peers) {
        std::erase_if(peer.sent, [now](const auto& entry) { return entry.second + contentRetention < now; });
        std::erase_if(peer.pending, [this](const auto& entry) { return !m_contents.contains(entry.first); });
    }
}

} // namespace jackdaw::entry
