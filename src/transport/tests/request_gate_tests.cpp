// The gate in front of a parser that does not do what it should.
#include "transport/internal/request_gate.h"
#include "transport/tests/http_fixture.h"

#include <doctest/doctest.h>

#include <event2/bufferevent.h>
#include <event2/event.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <string_view>

using namespace jackdaw::transport;
using internal::request_gate;

// Guards against a wait for the body's time when the body is there, and a loop without end over what is behind it.
TEST_CASE("a whole request that the parser does not hand over stops the process or waits for its refusal")
{
    tests::http_fixture fixture;
    memory_budget budget(1024 * 1024, 10);
    const internal::gate_limits limits { { 1000, 1000 }, std::chrono::hours(1), std::chrono::hours(1), std::chrono::hours(1) };
    std::array<int, 2> ends {};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
    bufferevent* stream = bufferevent_socket_new(fixture.loop.base(), ends[0], BEV_OPT_CLOSE_ON_FREE);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    int refused = 0;
    request_gate::hooks hooks;
    hooks.onRefused = [&](int status, bool isUnhandled) { refused = isUnhandled ? status : 0; };
    hooks.onOverBudget = [] {};
    hooks.close = [](internal::close_reason) {};
    {
        request_gate gate(stream, limits, budget, std::move(hooks));
        constexpr std::string_view request = "POST /x HTTP/1.1\r\nContent-Length: 4\r\n\r\nbodyGET /y"; // the beginning of another one behind it
        REQUIRE(send(ends[1], request.data(), request.size(), 0) == static_cast<ssize_t>(request.size()));
        const auto steps = fixture.loop.every(std::chrono::milliseconds(5), [&] {
            gate.checkTime(jackdaw::protocol::steadyNow());
            std::array<char, 100> bytes {};
            if (recv(ends[1], bytes.data(), bytes.size(), 0) > 0)
                fixture.finish();
        });
        fixture.run();
        CHECK(!gate.onRequestRead()); // the handler is not given what has been refused
    }
    CHECK(refused == 400);
    bufferevent_free(stream);
    close(ends[1]);
}
