// Tests of noticing that an event loop has stood still.
#include "transport/stall_watch.h"

#include <doctest/doctest.h>

#include <event2/event.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <map>
#include <thread>
#include <vector>

using namespace jackdaw::transport;
using jackdaw::protocol::duration;
using jackdaw::protocol::time_point;
using std::chrono::milliseconds;

namespace {

constexpr duration stallTime = milliseconds(600);

// Counts the time in which a loop runs and the stalls of a test. A machine that holds the loop up does not move it.
class loop_clock {
public:
    explicit loop_clock(event_loop& loop)
        : m_timer(loop.every(step, [this] { advance(step); }))
    {
    }

    time_point now() const { return time_point(m_now); }

    // Calls the hook at this time or at the first step after it.
    void at(duration time, std::function<void()> hook) { m_hooks.emplace(time, std::move(hook)); }

    void standStill(duration length)
    {
        std::this_thread::sleep_for(length);
        m_now += length;
    }

private:
    static constexpr duration step = milliseconds(10);

    void advance(duration length)
    {
        m_now += length;
        while (!m_hooks.empty() && m_hooks.begin()->first <= m_now)
            m_hooks.extract(m_hooks.begin()).mapped()();
    }

    duration m_now { 0 };
    std::multimap<duration, std::function<void()>> m_hooks; // by the time at which they are due
    std::unique_ptr<event_loop::timer> m_timer;
};

// A loop that reads one byte from a socket, as an HTTP server does, and notes how long it may have waited.
struct watched_loop {
    event_loop loop;
    loop_clock clock { loop };
    stall_watch watch;
    std::array<int, 2> sockets {};
    event* readable = nullptr;
    std::vector<duration> delays;

    watched_loop()
        : watch(loop)
    {
        openSockets();
    }

    explicit watched_loop(stall_watch::stall_hook onStall)
        : watch(loop, std::move(onStall), [this] { return clock.now(); })
    {
        openSockets();
    }

    void openSockets()
    {
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets.data()) == 0);
        readable = event_new(loop.base(), sockets[0], EV_READ | EV_PERSIST, &watched_loop::onReadable, this);
        event_add(readable, nullptr);
    }

    ~watched_loop()
    {
        event_free(readable);
        close(sockets[0]);
        close(sockets[1]);
    }

    watched_loop(const watched_loop&) = delete;
    watched_loop& operator=(const watched_loop&) = delete;

    static void onReadable(evutil_socket_t descriptor, short, void* argument)
    {
        auto& self = *static_cast<watched_loop*>(argument);
        char byte = 0;
        REQUIRE(read(descriptor, &byte, 1) == 1);
        self.delays.push_back(self.watch.maxInputDelay());
    }

    void send() const { REQUIRE(write(sockets[1], "x", 1) == 1); }

    void runFor(duration length)
    {
        const auto end = loop.after(length, [this] { loop.stop(); });
        loop.run();
    }
};

} // namespace

TEST_CASE("input that waited while the loop stood still passes for input that has just arrived")
{
    watched_loop watched;
    const auto stall = watched.loop.after(milliseconds(150), [&] {
        watched.send();
        std::this_thread::sleep_for(stallTime);
    });
    watched.runFor(milliseconds(1000));
    REQUIRE(watched.delays.size() == 1);
    CHECK(watched.delays.front() >= stallTime);
}

TEST_CASE("input that arrives well after a stall, or to a loop that waits for it, passes for old")
{
    watched_loop watched(stall_watch::stall_hook {});
    watched.clock.at(milliseconds(120), [&] { watched.send(); });
    watched.clock.at(milliseconds(150), [&] { watched.clock.standStill(stallTime); });
    watched.clock.at(milliseconds(1200), [&] { watched.send(); });
    watched.clock.at(milliseconds(1500), [&] { watched.loop.stop(); });
    watched.loop.run();
    REQUIRE(watched.delays.size() == 2);
    CHECK(watched.delays[0] == duration::zero());
    CHECK(watched.delays[1] == duration::zero());
}

TEST_CASE("a loop that stood still says nothing of it, or says it again")
{
    std::vector<duration> stalls;
    watched_loop watched([&](duration length) { stalls.push_back(length); });
    watched.clock.at(milliseconds(300), [&] { watched.clock.standStill(stallTime); });
    watched.clock.at(milliseconds(1500), [&] { watched.loop.stop(); });
    watched.loop.run();
    REQUIRE(stalls.size() == 1);
    CHECK(stalls.front() >= stallTime);
}
