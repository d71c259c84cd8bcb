// Announcements, by which an upstream registers itself. All knowledge of upstreams comes from announcements.
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
    leaving // shuts down: receives no new tasks
};

struct announcement {
    std::string name;
    std::uint64_t incarnation = 0; // random, drawn at each start of the upstream
    std::string host; // numeric IP address
    std::uint16_t port = 0;
    std::string zone;
    std::uint32_t slots = 0; // maximum number of tasks that run concurrently
    std::uint32_t connections = 0; // maximum number of connections that the upstream accepts
    resources capacity; // resources of the largest task that fits one slot
    upstream_state state = upstream_state::serving;
    duration ttl {}; // no task is dispatched to the upstream when its latest announcement is older
};

// JSON form: {name, incarnation, address: "ip:port", zone, slots, connections, cores, memory_mb, accelerators,
// state: "serving"|"leaving", ttl_ms}. Unknown members are ignored.
result<announcement> parseAnnouncement(std::string_view json);
std::string toJson(const announcement& announcement);

} // namespace jackdaw::protocol
