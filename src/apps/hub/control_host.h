// A control host: a member of the Raft group that replicates the configuration, and the directory of hosts and upstreams.
// Requests of operators and upstreams arrive as function calls; the HTTP adapter is another module.
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
    // not_leader when this host is not the leader or the group has too few voters; timed_out when the outcome is unknown.
    using change_completion = std::function<void(protocol::result<void> outcome)>;
    using read_completion = std::function<void(protocol::result<configuration> inForce)>;

    // Opens the data folder; creates it when it does not exist.
    static protocol::result<control::control_storage> openStorage(const control_host_settings& settings);

    control_host(control_host_settings settings, control::control_storage storage, std::uint64_t incarnation);
    ~control_host();

    transport::event_loop& loop();
    protocol::result<void> open();
    void run(); // until SIGTERM

    // Asked again and again once the host is to stop; it ends when the hook says that no request is open, or after two seconds.
    void setStopHook(std::function<bool()> hasNoRequest);

    // Succeeds once a majority has stored the change. The highest version takes effect.
    void replaceConfiguration(configuration newConfiguration, change_completion done);

    // Orders the evacuation of a zone, or withdraws it. Succeeds once a majority has stored the order; a repeated order changes nothing.
    // malformed_request for a zone that the settings don't name, or one too many. Orders of one zone take effect in the order of the log.
    void orderEvacuation(std::string zone, bool isEvacuated, change_completion done);

    // Linearizable read: returns the newest configuration that a majority has stored.
    void readConfiguration(read_completion done);

    // Address at which the leader serves operators; empty when the leader is unknown or is this host.
    std::string leaderAddress() const;

    void recordUpstreamReport(const protocol::upstream_report& report);

    // The upstream has ended: it is announced as leaving.
    void deregisterUpstream(const std::string& id);

    // Current metrics in the Prometheus text format.
    std::string metricsPage();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::hub
