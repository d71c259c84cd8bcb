// What an upstream says of itself: the only source of the system's knowledge of upstreams.
#pragma once

#include "protocol/job.h"
#include "protocol/result.h"
#include "protocol/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jackdaw::protocol {

enum class upstream_state {
    serving,
    leaving // gets no new work
};

struct announcement {
    std::string name;
    std::uint64_t incarnation = 0; // random for each start of the upstream
    std::string host; // numeric IP address
    std::uint16_t port = 0;
    std::string zone;
    std::uint32_t slots = 0; // tasks that may run at once
    std::uint32_t connections = 0; // connections the upstream accepts
    resources capacity; // of one slot's worth of the largest task that fits
    upstream_state state = upstream_state::serving;
    duration ttl {}; // nothing is dispatched when the freshest announcement is older
};

// JSON form: {name, incarnation, address: "ip:port", zone, slots, connections, cores, memory_mb, accelerators,
// state: "serving"|"leaving", ttl_ms}. Unknown members are ignored.
result<announcement> parseAnnouncement(std::string_view json);
std::string toJson(const announcement& announcement);

} // namespace jackdaw::protocol
