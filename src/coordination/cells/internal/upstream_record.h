// What the owner of a cell knows about one upstream: runs, free capacity, lease, poll cursor, clock and health.
#pragma once

#include "coordination/cells/internal/run_time_ratio.h"
#include "coordination/cells/upstream_calls.h"
#include "protocol/cell_messages.h"
#include "protocol/time.h"
#include "protocol/upstream_reports.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace jackdaw::cells::internal {

using protocol::duration;
using protocol::resource_vector;
using protocol::time_point;

enum class run_state {
    starting, // start sent, not answered yet
    running,
    uncertain, // the start was unanswered: the run may exist or may still begin
    stopping
};

// A run that may use capacity of the upstream.
struct run_record {
    run_state state = run_state::starting;
    std::uint64_t token = 0; // of the start, if this owner sent it
    std::string job; // empty: no job wants the run, or none has claimed it yet
    time_point keptUntil; // valid while job is empty: no lease is extended beyond, since a caller may start the task elsewhere
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::optional<resource_vector> need; // empty: the upstream listed the run, and no job has claimed it yet
    double expectedMs = 0; // declared run time
    time_point since; // when the start was sent or the run first listed
    std::int64_t startClockMs = 0; // the upstream's clock when it answered the start; 0: not known
    std::int64_t listedClockMs = 0; // the upstream's clock when it last listed the run as running; 0: never
    time_point confirmedAt; // valid while running: when it was first known to run
    time_point nextStopAt; // valid while stopping or uncertain
    duration answerLimit {}; // a start without an answer for so long counts as unanswered in any case
    bool hasBegun = false; // the start was answered, or the upstream listed the run
    bool isListed = false; // by the upstream's present incarnation, as far as known
    bool isSuspect = false; // upstreams may have crashed under the task
    bool isStopConfirmed = false; // a stop was answered: the run can no longer begin in this life of the upstream
    time_point stopConfirmedAt; // valid once isStopConfirmed
};

// A start that got no answer. The upstream may still carry it out, also in a later life, which knows neither stops nor tokens of
// the earlier ones.
struct unanswered_start {
    run_record record; // as of the start
    time_point until; // it is not carried out any later
};

// Estimate of the upstream's steady clock from its last answer. Ahead of the actual clock by no more than its drift.
struct clock_estimate {
    std::int64_t clockMs = 0; // 0: not known
    time_point at;

    bool isKnown() const { return clockMs > 0; }
    std::int64_t now(time_point localNow) const;
};

// The latest local time at which an upstream's lease can end, computed from all calls that were to renew it. A call is left out only
// if its connection could not be opened: any other may have been carried out. Polls are sent one at a time.
class lease_bound {
public:
    time_point end() const { return std::max(m_end, m_endByPoll); }
    void extend(time_point end) { m_end = std::max(m_end, end); }
    void extendByPoll(time_point end) { m_endByPoll = end; } // until onPollOver() the poll may still prove not to have been received
    void onPollOver(bool isNotReceived);

private:
    time_point m_end; // without the pending poll
    time_point m_endByPoll;
};

class upstream_record {
public:
    // The platform's bound on clock drift. A lease lasts longer by this share if the upstream's clock is slow.
    static constexpr double clockDrift = 0.02;

    explicit upstream_record(protocol::upstream_report report)
        : lastReport(report)
        , reports(std::move(report), {})
        , largestCapacity(lastReport.capacity)
    {
    }

    protocol::upstream_report lastReport;
    protocol::report_history reports; // of this incarnation
    std::string answeringAddress; // where an answer came from under its id; empty: none yet, the address is only reported
    std::optional<protocol::upstream_report> reportedRestart; // names a later start, which no answer has confirmed yet
    resource_vector largestCapacity; // maximum of each resource over all reports of this incarnation
    bool isCapacityKnown = true; // false: the capacity is that of an earlier incarnation
    bool isAdopted = false; // it has seen this owner's fencing token, and its runs are known
    std::uint64_t life = 0; // unique for each incarnation of each upstream
    std::map<run_id, run_record> runs;
    std::map<run_id, unanswered_start> unansweredStarts;
    std::size_t startsUnderWay = 0; // calls to this incarnation that have not ended
    bool isAtStartBound = false; // startsUnderWay has reached its bound, and has not fallen to half of it since
    std::uint64_t cursor = 0; // number of the last processed ended task
    clock_estimate clock;
    lease_bound lease; // no run survives its end unless the lease is renewed
    time_point listRequestedAt; // when the latest poll was sent that has been answered
    time_point leaseLimit = time_point::max(); // no lease is extended beyond, for the sake of a run here whose callers may have left
    std::optional<time_point> unansweredRenewalAt; // latest renewal that got no answer, if nothing was answered since
    time_point lateRenewalEnd; // until then runs may be held by a renewal that is carried out late

    std::uint32_t tokenRaises = 0; // of this owner's token for calls to the upstream
    std::optional<time_point> tokenRaisedAt;
    bool mayHaveLateCalls = false; // a call with the present token was not answered
    time_point answeredAt; // last answer to any call

    bool isRenewalWithheld = false; // although runs are wanted: a run is still here whose caller may be back
    bool isPollPending = false;
    bool mustPollAgain = false; // at once if the pending poll fails: a report names a later start
    bool needsNewConnection = false; // the last poll was unanswered
    time_point pollSentAt;
    time_point nextPollAt; // valid while no poll is pending
    time_point heardAt; // last report or answer

    run_time_ratio ratio;
    int consecutiveFailures = 0; // failed runs since the last run that ended as done
    int consecutiveRefusals = 0;
    int consecutiveUnanswered = 0; // unanswered calls since the last answer
    time_point coldUntil; // slower than usual before, according to its latest report
    std::optional<time_point> releasedAt; // when an evacuation of its zone ended under this owner
    time_point ejectedUntil; // no starts before, since it fails tasks or refuses starts
    duration ejectionDuration {};

    upstream_target target() const { return { lastReport.id, lastReport.address, life }; }

    // Free capacity for new starts. Zero while the upstream has a run whose resource need is unknown.
    resource_vector freeCapacity() const;
    // True if a job wants a run that has not been told to stop. Runs that no job has claimed yet end with the earlier owner's lease.
    bool hasWantedRuns() const;
    std::ptrdiff_t countRuns(std::string_view task) const;

    // Extends the known lease and returns its new end on the upstream's clock in ms; 0 if that clock is not known yet.
    std::int64_t extendLease(time_point now, duration length);
    std::int64_t extendLeaseByPoll(time_point now, duration length);

    // The longest lease that is over at the given time even if the upstream's clock is slow.
    static duration longestLeaseUntil(time_point now, time_point end);

    // The lease may last for this long from now.
    void noteLease(time_point now, duration length);

    // The upstream has a new incarnation: resets everything but the measured speed, the unanswered starts, the token of calls, the
    // end of an evacuation, and the end of the lease, which also holds for runs that the new incarnation began before it was known.
    void restart(const protocol::upstream_report& report, std::uint64_t newLife);
};

} // namespace jackdaw::cells::internal
