// Tests of callers that end their sending side after whole requests (shutdown, half-close): they can still read, and TCP can't tell them from callers that are gone.
#include "transport/tests/http_fixture.h"

#include <unistd.h>

#include <algorithm>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace jackdaw::transport;
using std::chrono::milliseconds;
using tests::http_fixture;

namespace {

constexpr std::string_view request = "DELETE /x HTTP/1.1\r\nHost: x\r\n\r\n";

// A caller over a socket of its own. What it sends and receives does not depend on the loop.
class leaving_caller {
public:
    explicit leaving_caller(const http_fixture& fixture)
        : m_descriptor(fixture.connectRaw())
    {
    }
    ~leaving_caller() { close(m_descriptor); }
    leaving_caller(const leaving_caller&) = delete;
    leaving_caller& operator=(const leaving_caller&) = delete;

    void send(std::string_view text) const { REQUIRE(::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size())); }
    void endSending() const { REQUIRE(shutdown(m_descriptor, SHUT_WR) == 0); }

    // The close that follows is a reset.
    void discardAtClose() const
    {
        const linger none { 1, 0 };
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
    }

    // Reads on, and tells whether the connection has ended in order.
    bool hasEnded(std::size_t maxBytes = 4096)
    {
        std::string part(maxBytes, '\0');
        const ssize_t length = recv(m_descriptor, part.data(), part.size(), MSG_DONTWAIT);
        m_received.append(part, 0, static_cast<std::size_t>(std::max<ssize_t>(length, 0)));
        return length == 0;
    }

    const std::string& received() const { return m_received; }

private:
    int m_descriptor;
    std::string m_received;
};

// Answers a request with its path, in a later pass of the loop.
class late_handler {
public:
    explicit late_handler(http_fixture& fixture)
        : m_fixture(fixture)
    {
    }

    void operator()(const http_request& received, const std::shared_ptr<http_responder>& responder)
    {
        m_timers.push_back(m_fixture.loop.after(milliseconds(50), [responder, path = received.path] { responder->reply({ 200, "text/plain", path, {} }); }));
    }

private:
    http_fixture& m_fixture;
    std::vector<std::unique_ptr<event_loop::timer>> m_timers;
};

// Ends the run once the condition holds.
void runUntil(http_fixture& fixture, const std::function<bool()>& condition)
{
    fixture.hasFinished = false;
    const auto check = fixture.loop.every(milliseconds(5), [&] {
        if (condition())
            fixture.finish();
    });
    fixture.run();
}

bool isCutOff(const http_fixture& fixture)
{
    const http_server_closures closures = fixture.server->closures();
    return closures.library + closures.withPartialRequest + closures.withWholeRequest + closures.withUnsentResponse > 0;
}

} // namespace

// Guards against an end of the stream that closes the connection before the answer, whenever that is given.
TEST_CASE("a caller that ends its sending side right behind a request gets no answer")
{
    for (const bool isLate : { false, true }) {
        CAPTURE(isLate);
        http_fixture fixture;
        late_handler late(fixture);
        fixture.serve([&](const http_request& received, const std::shared_ptr<http_responder>& responder) {
            CHECK(responder->isCallerGone());
            if (isLate)
                return late(received, responder);
            responder->reply({ 200, "text/plain", received.path, {} });
        });
        leaving_caller caller(fixture);
        caller.send(request);
        caller.endSending();
        runUntil(fixture, [&] { return caller.hasEnded() && fixture.server->openConnections() == 0; });
        CHECK(caller.received().starts_with("HTTP/1.1 200"));
        CHECK(caller.received().ends_with("\r\n\r\n/x"));
        CHECK(fixture.server->openRequests() == 0);
        CHECK_FALSE(isCutOff(fixture));
    }
}

// Guards against a hook that is not told, or whose reply is dropped.
TEST_CASE("a caller that ends its sending side while its request waits gets no answer")
{
    http_fixture fixture;
    std::shared_ptr<http_responder> waiting;
    fixture.serve([&](const http_request&, const std::shared_ptr<http_responder>& responder) {
        waiting = responder;
        responder->onCallerGone([&] { waiting->reply({ 504, "text/plain", "cancelled", {} }); });
    });
    leaving_caller caller(fixture);
    caller.send(request);
    runUntil(fixture, [&] { return waiting != nullptr; });
    CHECK_FALSE(waiting->isCallerGone());
    caller.endSending();
    runUntil(fixture, [&] { return caller.hasEnded() && fixture.server->openConnections() == 0; });
    CHECK(caller.received().starts_with("HTTP/1.1 504"));
    CHECK(caller.received().ends_with("cancelled"));
    CHECK(fixture.server->requests().leftByCaller == 1);
}

// Guards against requests that wait for ever, whether the responder is released before or after the caller's end is noticed.
TEST_CASE("a request that nobody will answer keeps the connection of a caller that has ended its sending side")
{
    for (const bool isReleasedLate : { false, true }) {
        CAPTURE(isReleasedLate);
        http_fixture fixture;
        bool isTold = false;
        std::shared_ptr<http_responder> waiting;
        std::unique_ptr<event_loop::timer> releasing;
        fixture.serve([&](const http_request&, const std::shared_ptr<http_responder>& responder) {
            if (isReleasedLate)
                waiting = responder;
            responder->onCallerGone([&] {
                isTold = true;
                releasing = fixture.loop.after(milliseconds(50), [&] { waiting.reset(); });
            });
        });
        leaving_caller caller(fixture);
        caller.send(request);
        caller.endSending();
        runUntil(fixture, [&] { return caller.hasEnded() && fixture.server->openConnections() == 0; });
        CHECK(isTold);
        CHECK(caller.received().starts_with("HTTP/1.1 504"));
    }
}

// Guards against a response that ends where the pass ends that reads the end of the stream.
TEST_CASE("a long response is cut off when its caller ends its sending side")
{
    constexpr std::size_t bodyBytes = 64 * 1024 * 1024; // more than the system buffers
    http_fixture fixture;
    fixture.serve([](const http_request&, const std::shared_ptr<http_responder>& responder) { responder->reply({ 200, "text/plain", std::string(bodyBytes, 'x'), {} }); });
    leaving_caller caller(fixture);
    caller.send(request);
    runUntil(fixture, [&] { return !caller.hasEnded(1) && !caller.received().empty(); });
    caller.endSending();
    runUntil(fixture, [&] { return caller.hasEnded(bodyBytes / 64) && fixture.server->openConnections() == 0; });
    CHECK(caller.received().size() > bodyBytes);
    CHECK(fixture.server->requests().leftByCaller == 1);
}

// Guards against an end of the stream that takes the requests before it along, and against answers to what was not sent whole.
TEST_CASE("pipelined requests before the end of a caller's sending side are not all answered, or out of order")
{
    for (const std::string_view rest : { std::string_view(), request.substr(0, 20) }) {
        CAPTURE(rest);
        http_fixture fixture;
        late_handler handler(fixture);
        fixture.serve(std::ref(handler));
        leaving_caller caller(fixture);
        caller.send("GET /first HTTP/1.1\r\nHost: x\r\n\r\nPOST /second HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}" + std::string(request) + std::string(rest));
        caller.endSending();
        runUntil(fixture, [&] { return caller.hasEnded() && fixture.server->openConnections() == 0; });
        const std::string& text = caller.received();
        CHECK(text.find("\r\n\r\n/first") < text.find("\r\n\r\n/second"));
        CHECK(text.find("\r\n\r\n/second") < text.find("\r\n\r\n/x"));
        CHECK(text.ends_with("\r\n\r\n/x"));
        CHECK(fixture.server->requests().handled == 3);
    }
}

// Guards against connections, hooks and responders that stay behind when a caller closes or resets its connection.
TEST_CASE("a connection that its caller closes or resets outlives the answer")
{
    for (const bool isReset : { false, true }) {
        CAPTURE(isReset);
        http_fixture fixture;
        int told = 0;
        std::shared_ptr<http_responder> waiting;
        fixture.serve([&](const http_request&, const std::shared_ptr<http_responder>& responder) {
            waiting = responder;
            responder->onCallerGone([&] {
                ++told;
                waiting->reply({ 504, "text/plain", "cancelled", {} });
            });
        });
        auto caller = std::make_unique<leaving_caller>(fixture);
        caller->send(std::string(request) + std::string(request)); // the second is behind an answer to nobody
        runUntil(fixture, [&] { return waiting != nullptr; });
        if (isReset)
            caller->discardAtClose();
        caller.reset();
        runUntil(fixture, [&] { return fixture.server->openConnections() == 0; });
        CHECK(told == (isReset ? 1 : static_cast<int>(fixture.server->requests().handled)));
        CHECK(fixture.server->openRequests() == 0);
        CHECK(fixture.server->requests().leftByCaller == 1);
        CHECK_FALSE(isCutOff(fixture));
    }
}

// Guards against requests whose callers have left that keep the place of those whose callers are there.
TEST_CASE("a request whose caller has ended its sending side takes the place of a new connection")
{
    http_fixture fixture;
    http_server_limits limits;
    limits.maxConnections = 3;
    std::vector<std::shared_ptr<http_responder>> waiting;
    fixture.serve([&](const http_request&, const std::shared_ptr<http_responder>& responder) { waiting.push_back(responder); }, limits);
    leaving_caller present(fixture);
    present.send(request);
    leaving_caller unfinished(fixture);
    unfinished.send(request.substr(0, 20));
    leaving_caller leaving(fixture);
    leaving.send(request);
    leaving.endSending();
    runUntil(fixture, [&] { return waiting.size() == 2 && fixture.server->requests().leftByCaller == 1; });
    CHECK(fixture.server->openConnections() == 3);
    const leaving_caller further(fixture);
    runUntil(fixture, [&] { return leaving.hasEnded(); });
    CHECK(fixture.server->openConnections() == 3);
    unfinished.send(request.substr(20));
    runUntil(fixture, [&] { return waiting.size() == 3; });
}
