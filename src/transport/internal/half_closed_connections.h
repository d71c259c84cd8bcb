// Connections whose last response has been handed to the system. What their callers still send is discarded: a close with unread input
// resets the connection, and what the caller has not received yet of the response is lost. Belongs to one event loop's thread.
#pragma once

#include "protocol/time.h"

#include <cstddef>
#include <map>

struct event;
struct event_base;

namespace jackdaw::transport::internal {

class half_closed_connections {
public:
    // The bound is in connections.
    half_closed_connections(event_base* base, std::size_t maxCount);
    ~half_closed_connections();
    half_closed_connections(const half_closed_connections&) = delete;
    half_closed_connections& operator=(const half_closed_connections&) = delete;

    // Takes the descriptor over and ends its sending side. It is closed once the caller has ended its own or after lingerTime, and at
    // once if there are as many as the bound.
    void add(int descriptor);

    bool hasRoom() const { return m_connections.size() < m_maxCount; }

    // Discards a bounded amount of what has arrived. False once the caller has ended the connection.
    static bool discardInput(int descriptor);

    // Closes those whose time is over.
    void checkTimes(protocol::time_point now);

private:
    struct connection {
        half_closed_connections* owner = nullptr;
        protocol::time_point since;
        event* readable = nullptr;
    };

    static void onReadable(int descriptor, short events, void* argument);

    event_base* m_base;
    const std::size_t m_maxCount;
    std::map<int, connection> m_connections; // by descriptor
};

} // namespace jackdaw::transport::internal
