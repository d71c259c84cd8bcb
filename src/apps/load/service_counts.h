// Counters that the entry hosts and the stand-in upstreams report, summed over all of them.
#pragma once

#include "protocol/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace jackdaw::load {

// Messages by purpose, from the entry hosts' metrics.
struct message_counts {
    std::map<std::string, double, std::less<>> byPurpose;

    double total() const;
    // Messages sent by time, whatever the work: heartbeats, leases, announcements, configuration.
    double control() const;

    message_counts& operator+=(const message_counts& other);
    message_counts operator-(const message_counts& earlier) const;
};

// Reads jackdaw_messages_total out of a page in the Prometheus text format.
message_counts parseMessageCounts(std::string_view page);

struct upstream_counts {
    std::uint64_t started = 0;
    std::uint64_t startedTwice = 0;
    std::uint64_t startedLate = 0;
    std::uint64_t overSlots = 0;
    std::uint64_t refused = 0;
    double capacity = 0; // sum over the upstreams of slots times speed
    double fastestSpeed = 0;

    upstream_counts& operator+=(const upstream_counts& other);
    // Capacity and speed are kept.
    upstream_counts operator-(const upstream_counts& earlier) const;
};

// Reads the answer to GET /stats of a stand-in.
protocol::result<upstream_counts> parseUpstreamCounts(std::string_view json);

} // namespace jackdaw::load
