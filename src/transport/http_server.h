// HTTP server by libevhtp on one event loop. Requests are answered later, from the loop's thread, by a responder.
#pragma once

#include "protocol/result.h"
#include "protocol/time.h"
#include "transport/event_loop.h"
#include "transport/http_message.h"
#include "transport/memory_budget.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::transport {

// Answers one request, once. It may outlive the caller's connection: a reply to a caller who went away is dropped. A caller that has only ended
// its sending side still gets the reply; if the responder is released without one, that is 504.
class http_responder {
public:
    virtual ~http_responder() = default;
    virtual void reply(http_response response) = 0;

    // The hook runs when the caller closes the connection, or its sending side, before the reply.
    virtual void onCallerGone(std::function<void()> hook) = 0;

    // Whether the caller has closed the connection, or its sending side, also if that has not been read yet.
    virtual bool isCallerGone() const = 0;
};

struct http_server_limits {
    std::size_t maxBodyBytes = 16 * 1024 * 1024; // 413
    std::size_t maxHeaderBytes = 32 * 1024; // request line and header section; 431 or 414
    std::size_t maxConnections = 4096; // of a server with a budget of its own
    protocol::duration headerTimeout = std::chrono::seconds(10); // from a request's first byte to the end of its header section; 408
    protocol::duration idleTimeout = std::chrono::seconds(30); // without a request, or with a response that the caller does not read
    protocol::duration bodyTimeout = std::chrono::seconds(30); // for a body, and a second for each 64 KiB of it; 408
    std::size_t maxMemoryBytes = 256 * 1024 * 1024; // of all connections of a server with a budget of its own
};

// What a server has refused or closed because of a limit.
struct http_server_refusals {
    std::uint64_t headers = 0; // 414 and 431
    std::uint64_t bodies = 0; // 413
    std::uint64_t timeouts = 0; // 408
    std::uint64_t malformed = 0; // 400 and 501
    std::uint64_t unhandled = 0; // 400: libevhtp was given the request and did not hand it over
};

// Connections that a server has closed of its own accord, by reason, and those that it has not accepted.
struct http_server_closures {
    std::uint64_t idle = 0;
    std::uint64_t unsentResponses = 0; // the caller did not read its response in time
    std::uint64_t refused = 0; // after the response that refused a request
    std::uint64_t lastResponses = 0; // after a response that announced it
    std::uint64_t evicted = 0;
    std::uint64_t draining = 0;
    std::uint64_t library = 0; // by libevhtp, without a reason of the server's and with no request to refuse
    std::uint64_t notAccepted = 0;
    std::uint64_t withUnreadInput = 0; // of those that the server chose to close: the caller had sent bytes that were not read; not after a last response or refusal was sent
    std::uint64_t withPartialRequest = 0; // not ended by the caller: a request had been read in part
    std::uint64_t withWholeRequest = 0; // not ended by the caller: a request had been read in full and not answered
    std::uint64_t withUnsentResponse = 0; // not ended by the caller: a response or refusal had not been sent in full
};

// Requests on the way from their first byte to the handler. Those that were refused, or whose callers left early, are not handled.
struct http_server_requests {
    std::uint64_t connectionsAccepted = 0;
    std::uint64_t begun = 0; // the first byte was read
    std::uint64_t handled = 0; // the handler was given the request
    std::uint64_t leftByCaller = 0; // connections that the caller ended, or its sending side, before a response was sent
};

class http_server {
public:
    using handler = std::function<void(http_request request, std::shared_ptr<http_responder> responder)>;

    // All requests of all paths go to the handler, on the loop's thread. Servers may share a budget, which must outlive them; without one,
    // the server has its own.
    http_server(event_loop& loop, http_server_limits limits, handler onRequest, memory_budget* shared = nullptr);
    ~http_server();

    // Port 0 takes any free port; port() tells which.
    protocol::result<void> listen(const std::string& address, std::uint16_t port);
    std::uint16_t port() const;

    // Stops accepting; open requests are still answered. Connections that wait in the listener's queue are accepted first, so the
    // listener may stay open for some passes of the loop, at most half a second.
    void stopAccepting();

    // Whether the listener is open.
    bool isAccepting() const;

    // A caller that has connected sends its first request within this time: packets wait up to half a second at a link in good order.
    static constexpr protocol::duration firstRequestTime = std::chrono::milliseconds(500);

    // Closes the connections that have been without a request for so long, and whose callers have sent nothing.
    void closeIdleConnections(protocol::duration minIdleTime = protocol::duration::zero());

    // For a planned end, to be called again and again: stops accepting, makes each response the last one of its connection, and closes
    // connections after firstRequestTime without a request. True once the listener and all connections are closed.
    bool endConnections();

    std::size_t openRequests() const;
    std::size_t openConnections() const; // without those whose last response or refusal has been sent

    // Replaces the limits, without those of a budget. A request that has begun keeps the earlier ones, and a wait for a request the longer.
    void setLimits(const http_server_limits& limits);
    http_server_refusals refusals() const;
    http_server_closures closures() const;
    http_server_requests requests() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::transport
