// Talks to the service before and after a load: waits until it serves, measures a round trip, reads counters.
#pragma once

#include "apps/load/load_settings.h"
#include "apps/load/service_counts.h"
#include "apps/shared/blocking_client.h"
#include "protocol/submission_id.h"

#include <span>

namespace jackdaw::load {

class service_probe {
public:
    service_probe(transport::event_loop& loop, const load_settings& settings);

    // Waits until each operators' port says ready, and then until each entry host completes a job of one empty task.
    protocol::result<void> awaitServing(duration limit);

    // The median of several requests for an unknown job.
    protocol::result<duration> roundTrip();

    protocol::result<message_counts> messages();
    protocol::result<upstream_counts> upstreams();

    // How many of these submissions had a task started, by the stand-ins' account.
    protocol::result<std::size_t> countStarted(std::span<const protocol::submission_id> submissions);

private:
    bool isReady(const transport::endpoint& target);
    bool completesJob(const apps::zone_address& entry);
    protocol::result<std::string> fetch(const transport::endpoint& target, transport::http_call call);

    const load_settings& m_settings;
    apps::blocking_client m_client;
};

} // namespace jackdaw::load
