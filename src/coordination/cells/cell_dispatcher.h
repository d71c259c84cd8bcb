// Schedules tasks on the upstreams of one cell by resource demand, under leases and a fencing token. It does no I/O: the caller
// passes in events with the current time and carries out the returned actions.
//
// Load pattern: bursts of short jobs with many tasks over a base of long jobs, on upstreams of different speeds that fail, hang
// or stop answering. A job starts at once if all its tasks fit; otherwise the dispatcher names another cell with free capacity;
// otherwise the job is queued if it can still meet its objective, and rejected immediately if it can't.
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
    std::uint64_t token = 0; // fencing token of this ownership; higher than that of every earlier owner that is known
    std::uint32_t zoneCellCount = 1; // number of cells into which the zone is divided under this ownership
    duration maxLease = std::chrono::milliseconds(1000); // longest lease that the platform allows
    duration reportInterval = std::chrono::milliseconds(1500); // between two reports of the same upstream
    duration stopTime = std::chrono::milliseconds(50); // an upstream ends a stopped task within this time
    bool isEarlierOwnerLost = false; // it was silent or has restarted, and so may the origins of its jobs
    // Origins with jobs here send something every 150 ms. With the time to stop the tasks, it ends before callers whose host was
    // lost send their jobs again, 1.3 s later.
    duration originSilenceLimit = std::chrono::milliseconds(1000);
    duration resubmissionDelay = std::chrono::milliseconds(1300); // after which callers that left send their jobs again, to any host
    // Bounds on the work in the hands of this owner, in all its cells together. A job that would exceed one is refused before it is expanded.
    std::size_t maxTasks = 100'000;
    std::size_t maxTasksOfJob = 25'000;
    std::size_t maxOrderBytes = 64 * 1024 * 1024;
};

// Work that takes an owner's memory.
struct work_in_hand {
    std::uint64_t tasks = 0; // of open jobs, and runs of ended jobs that upstreams may still have
    std::uint64_t orderBytes = 0; // of open jobs
};

// An answer to send to each entry host in origins.
struct owner_answer {
    std::vector<std::string> origins;
    protocol::order_answer answer;
};

using cell_action = std::variant<start_request, stop_request, poll_request, owner_answer>;

// A scheduling decision, for the log.
struct cell_decision {
    std::string_view event;
    std::string subject; // a job, a task or an upstream
    std::string inputs; // "key=value" pairs
};

struct cell_hooks {
    std::function<void(const cell_decision& decision)> onDecision; // may be empty
    // Since when this host has heard of every upstream that starts; time_point::max() if it may have missed some. Empty: always.
    std::function<time_point()> upstreamsHeardSince;
    // Until when it has been told all of them: it may not know of one that an earlier owner has heard of later. Empty: until now.
    std::function<time_point()> upstreamsToldUntil;
    // Returns another cell with free capacity for all tasks of the job now; empty if there is none.
    std::function<std::string(const protocol::job_order& job)> findOtherCell;
    // Returns the cell of another zone for a job of an evacuated zone; empty if no zone takes it.
    std::function<std::string(const protocol::job_order& job)> findEvacuationTarget = {};
    // Work in this owner's other cells. Empty: it has none.
    std::function<work_in_hand()> workInOtherCells = {};
    // Returns other cells whose known upstreams can run every task of the job, whatever runs there now. Empty: none is known.
    std::function<std::vector<std::string>(const protocol::job_order& job)> findCapableCells = {};
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

    // Adds or updates an upstream of this cell. A report older than the last known one is ignored.
    void onUpstreamReport(time_point now, const protocol::upstream_report& report);

    std::vector<std::string> upstreamNames() const;

    // origin: the entry host that sent the job and gets the answer.
    void submit(time_point now, const protocol::job_order& job, std::string_view origin);
    // The job is cancelled once every origin that waits for it has cancelled. submissionNumber: the origin's number of the order;
    // a later order of the origin stays. 0: the latest, without an answer to the origin.
    void cancel(time_point now, std::string_view job, std::string_view origin, std::uint64_t submissionNumber = 0);
    // A caller has cancelled the job at a host that may not be an origin of it. Returns false if the job is not known.
    bool cancelForCaller(time_point now, std::string_view job);

    // The origin's process has ended, or nothing was heard from it for too long. Its jobs are cancelled and their tasks stopped,
    // except for jobs that another origin waits for.
    void onOriginLost(time_point now, std::string_view origin);

    // Anything has arrived from the origin, at heardAt at the earliest.
    void onOriginHeard(time_point heardAt, std::string_view origin);
    // Drops origins that nothing was heard from for longer than a live one is silent while it has jobs here. Not to be called while
    // messages that have arrived may be unread.
    void endSilentOrigins(time_point now);

    void onStart(time_point now, const start_request& order, const call_answer& answer);
    void onStop(time_point now, const stop_request& order, const call_answer& answer);
    void onPoll(time_point now, const poll_request& order, const poll_answer& answer);

    // The cell's zone is evacuated: nothing is started, except that jobs that have begun may start their remaining tasks until the given
    // time. Jobs that have not begun move to other zones. Empty: the evacuation is over.
    void setEvacuation(time_point now, std::optional<time_point> startsUntil);

    void advance(time_point now);
    time_point nextTimer(time_point now) const;

    // Returns every job to its origin for handover to the next owner, with the upstreams that may run its tasks. Call it when the
    // cell is lost or handed over; the dispatcher must not be used for further scheduling afterwards.
    void release(time_point now);

    // A job that was handed over waits until the host has heard of all upstreams that may run its tasks.
    bool needsUpstreamNews(time_point now) const;

    // True once an upstream has seen a higher token, which ends this ownership.
    bool isFenced() const;

    std::vector<cell_action> takeActions();
    std::vector<protocol::service_free_capacity> rooms(time_point now) const;
    cell_counts counts() const;
    work_in_hand workInHand() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::cells
