// A control host: one member of the replicated configuration, and the directory of hosts and upstreams. Operators' and
// upstreams' calls reach it as plain functions; another module speaks HTTP with them.
#pragma once

#include "apps/control/control_storage.h"
#include "apps/hub/control_host_settings.h"
#include "protocol/cell_messages.h"
#include "protocol/result.h"
#include "transport/event_loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jackdaw::hub {

struct configuration {
    std::uint64_t version = 0; // 0: none yet
    std::string text;
};

class control_host {
public:
    // not_leader when another member decides, or none can; timed_out when the outcome is not known.
    using change_completion = std::function<void(protocol::result<void> outcome)>;
    using read_completion = std::function<void(protocol::result<configuration> inForce)>;

    // Opens or makes the data folder.
    static protocol::result<control::control_storage> openStorage(const control_host_settings& settings);

    control_host(control_host_settings settings, control::control_storage storage, std::uint64_t incarnation);
    ~control_host();

    transport::event_loop& loop();
    protocol::result<void> open();
    void run(); // until SIGTERM

    // Accepted once it is stored by a majority. The highest version takes effect.
    void replaceConfiguration(configuration wanted, change_completion done);

    // The newest configuration, confirmed by a majority.
    void readConfiguration(read_completion done);

    // Where the leader takes operators' calls; empty when it is not known or is this host.
    std::string leaderAddress() const;

    void recordUpstreamReport(const protocol::upstream_report& report);
    void deregisterUpstream(const std::string& id);

    // In the Prometheus text format.
    std::string metricsPage();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::hub
