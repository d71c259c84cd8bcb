// Talks HTTP to the upstreams: runs the dispatcher's start and settle actions on its own I/O threads, and reports what
// became of each task.
#pragma once

#include "apps/entry/entry_counters.h"
#include "coordination/dispatcher.h"
#include "transport/event_loop.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace jackdaw::entry {

struct gateway_settings {
    std::uint32_t loops = 2; // I/O threads; each upstream belongs to one of them
    std::size_t maxConnections = 60; // to each upstream
    protocol::duration answerSlack = std::chrono::milliseconds(500); // after the end of a lease, for the answer's way back
    protocol::duration settleTimeout = std::chrono::seconds(1);
};

class upstream_gateway {
public:
    using report_hook = std::function<void(coordination::task_report report)>;

    // All calls are to be made on the decision loop's thread, and the hook runs there.
    upstream_gateway(transport::event_loop& decisions, gateway_settings settings, entry_counters& counters, report_hook onReport);
    ~upstream_gateway();

    void start(const coordination::start_task& action);
    void settle(const coordination::settle_task& action);

    // Ends the I/O threads. Calls in flight are not reported any more.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::entry
