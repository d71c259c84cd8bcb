// HTTP server by libevhtp on one event loop. Requests are answered later, from the loop's thread, by a responder.
#pragma once

#include "protocol/result.h"
#include "protocol/time.h"
#include "transport/event_loop.h"
#include "transport/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::transport {

// Answers one request, once. It may outlive the caller's connection: a reply to a caller who went away is dropped.
class http_responder {
public:
    virtual ~http_responder() = default;
    virtual void reply(http_response response) = 0;

    // The hook runs when the caller closes the connection before the reply.
    virtual void onCallerGone(std::function<void()> hook) = 0;

    // Whether the caller has closed the connection, also if that has not been read yet.
    virtual bool isCallerGone() const = 0;
};

struct http_server_limits {
    std::size_t maxBodyBytes = 16 * 1024 * 1024;
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxConnections = 4096;
    protocol::duration readTimeout = std::chrono::seconds(30); // for a request's arrival, against slow callers
};

class http_server {
public:
    using handler = std::function<void(http_request request, std::shared_ptr<http_responder> responder)>;

    // All requests of all paths go to the handler, on the loop's thread.
    http_server(event_loop& loop, http_server_limits limits, handler onRequest);
    ~http_server();

    // Port 0 takes any free port; port() tells which.
    protocol::result<void> listen(const std::string& address, std::uint16_t port);
    std::uint16_t port() const;

    // Stops accepting; open requests are still answered.
    void stopAccepting();

    std::size_t openRequests() const;
    std::size_t openConnections() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::transport
