// Tests of the event loop.
#include "transport/event_loop.h"

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <optional>
#include <thread>
#include <vector>

using jackdaw::protocol::steadyNow;
using jackdaw::protocol::time_point;
using jackdaw::transport::event_loop;

TEST_CASE("tasks of one thread run in order on the loop's thread")
{
    constexpr int taskCount = 10'000;
    event_loop loop;
    std::vector<int> seen;
    std::thread poster([&] {
        for (int i = 0; i < taskCount; ++i)
            loop.post([&seen, i] { seen.push_back(i); });
        loop.stop();
    });
    loop.run();
    poster.join();
    REQUIRE(seen.size() == taskCount);
    for (int i = 0; i < taskCount; ++i)
        CHECK(seen[static_cast<std::size_t>(i)] == i);
}

TEST_CASE("a timer runs once, a repeated one until it is destroyed, a destroyed one never")
{
    event_loop loop;
    int repeats = 0;
    int cancelled = 0;
    std::unique_ptr<event_loop::timer> repeated;
    std::unique_ptr<event_loop::timer> last;
    auto destroyed = loop.after(std::chrono::milliseconds(1), [&] { ++cancelled; });
    destroyed.reset();
    repeated = loop.every(std::chrono::milliseconds(1), [&] {
        if (++repeats < 3)
            return;
        repeated.reset();
        last = loop.after(std::chrono::milliseconds(5), [&] { loop.stop(); });
    });
    loop.run();
    CHECK(repeats == 3);
    CHECK(cancelled == 0);
}

TEST_CASE("a signal calls its hook on the loop")
{
    event_loop loop;
    bool seen = false;
    loop.onSignal(SIGUSR1, [&] {
        seen = true;
        loop.stop();
    });
    std::raise(SIGUSR1);
    loop.run();
    CHECK(seen);
}

// Guards against a bound on a planned stop that counts from when a busy loop gets to the signal.
TEST_CASE("a signal that is raised while the loop is busy passes for one that was raised later")
{
    event_loop loop;
    std::optional<time_point> seen;
    loop.onSignal(SIGUSR1, [&](time_point raisedAt) {
        seen = raisedAt;
        loop.stop();
    });
    time_point before;
    time_point after;
    loop.post([&] {
        before = steadyNow();
        std::raise(SIGUSR1);
        after = steadyNow();
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        std::raise(SIGUSR1);
    });
    loop.run();
    REQUIRE(seen);
    CHECK(*seen >= before);
    CHECK(*seen <= after);
}
