// Counts the messages and bytes that a process sends and receives, by the peer's role and the purpose, for the metrics and
// for a log line now and then. Bytes are those of messages and of HTTP headers and bodies, without the transport's own.
#pragma once

#include "state/metrics.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace jackdaw::apps {

enum class traffic_direction { sent,
    received };
enum class peer_role { entry,
    control,
    upstream };

class traffic_account {
public:
    explicit traffic_account(state::metrics& all);

    // purpose: a name allowed in the labels of a metric.
    void add(traffic_direction direction, peer_role peer, std::string_view purpose, std::size_t bytes);

    // The traffic since the last call, for a log line: "sent_entry_gossip=MESSAGES/BYTES ...".
    std::string takeSummary();

private:
    using key = std::tuple<traffic_direction, peer_role, std::string>;
    struct entry {
        state::counter& messages;
        state::counter& bytes;
        std::uint64_t messagesBefore = 0; // as of the last summary
        std::uint64_t bytesBefore = 0;
    };

    entry& find(traffic_direction direction, peer_role peer, std::string_view purpose);

    state::metrics& m_all;
    std::map<key, entry> m_entries;
};

} // namespace jackdaw::apps
