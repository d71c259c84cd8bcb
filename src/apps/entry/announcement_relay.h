// Passes announcements on to the other entry hosts of the upstream's zone in compact digests: the content once, then only
// its hash and age. Plain bookkeeping; the heartbeats carry the digests.
#pragma once

#include "apps/entry/entry_settings.h"
#include "protocol/mesh_messages.h"
#include "protocol/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace jackdaw::entry {

class announcement_relay {
public:
    using announcement_hook = std::function<void(protocol::time_point heardAt, const protocol::announcement& announcement)>;

    // Exchanges digests with these peers. The hook gets what they heard.
    announcement_relay(const std::vector<peer_settings>& peers, announcement_hook onRelayed);

    // An upstream announced itself to this host.
    void hear(protocol::time_point now, const protocol::announcement& announcement);

    // Fills in what was heard since the last heartbeat to this peer.
    void fill(protocol::time_point now, const std::string& peer, protocol::heartbeat& out);

    // Takes in a peer's digest.
    void take(protocol::time_point now, const std::string& peer, const protocol::heartbeat& digest);

    // The peer restarted: it knows no content any more.
    void reset(const std::string& peer);

    // Drops contents that were not heard for so long that no digest will name them.
    void expire(protocol::time_point now);

private:
    struct known_content {
        protocol::announcement content;
        protocol::time_point heardAt {}; // by the host that the upstream announced itself to
    };

    struct peer_digest {
        std::string zone; // of the upstreams that the peer is told of
        std::map<std::uint64_t, protocol::time_point> pending; // heard since the last heartbeat, by content hash
        std::map<std::uint64_t, protocol::time_point> sent; // contents the peer was told, and when last
        std::vector<std::uint64_t> wanted; // hashes it named that are unknown here
    };

    announcement_hook m_onRelayed;
    std::unordered_map<std::uint64_t, known_content> m_contents;
    std::map<std::string, peer_digest> m_peers;
};

} // namespace jackdaw::entry
