// Planned stops by a signal on a loop that is held up.
#include "apps/cell_host/planned_stop.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <thread>
#include <utility>
#include <vector>

using namespace jackdaw;
using cell_host::planned_stop;
using cell_host::stop_schedule;
using protocol::duration;
using protocol::steadyNow;
using protocol::time_point;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds gracePeriod(1000);
constexpr milliseconds killMargin(100); // before the grace period's end; a stop with open work ends then
constexpr milliseconds cancelMargin(300); // the same, of open jobs

struct check {
    duration since {}; // the signal, at most
    stop_schedule::step due;
};

struct played_stop {
    duration signalWaited {};
    std::vector<check> checks;
    duration length {}; // from the signal, at least
};

// A job stays open. The loop is held up from the signal on, for half of the time before it has got to it.
played_stop play(int signalNumber, milliseconds heldUp)
{
    transport::event_loop loop;
    time_point before;
    time_point after;
    played_stop out;
    planned_stop::hooks hooks;
    hooks.begin = [&](duration sinceSignal) {
        out.signalWaited = sinceSignal;
        std::this_thread::sleep_for(heldUp / 2);
    };
    hooks.look = [&] {
        out.checks.push_back({ steadyNow() - after, {} });
        return stop_schedule::state { .openJobs = 1, .openConnections = 1 };
    };
    hooks.act = [&](const stop_schedule::step& due) {
        out.checks.back().due = due;
        out.length = steadyNow() - before;
        if (due.ends)
            loop.stop();
    };
    planned_stop stop(loop, { gracePeriod, 1000 }, std::move(hooks));
    stop.takeSignals();
    loop.post([&] {
        before = steadyNow();
        std::raise(signalNumber);
        after = steadyNow();
        std::this_thread::sleep_for(heldUp / 2);
    });
    loop.run();
    return out;
}

} // namespace

// Guards against times that count from when the loop gets to the signal: the process is killed before its last steps.
TEST_CASE("a stop is put off by as much as its loop is held up after the signal")
{
    for (const int signalNumber : { SIGTERM, SIGINT }) {
        for (const milliseconds heldUp : { milliseconds(0), gracePeriod - cancelMargin, gracePeriod }) {
            CAPTURE(signalNumber);
            CAPTURE(heldUp.count());
            const played_stop stop = play(signalNumber, heldUp);
            CHECK(stop.signalWaited >= heldUp / 2);
            CHECK(stop.length >= gracePeriod - killMargin);
            for (const check& step : stop.checks) {
                CHECK((step.due.ends || step.since < gracePeriod - killMargin));
                CHECK((step.due.abandonsJobs || step.since < gracePeriod - cancelMargin));
            }
        }
    }
}
