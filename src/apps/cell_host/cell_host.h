// An entry host that serves cells: gossip and directory by the mesh, ownership, dispatch of the cells it owns, and the desk for
// the jobs of its own callers. Lives on one event loop.
#pragma once

#include "apps/cell_host/cell_host_settings.h"
#include "apps/cell_host/upstream_driver.h"
#include "coordination/cells/job_router.h"
#include "protocol/cell_messages.h"
#include "protocol/result.h"
#include "transport/event_loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace jackdaw::cell_host {

struct cell_host_hooks {
    upstream_driver upstreams;
    // A configuration with a higher version than any before; false when it can't be read.
    std::function<bool(const protocol::configuration_push& push)> onConfiguration;
};

class cell_host {
public:
    using job_completion = std::function<void(const protocol::order_answer& answer)>;

    cell_host(transport::event_loop& loop, const cell_host_settings& settings, std::uint64_t incarnation, cell_host_hooks hooks);
    ~cell_host();

    protocol::result<void> open();

    // The completion runs once, unless the caller is lost before.
    cells::caller_id submit(protocol::job_order order, job_completion done);
    void removeCaller(cells::caller_id caller);

    // False when the job is not under way on this host.
    bool cancel(std::string_view job);

    // A configuration is in force, the zone's cell has an owner, and the host is not leaving.
    bool isReady() const;

    // Hands its cells over, for a planned stop. Jobs are still taken.
    void leave();
    bool isLeaving() const;
    std::size_t openJobs() const;

    // In the Prometheus text format.
    std::string metricsPage();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::cell_host
