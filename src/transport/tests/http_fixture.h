// A server under test, and clients of it on the same loop.
#pragma once

#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <chrono>
#include <memory>
#include <utility>

namespace jackdaw::transport::tests {

inline constexpr const char* loopback = "127.0.0.1";

// A server and a client on one loop. run() ends by finish() or, as a failure, after a generous limit.
struct http_fixture {
    event_loop loop;
    http_client client { loop, 2 };
    std::unique_ptr<http_server> server;
    std::unique_ptr<event_loop::timer> limit;
    bool hasFinished = false;

    void serve(http_server::handler handler, http_server_limits limits = {})
    {
        server = std::make_unique<http_server>(loop, limits, std::move(handler));
        REQUIRE(server->listen(loopback, 0));
    }

    endpoint target() const { return { loopback, server->port() }; }

    void finish()
    {
        hasFinished = true;
        loop.stop();
    }

    void run()
    {
        limit = loop.after(std::chrono::seconds(20), [this] { loop.stop(); });
        loop.run();
        CHECK(hasFinished);
    }

    int connectRaw() const
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(server->port());
        inet_pton(AF_INET, loopback, &address.sin_addr);
        REQUIRE(connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        return descriptor;
    }
};

} // namespace jackdaw::transport::tests
