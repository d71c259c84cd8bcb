// An entry host that serves cells. It exchanges gossip and directory updates over the mesh, claims ownership of cells,
// dispatches the tasks of the cells it owns, and tracks the jobs of its own callers. Runs on one event loop.
#pragma once

#include "apps/cell_host/cell_host_settings.h"
#include "apps/cell_host/upstream_driver.h"
#include "coordination/cells/cancel_search.h"
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
    // Called with each configuration of a higher version than the one in force; returns false when it can't be decoded.
    std::function<bool(const protocol::configuration_push& push)> onConfiguration;
};

class cell_host {
public:
    using job_completion = std::function<void(const protocol::order_answer& answer)>;

    cell_host(transport::event_loop& loop, const cell_host_settings& settings, std::uint64_t incarnation, cell_host_hooks hooks);
    ~cell_host();

    protocol::result<void> open();

    // The completion runs once, unless removeCaller() is called before.
    cells::caller_id submit(protocol::job_order order, job_completion done);

    // The caller no longer waits: its completion will not run.
    void removeCaller(cells::caller_id caller);

    // Cancels the job at whatever host of the zone it is known. The completion runs once, at the latest after the time that the caller waits.
    void cancel(std::string_view job, protocol::duration patience, cells::cancel_search::completion done);

    // A configuration is in force, a cell of the zone has an owner, and the host is not leaving.
    bool isReady() const;

    // Releases the host's cells to other hosts before a planned stop. New jobs are still accepted.
    void leave();
    bool isLeaving() const;

    // Ends the jobs and cancellations of this host's callers and stops the jobs' tasks. To be called before the process ends, with time left for the
    // messages to go out.
    void abandonJobs();

    std::size_t openJobs() const; // jobs of this host's callers that are not answered yet

    // Current metrics in the Prometheus text format.
    std::string metricsPage();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::cell_host
