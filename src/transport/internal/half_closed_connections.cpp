// Discards input as it arrives, a bounded amount in each pass of the loop.
#include "transport/internal/half_closed_connections.h"

#include <event2/event.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace jackdaw::transport::internal {
namespace {

    constexpr protocol::duration lingerTime = std::chrono::seconds(1); // to read a response and to end a connection, also between regions
    constexpr std::size_t readBytes = 16 * 1024; // an ordinary request takes one read
    constexpr int maxReads = 4; // in one pass of the loop

} // namespace

half_closed_connections::half_closed_connections(event_base* base, std::size_t maxCount)
    : m_base(base)
    , m_maxCount(maxCount)
{
}

half_closed_connections::~half_closed_connections()
{
    checkTimes(protocol::time_point::max());
}

bool half_closed_connections::discardInput(int descriptor)
{
    std::array<char, readBytes> discarded;
    for (int i = 0; i < maxReads; ++i) {
        const ssize_t length = recv(descriptor, discarded.data(), discarded.size(), MSG_DONTWAIT);
        if (length <= 0)
            return length < 0 && (errno == EAGAIN || errno == EINTR);
        if (static_cast<std::size_t>(length) < readBytes)
            return true;
    }
    return true;
}

void half_closed_connections::add(int descriptor)
{
    shutdown(descriptor, SHUT_WR);
    if (!hasRoom()) {
        discardInput(descriptor);
        close(descriptor);
        return;
    }
    connection& added = m_connections[descriptor];
    added = { this, protocol::steadyNow(), event_new(m_base, descriptor, EV_READ | EV_PERSIST, &half_closed_connections::onReadable, &added) };
    event_add(added.readable, nullptr);
}

void half_closed_connections::checkTimes(protocol::time_point now)
{
    for (auto next = m_connections.begin(); next != m_connections.end();) {
        const auto& [descriptor, present] = *next;
        if (now - present.since < lingerTime) {
            ++next;
            continue;
        }
        event_free(present.readable);
        discardInput(descriptor);
        close(descriptor);
        next = m_connections.erase(next);
    }
}

void half_closed_connections::onReadable(int descriptor, short, void* argument)
{
    if (discardInput(descriptor))
        return;
    const connection& ended = *static_cast<connection*>(argument);
    event_free(ended.readable);
    close(descriptor);
    ended.owner->m_connections.erase(descriptor);
}

} // namespace jackdaw::transport::internal
