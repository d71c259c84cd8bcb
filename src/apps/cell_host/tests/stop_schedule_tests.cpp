// Replays of planned stops: when a host closes its listener, refuses, answers and ends.
#include "apps/cell_host/stop_schedule.h"

#include <doctest/doctest.h>

#include <functional>
#include <optional>

using jackdaw::cell_host::stop_schedule;
using jackdaw::protocol::duration;
using std::chrono::milliseconds;

namespace {

struct stop_times {
    std::optional<duration> refusal, closing, abandonment, end; // after the signal
};

// Plays a stop with a grace period of 6 s; the load says what is open and has been accepted at a time. The loop is held up until the first check.
stop_times replay(std::uint32_t millicores, const std::function<stop_schedule::state(duration since)>& load, duration firstCheck = {})
{
    stop_schedule schedule(milliseconds(6000), millicores);
    stop_times out;
    const auto note = [](std::optional<duration>& time, bool isDue, duration since) {
        if (isDue && !time)
            time = since;
    };
    for (duration since = firstCheck; !out.end && since < milliseconds(7000); since += stop_schedule::checkInterval) {
        stop_schedule::state state = load(since);
        state.since = since;
        state.isAccepting = !out.closing;
        const stop_schedule::step step = schedule.next(state);
        note(out.refusal, step.refusesJobs, since);
        note(out.closing, step.stopsAccepting, since);
        note(out.abandonment, step.abandonsJobs, since);
        note(out.end, step.ends, since);
    }
    return out;
}

} // namespace

// Guards against a host that stays although no caller comes any more.
TEST_CASE("a stopping host that the load balancer does not use waits for the end of its grace period")
{
    const stop_times unused = replay(1000, [](duration) { return stop_schedule::state {}; });
    CHECK(unused.end.value() <= milliseconds(2600));
    const stop_times used = replay(1000, [](duration since) { return stop_schedule::state { .openJobs = since < milliseconds(3000), .openConnections = since < milliseconds(3000), .connectionsAccepted = since < milliseconds(2000) ? 1U : 2U }; });
    CHECK(used.closing.value() == milliseconds(3000));
    CHECK_FALSE(used.refusal);
}

// Guards against a port that closes while the load balancer still sends callers: it uses all hosts of a zone where most of them stop.
TEST_CASE("a stopping host closes its port to callers that it could serve")
{
    const stop_times times = replay(100, [](duration since) { return stop_schedule::state { .openJobs = since < milliseconds(5000), .openConnections = since < milliseconds(5600) ? 30U : 0U, .connectionsAccepted = static_cast<std::uint64_t>(since / milliseconds(10)) }; });
    CHECK(times.refusal.value() == milliseconds(4000));
    CHECK(times.closing.value() == milliseconds(5000)); // refusing serves nobody once the last job is over
    CHECK(times.end.value() == milliseconds(5600));
}

// Guards against callers that are answered so late that a weak host cannot send the responses.
TEST_CASE("a stopping host answers many callers when its time is nearly over")
{
    const auto abandonment = [](std::uint32_t millicores, std::size_t jobs) {
        const stop_times times = replay(millicores, [jobs](duration since) { return stop_schedule::state { .openJobs = jobs, .openConnections = jobs, .connectionsAccepted = static_cast<std::uint64_t>(since / milliseconds(100)) }; });
        CHECK(times.closing.value() <= milliseconds(5200));
        CHECK(times.end.value() == milliseconds(5900));
        return times.abandonment.value();
    };
    CHECK(abandonment(1000, 1) == milliseconds(5700));
    CHECK(abandonment(90, 10) == milliseconds(5700));
    CHECK(abandonment(90, 200) <= milliseconds(5300));
    CHECK(abandonment(90, 200) > milliseconds(5200));
    CHECK(abandonment(10, 4000) == milliseconds(4700));
}

// Guards against a stop whose steps wait for others that a late loop has missed.
TEST_CASE("a stopping host that is held up takes the rest of its steps late")
{
    const auto load = [](duration since) { return stop_schedule::state { .openJobs = 1, .openConnections = 30, .connectionsAccepted = static_cast<std::uint64_t>(since / milliseconds(10)) }; };
    const stop_times times = replay(1000, load, milliseconds(4500));
    CHECK(times.refusal.value() == milliseconds(4500));
    CHECK(times.closing.value() == milliseconds(5200));
    CHECK(times.abandonment.value() == milliseconds(5700));
    CHECK(times.end.value() == milliseconds(5900));
    CHECK(replay(1000, load, milliseconds(6000)).end.value() == milliseconds(6000));
}
