// Dispatches the tasks of one cell's upstreams by resources, under leases and a fencing token. Pure decisions: events with a
// time point go in, actions come out.
//
// Load pattern: bursts of short wide jobs over a base of long ones, upstreams of different speed that fail, stand still or
// stop answering. A job starts whole when it fits, else another cell with room is named, else it waits only while it can
// still be in time; what can't is rejected at once.
#pragma once

#include "coordination/cells/upstream_calls.h"
#include "protocol/cell_messages.h"
#include "protocol/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jackdaw::cells {

using protocol::duration;
using protocol::time_point;

struct cell_settings {
    std::string cell;
    std::uint64_t token = 0; // of this ownership; higher than that of every earlier owner
    duration maxLease = std::chrono::milliseconds(1000); // the platform's bound on a lease
    duration reportInterval = std::chrono::milliseconds(1500); // between two reports of an upstream
    time_point reportsHeardSince; // this host has heard reports of upstreams since then
    duration stopTime = std::chrono::milliseconds(50); // an upstream ends a stopped task within it
};

// To be sent to each of the desks.
struct owner_answer {
    std::vector<std::string> origins;
    protocol::order_answer answer;
};

using cell_action = std::variant<start_request, stop_request, poll_request, owner_answer>;

// A decision, for the log.
struct cell_decision {
    std::string_view event;
    std::string subject; // a job, a task or an upstream
    std::string inputs; // "key=value" pairs
};

struct cell_hooks {
    std::function<void(const cell_decision& decision)> onDecision; // may be empty
    // Another cell with room for all tasks of the job now; empty when there is none.
    std::function<std::string(const protocol::job_order& job)> findOtherCell;
};

struct cell_counts {
    std::size_t jobs = 0;
    std::size_t waitingTasks = 0;
    std::size_t adoptedUpstreams = 0;
};

class cell_dispatcher {
public:
    cell_dispatcher(cell_settings settings, cell_hooks hooks, time_point now);
    ~cell_dispatcher();

    // News of an upstream of this cell; older news than what is known is ignored.
    void onUpstreamReport(time_point now, const protocol::upstream_report& report);

    // The upstream belongs to another cell from now on. Jobs with tasks there end unfinished: the next owner stops those tasks.
    void releaseUpstream(time_point now, const std::string& id);

    // The upstreams that this dispatcher serves.
    std::vector<std::string> upstreamNames() const;

    void submit(time_point now, const protocol::job_order& job, std::string_view desk);
    void cancel(time_point now, std::string_view job, std::string_view desk);

    // The desk's process has ended, or nothing was heard from it for too long: its jobs end, their tasks are stopped.
    void onOriginLost(time_point now, std::string_view desk);

    void onStart(time_point now, const start_request& order, const call_answer& answer);
    void onStop(time_point now, const stop_request& order, const call_answer& answer);
    void onPoll(time_point now, const poll_request& order, const poll_answer& answer);

    void advance(time_point now);
    time_point nextTimer(time_point now) const;

    // Gives every job back to its desk. To be called when the cell is lost or handed over; nothing is decided afterwards.
    void release();

    // An upstream has seen a higher token: this ownership is over.
    bool isFenced() const;

    std::vector<cell_action> takeActions();
    std::vector<protocol::service_free_capacity> rooms(time_point now) const;
    cell_counts counts() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::cells
