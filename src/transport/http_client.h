// HTTP client by libevent's evhttp on one event loop: a bounded pool of connections for each endpoint.
// A connection whose request timed out is closed and never used again.
#pragma once

#include "protocol/result.h"
#include "protocol/time.h"
#include "transport/event_loop.h"
#include "transport/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jackdaw::transport {

struct endpoint {
    std::string host; // numeric IP address
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

enum class request_outcome {
    answered, // an HTTP response was read whole
    refused, // the connection could not be opened: the request was certainly not received
    silent, // sent or partly sent, but no whole answer: the peer may have acted on it
};

struct http_result {
    request_outcome outcome = request_outcome::silent;
    http_response response; // only for answered
    std::size_t sentBytes = 0; // of the request's headers and body, about
    std::size_t receivedBytes = 0; // of the response's, about
    bool isOnNewConnection = false;
};

struct http_call {
    http_method method = http_method::get;
    std::string path; // with the query
    std::string body;
    std::vector<http_header> headers;
    protocol::duration timeout = std::chrono::seconds(5);
    bool onNewConnection = false; // does not use a pooled connection
};

class http_client {
public:
    using completion = std::function<void(http_result result)>;
    using request_maker = std::function<http_call()>;

    // maxConnections bounds the pool of each endpoint; calls over the bound wait in order.
    http_client(event_loop& loop, std::size_t maxConnections);
    ~http_client();

    // The completion runs on the loop's thread, once, and never before call() has returned.
    void call(const endpoint& target, http_call request, completion done);

    // The same on a pooled connection; the request is made when one is free, so that a call that waits takes no memory for it.
    void callWhenFree(const endpoint& target, request_maker make, completion done);

    // Closes the pooled connections of an endpoint that are not in use.
    void forget(const endpoint& target);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::transport
