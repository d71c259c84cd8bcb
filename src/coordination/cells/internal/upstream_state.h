// What one upstream of a cell runs, as far as its owner can know: room, lease, cursor, clock, health.
#pragma once

#include "coordination/cells/internal/run_time_ratio.h"
#include "coordination/cells/upstream_calls.h"
#include "protocol/cell_messages.h"
#include "protocol/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace jackdaw::cells::internal {

using protocol::duration;
using protocol::resource_vector;
using protocol::time_point;

enum class run_state {
    starting, // sent, no answer yet
    running,
    uncertain, // the start got no answer: it may run, or may yet start
    stopping
};

// One run that may hold room on the upstream.
struct run_record {
    run_state state = run_state::starting;
    std::string job; // empty: found in the upstream's list, not claimed by a job yet
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    resource_vector need;
    double expectedMs = 0; // declared run time
    time_point since; // sent, or first seen
    time_point confirmedAt; // valid while running: when it was first known to run
    time_point nextStopAt; // valid while stopping or unsettled
    bool isStopConfirmed = false; // a stop was answered: the run can't begin any more
    time_point stopConfirmedAt; // valid once isStopSettled
};

// The upstream's steady clock, estimated from its last answer. Never ahead of the real one by more than its drift.
struct clock_estimate {
    std::int64_t clockMs = 0; // 0: never heard
    time_point at;

    bool isKnown() const { return clockMs > 0; }
    std::int64_t now(time_point localNow) const;
};

class upstream_state {
public:
    // A clock that is this much slow lets a lease last longer; the platform's bound.
    static constexpr double clockDrift = 0.02;

    explicit upstream_state(protocol::upstream_report report)
        : lastReport(std::move(report))
    {
    }

    protocol::upstream_report lastReport;
    bool isAdopted = false; // it has seen this owner's token, and its list is known
    std::map<run_id, run_record> runs;
    std::uint64_t cursor = 0; // the last end taken note of
    clock_estimate clock;
    time_point leaseEnd; // local; whatever ran is gone by then, unless renewed

    bool isPollPending = false;
    bool needsNewConnection = false; // the last look got no answer
    time_point pollSentAt;
    time_point nextPollAt; // valid while no look is open
    time_point heardAt; // last report or answer

    run_time_ratio ratio;
    int consecutiveFailures = 0; // runs that ended failed, with no other end between
    int consecutiveRefusals = 0;
    int consecutiveUnanswered = 0; // calls without an answer, with no answer between
    time_point ejectedUntil; // no starts before: it fails or refuses what it is sent
    duration ejectionDuration {};

    // Free for new starts. Nothing while a run of unknown size is there.
    resource_vector room() const;
    bool hasUnclaimedRuns() const;

    // A lease asked for now, at the latest bound.
    std::int64_t extendLease(time_point now, duration lease);

    // Another life: all that was known of runs is void.
    void restart(const protocol::upstream_report& report);
};

} // namespace jackdaw::cells::internal
