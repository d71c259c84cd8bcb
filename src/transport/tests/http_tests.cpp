// Tests of the HTTP server and client against each other and against raw sockets.
#include "transport/tests/bound_port.h"
#include "transport/tests/http_fixture.h"

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

using namespace jackdaw::transport;
using tests::http_fixture;
using tests::loopback;

namespace {

http_call makePost(std::string body)
{
    http_call call;
    call.method = http_method::post;
    call.path = "/run?wait=0&x=1";
    call.body = std::move(body);
    call.headers = { { "Task-Id", "t1" } };
    return call;
}

} // namespace

TEST_CASE("a request arrives whole and its later reply comes back whole")
{
    http_fixture fixture;
    std::unique_ptr<event_loop::timer> later;
    fixture.serve([&](const http_request& request, const std::shared_ptr<http_responder>& responder) {
        CHECK(request.method == http_method::post);
        CHECK(request.path == "/run");
        CHECK(request.queryParameter("wait") == "0");
        CHECK(request.queryParameter("x") == "1");
        CHECK(request.queryParameter("absent").empty());
        CHECK(request.header("task-id") == "t1");
        later = fixture.loop.after(std::chrono::milliseconds(5), [responder, body = request.body] {
            responder->reply({ 202, "text/plain", body + "!", { { "Upstream-State", "serving" } } });
            responder->reply({ 500, "text/plain", "second", {} });
        });
    });
    fixture.client.call(fixture.target(), makePost(std::string(100'000, 'x')), [&](const http_result& result) {
        CHECK(result.outcome == request_outcome::answered);
        CHECK(result.response.status == 202);
        CHECK(result.response.body == std::string(100'000, 'x') + "!");
        CHECK(result.response.header("upstream-state") == "serving");
        fixture.finish();
    });
    fixture.run();
    CHECK(fixture.server->openRequests() == 0);
}

TEST_CASE("calls over the pool's bound wait and are answered each with its own reply")
{
    constexpr int callCount = 50;
    http_fixture fixture;
    std::vector<std::unique_ptr<event_loop::timer>> timers;
    std::size_t mostOpen = 0;
    fixture.serve([&](const http_request& request, const std::shared_ptr<http_responder>& responder) {
        mostOpen = std::max(mostOpen, fixture.server->openRequests());
        timers.push_back(fixture.loop.after(std::chrono::milliseconds(1), [responder, body = request.body] {
            responder->reply({ 200, "text/plain", body, {} });
        }));
    });
    int answered = 0;
    for (int i = 0; i < callCount; ++i) {
        fixture.client.call(fixture.target(), makePost(std::to_string(i)), [&, i](const http_result& result) {
            CHECK(result.response.body == std::to_string(i));
            if (++answered == callCount)
                fixture.finish();
        });
    }
    fixture.run();
    CHECK(mostOpen <= 2);
}

TEST_CASE("an idle pooled connection outlives the timeout of its last call")
{
    http_fixture fixture;
    fixture.serve([](const http_request&, const std::shared_ptr<http_responder>& responder) { responder->reply({}); });
    constexpr auto shortTimeout = std::chrono::milliseconds(100);
    http_call call = makePost("a");
    call.timeout = shortTimeout;
    std::unique_ptr<event_loop::timer> pause;
    fixture.client.call(fixture.target(), call, [&](const http_result& first) {
        CHECK(first.outcome == request_outcome::answered);
        pause = fixture.loop.after(4 * shortTimeout, [&] {
            // The idle connection is still open.
            CHECK(fixture.server->openConnections() == 1);
            fixture.client.call(fixture.target(), call, [&](const http_result& second) {
                CHECK(second.outcome == request_outcome::answered);
                CHECK(fixture.server->openConnections() == 1);
                fixture.finish();
            });
        });
    });
    fixture.run();
}

TEST_CASE("a response that closes its connection is read whole, and the connection ends")
{
    http_fixture fixture;
    fixture.serve([](const http_request&, const std::shared_ptr<http_responder>& responder) {
        http_response response;
        response.body = "last";
        response.closesConnection = true;
        responder->reply(std::move(response));
    });
    std::unique_ptr<event_loop::timer> pause;
    fixture.client.call(fixture.target(), makePost("a"), [&](const http_result& result) {
        CHECK(result.outcome == request_outcome::answered);
        CHECK(result.response.body == "last");
        pause = fixture.loop.after(std::chrono::milliseconds(200), [&] {
            CHECK(fixture.server->openConnections() == 0);
            fixture.finish();
        });
    });
    fixture.run();
}

TEST_CASE("a refused connection and a silent one are told apart, and the silent one is not used again")
{
    http_fixture fixture;
    std::vector<std::shared_ptr<http_responder>> unanswered;
    fixture.serve([&](const http_request& request, const std::shared_ptr<http_responder>& responder) {
        if (request.body == "silent")
            unanswered.push_back(responder);
        else
            responder->reply({ 200, "text/plain", "late answers stay on their own connection", {} });
    });
    const tests::bound_port closed;
    fixture.client.call({ loopback, closed.number() }, makePost("x"), [&](const http_result& refused) {
        CHECK(refused.outcome == request_outcome::refused);
        http_call call = makePost("silent");
        call.timeout = std::chrono::milliseconds(50);
        fixture.client.call(fixture.target(), call, [&](const http_result& silent) {
            CHECK(silent.outcome == request_outcome::silent);
            for (const auto& responder : unanswered)
                responder->reply({ 200, "text/plain", "crossed", {} });
            fixture.client.call(fixture.target(), makePost("next"), [&](const http_result& next) {
                CHECK(next.outcome == request_outcome::answered);
                CHECK(next.response.body == "late answers stay on their own connection");
                fixture.finish();
            });
        });
    });
    fixture.run();
}

TEST_CASE("a caller that closes its connection is noticed while its request waits")
{
    http_fixture fixture;
    std::shared_ptr<http_responder> kept;
    fixture.serve([&](const http_request&, const std::shared_ptr<http_responder>& responder) {
        kept = responder;
        responder->onCallerGone([&] { fixture.finish(); });
    });
    const int descriptor = fixture.connectRaw();
    const std::string text = "PUT /v1/jobs/x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
    REQUIRE(write(descriptor, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    auto closing = fixture.loop.after(std::chrono::milliseconds(20), [&] { close(descriptor); });
    fixture.run();
    kept->reply({ 200, "text/plain", "nobody listens", {} });
    kept.reset();
    auto settle = fixture.loop.after(std::chrono::milliseconds(20), [&] { fixture.loop.stop(); });
    fixture.loop.run();
    CHECK(fixture.server->openRequests() == 0);
}

// A host that stood still reads a request together with the end of its connection.
TEST_CASE("a request that is read after its caller has left passes for one whose caller waits")
{
    for (const bool isClosed : { false, true }) {
        CAPTURE(isClosed);
        http_fixture fixture;
        std::vector<bool> seen;
        fixture.serve([&](const http_request&, const std::shared_ptr<http_responder>& responder) {
            seen.push_back(responder->isCallerGone());
            responder->reply({});
            fixture.finish();
        });
        const int descriptor = fixture.connectRaw();
        const std::string text = "POST /v1/jobs/x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
        REQUIRE(write(descriptor, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
        if (isClosed)
            close(descriptor);
        fixture.run();
        CHECK(seen == std::vector<bool> { isClosed });
        if (!isClosed)
            close(descriptor);
    }
}

TEST_CASE("a request whose caller left is freed though nobody answers it")
{
    http_fixture fixture;
    fixture.serve([&](const http_request&, const std::shared_ptr<http_responder>& responder) {
        responder->onCallerGone([&] { fixture.finish(); });
    });
    const int descriptor = fixture.connectRaw();
    const std::string text = "GET /v1/jobs/x HTTP/1.1\r\nHost: x\r\n\r\n";
    REQUIRE(write(descriptor, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    auto closing = fixture.loop.after(std::chrono::milliseconds(20), [&] { close(descriptor); });
    fixture.run();
    auto settle = fixture.loop.after(std::chrono::milliseconds(20), [&] { fixture.loop.stop(); });
    fixture.loop.run();
    CHECK(fixture.server->openRequests() == 0);
}

TEST_CASE("text that is no HTTP and bodies over the limit cost nothing to others")
{
    http_fixture fixture;
    http_server_limits limits;
    limits.maxBodyBytes = 1000;
    fixture.serve([](const http_request&, const std::shared_ptr<http_responder>& responder) { responder->reply({ 200, "text/plain", "fine", {} }); }, limits);
    const int garbage = fixture.connectRaw();
    REQUIRE(write(garbage, "\x01\x02 nonsense\r\n\r\n", 16) == 16);
    fixture.client.call(fixture.target(), makePost(std::string(100'000, 'x')), [&](const http_result& tooLarge) {
        CHECK((tooLarge.outcome == request_outcome::silent || tooLarge.response.status == 413));
        fixture.client.call(fixture.target(), makePost("small"), [&](const http_result& small) {
            CHECK(small.response.body == "fine");
            fixture.finish();
        });
    });
    fixture.run();
    close(garbage);
}

TEST_CASE("server and client are destroyed with a request that waits on a used connection, and leave nothing behind")
{
    http_fixture fixture;
    std::shared_ptr<http_responder> waiting;
    int requests = 0;
    fixture.serve([&](const http_request&, const std::shared_ptr<http_responder>& responder) {
        if (++requests == 1)
            return responder->reply({});
        waiting = responder;
        fixture.finish();
    });
    fixture.client.call(fixture.target(), makePost("a"), [&](const http_result&) {
        fixture.client.call(fixture.target(), makePost("b"), [](const http_result&) {});
    });
    fixture.run();
    CHECK(waiting);
}

TEST_CASE("a request whose head arrives in two parts loses a part of its path or of a header")
{
    http_fixture fixture;
    std::vector<std::string> seen;
    fixture.serve([&](const http_request& request, const std::shared_ptr<http_responder>& responder) {
        seen.push_back(request.path + ' ' + std::string(request.header("Host")) + ' ' + request.body);
        responder->reply({});
    });
    const std::string bytes = "POST /prefix/0123456789abcdef HTTP/1.1\r\nHost: name.example\r\nContent-Length: 4\r\n\r\nbody";
    std::vector<int> descriptors;
    for (std::size_t split = 1; split < bytes.size(); ++split) {
        descriptors.push_back(fixture.connectRaw());
        REQUIRE(write(descriptors.back(), bytes.data(), split) == static_cast<ssize_t>(split));
    }
    const auto second = fixture.loop.after(std::chrono::milliseconds(100), [&] {
        for (std::size_t split = 1; split < bytes.size(); ++split) {
            const std::string rest = bytes.substr(split);
            CHECK(write(descriptors[split - 1], rest.data(), rest.size()) == static_cast<ssize_t>(rest.size()));
        }
    });
    const auto poll = fixture.loop.every(std::chrono::milliseconds(10), [&] {
        if (seen.size() == descriptors.size())
            fixture.finish();
    });
    fixture.run();
    for (const std::string& request : seen)
        CHECK(request == "/prefix/0123456789abcdef name.example body");
    for (const int descriptor : descriptors)
        close(descriptor);
}

TEST_CASE("a request over a limit is dropped without a response")
{
    http_fixture fixture;
    http_server_limits limits;
    limits.maxHeaderBytes = 500;
    limits.maxBodyBytes = 100;
    limits.headerTimeout = std::chrono::milliseconds(100);
    fixture.serve([](const http_request&, const std::shared_ptr<http_responder>& responder) { responder->reply({}); }, limits);
    const std::vector<std::pair<std::string, std::string>> cases = {
        { "GET /" + std::string(600, 'x'), "414" },
        { "GET / HTTP/1.1\r\nX: " + std::string(600, 'x'), "431" },
        { "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", "413" },
        { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n", "413" },
        { "GET / HTTP/1.1\r\nHost", "408" },
        { "GET / HTTP/1.1\r\nHost : x\r\n\r\n", "400" },
        { "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n", "200" },
    };
    std::vector<int> descriptors;
    for (const auto& [text, status] : cases) {
        descriptors.push_back(fixture.connectRaw());
        REQUIRE(write(descriptors.back(), text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    }
    const auto end = fixture.loop.after(std::chrono::seconds(3), [&] { fixture.finish(); });
    fixture.run();
    for (std::size_t i = 0; i < cases.size(); ++i) {
        std::string answer(1000, '\0');
        answer.resize(static_cast<std::size_t>(std::max<ssize_t>(recv(descriptors[i], answer.data(), answer.size(), MSG_DONTWAIT), 0)));
        CAPTURE(cases[i].first);
        CHECK(answer.substr(0, 12) == "HTTP/1.1 " + cases[i].second);
        if (cases[i].second == "200")
            CHECK(answer.find("HTTP/1.1 200", 1) != std::string::npos); // the second of two pipelined requests
        close(descriptors[i]);
    }
    CHECK(fixture.server->openConnections() <= 1);
    CHECK(fixture.server->refusals().headers == 2);
    CHECK(fixture.server->refusals().bodies == 2);
}

// Guards against calls that hold their requests in memory while they wait for a connection.
TEST_CASE("the request of a call is made before a connection is free for it")
{
    http_fixture f;
    std::vector<std::shared_ptr<http_responder>> held;
    std::size_t made = 0;
    std::size_t ended = 0;
    f.serve([&](const http_request& request, const std::shared_ptr<http_responder>& responder) {
        CHECK(request.body.size() <= 5);
        held.push_back(responder);
        if (held.size() < 2)
            return;
        CHECK(made <= ended + 2);
        for (const auto& waiting : std::exchange(held, {}))
            waiting->reply({});
    });
    for (int i = 0; i < 6; ++i) {
        const auto make = [&made, i] {
            ++made;
            http_call call;
            call.method = http_method::post;
            call.path = "/";
            call.body = "body" + std::to_string(i);
            return call;
        };
        f.client.callWhenFree(f.target(), make, [&](const http_result& result) {
            CHECK(result.outcome == request_outcome::answered);
            if (++ended == 6)
                f.finish();
        });
    }
    CHECK(made == 2);
    f.run();
    CHECK(made == 6);
}
