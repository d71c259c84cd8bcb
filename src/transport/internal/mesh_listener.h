// The receiving side of a process's links. One descriptor a connection, and no thread.
#pragma once

#include "protocol/result.h"
#include "transport/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace jackdaw::transport::internal {

struct listener_limits {
    std::size_t maxMessageBytes = 0;
    std::size_t maxReceivedBytes = 0; // of all unfinished messages together; beyond it, connections that hold most are closed
    std::size_t maxConnections = 0; // beyond it, the oldest one that has not delivered a message is closed
};

class mesh_listener {
public:
    using connection_id = std::uint64_t; // never used twice

    // The view holds during the hook only.
    using bytes_hook = std::function<void(connection_id connection, std::string_view bytes)>;

    // The hook runs on the loop's thread, for each connection in the order of arrival. A connection with a longer message, or
    // one that does not speak the links' protocol, is closed.
    mesh_listener(event_loop& loop, const listener_limits& limits, bytes_hook onBytes);
    ~mesh_listener();

    // The address is "ip:port".
    protocol::result<void> listen(const std::string& address);

    // Reads what has arrived on a connection whose peer has opened a new one, and closes it. May be called from the hook of a later
    // connection, and runs the hook for each message that was still unread.
    void finish(connection_id connection);

    bool isConnected(connection_id connection) const;

    // Whether bytes have arrived on the connection that were not read yet.
    bool hasUnread(connection_id connection) const;
    std::size_t connections() const;
    std::uint64_t closedConnections() const; // because of a limit

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::transport::internal
