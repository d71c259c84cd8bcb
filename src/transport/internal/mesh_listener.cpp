// Accepts by libevent's listener, and splits what arrives into messages.
#include "transport/internal/mesh_listener.h"

#include "transport/internal/pipeline_protocol.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <map>
#include <span>
#include <utility>

namespace jackdaw::transport::internal {
namespace {

    // A peer that lost power sends no end of its connections; the system then closes them after about 30 s.
    constexpr int keepAliveIdleSeconds = 15;
    constexpr int keepAliveIntervalSeconds = 5;
    constexpr int keepAliveProbes = 3;

    void keepAlive(evutil_socket_t descriptor)
    {
        const int enabled = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
        setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds, sizeof(keepAliveIdleSeconds));
        setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalSeconds, sizeof(keepAliveIntervalSeconds));
        setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof(keepAliveProbes));
    }

} // namespace

class mesh_listener::impl {
public:
    struct connection {
        impl* owner = nullptr;
        connection_id id = 0;
        bufferevent* stream = nullptr;
        bool isOpen = false; // the peer's header has arrived
        bool hasDelivered = false; // a whole message
        std::size_t held = 0; // bytes of an unfinished message, as counted in receivedBytes
    };

    impl(event_loop& eventLoop, const listener_limits& bounds, bytes_hook hook)
        : loop(eventLoop)
        , limits(bounds)
        , onBytes(std::move(hook))
    {
    }

    ~impl()
    {
        if (listener)
            evconnlistener_free(listener);
        for (const auto& [id, link] : connections)
            bufferevent_free(link.stream);
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void accept(evutil_socket_t descriptor)
    {
        if (connections.size() >= limits.maxConnections && !closeOldestStranger()) {
            ++closedForLimit;
            evutil_closesocket(descriptor);
            return;
        }
        keepAlive(descriptor);
        bufferevent* stream = bufferevent_socket_new(loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
        if (!stream) {
            evutil_closesocket(descriptor);
            return;
        }
        connection& link = connections[++lastConnection];
        link = { this, lastConnection, stream };
        bufferevent_setcb(stream, &impl::onReadable, nullptr, &impl::onEvent, &link);
        bufferevent_write(stream, pullHeader.data(), pullHeader.size());
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }

    void close(connection_id id)
    {
        const auto found = connections.find(id);
        if (found == connections.end())
            return;
        receivedBytes -= found->second.held;
        bufferevent_free(found->second.stream);
        connections.erase(found);
    }

    static std::size_t unreadBytes(const connection& link)
    {
        int bytes = 0;
        const bool isKnown = ioctl(bufferevent_getfd(link.stream), FIONREAD, &bytes) == 0;
        return isKnown ? static_cast<std::size_t>(bytes) : 0;
    }

    bool closeOldestStranger()
    {
        const auto found = std::find_if(connections.begin(), connections.end(), [](const auto& item) { return !item.second.hasDelivered; });
        if (found == connections.end())
            return false;
        ++closedForLimit;
        close(found->first);
        return true;
    }

    // Connections that have delivered a message come last.
    void closeLargest()
    {
        const auto rank = [](const auto& item) { return std::pair(!item.second.hasDelivered && item.second.held > 0, item.second.held); };
        const auto found = std::max_element(connections.begin(), connections.end(), [rank](const auto& left, const auto& right) { return rank(left) < rank(right); });
        ++closedForLimit;
        close(found->first);
    }

    void count(connection& link)
    {
        const std::size_t held = evbuffer_get_length(bufferevent_get_input(link.stream));
        receivedBytes = receivedBytes - link.held + held;
        link.held = held;
        while (receivedBytes > limits.maxReceivedBytes)
            closeLargest();
    }

    // Returns false if the connection does not speak the links' protocol.
    static bool readHeader(connection& link, evbuffer* input)
    {
        pipeline_header header {};
        if (evbuffer_get_length(input) < header.size())
            return true;
        evbuffer_remove(input, header.data(), header.size());
        link.isOpen = header == pushHeader;
        return link.isOpen;
    }

    void read(connection& link)
    {
        const connection_id id = link.id;
        if (!deliver(link, bufferevent_get_input(link.stream)))
            close(id);
        else if (connections.contains(id))
            count(link);
    }

    void finish(connection_id id)
    {
        const auto found = connections.find(id);
        if (found == connections.end())
            return;
        connection& link = found->second;
        const std::unique_ptr<evbuffer, decltype(&evbuffer_free)> input(evbuffer_new(), &evbuffer_free);
        evbuffer_add_buffer(input.get(), bufferevent_get_input(link.stream));
        // Only what is there now: a peer that goes on sending must not keep the loop.
        for (std::size_t unread = unreadBytes(link); unread > 0;) {
            const int count = evbuffer_read(input.get(), bufferevent_getfd(link.stream), static_cast<int>(unread));
            if (count <= 0)
                break;
            unread -= std::min(unread, static_cast<std::size_t>(count));
        }
        deliver(link, input.get());
        close(id);
    }

    // Hands whole messages to the hook, which may close the connection. Returns false if the peer breaks the protocol.
    bool deliver(connection& link, evbuffer* input)
    {
        const connection_id id = link.id;
        if (!link.isOpen && !readHeader(link, input))
            return false;
        while (link.isOpen && evbuffer_get_length(input) >= messageLengthBytes) {
            message_length prefix {};
            evbuffer_copyout(input, prefix.data(), prefix.size());
            const std::uint64_t length = decodeMessageLength(prefix);
            if (length > limits.maxMessageBytes)
                return false;
            if (evbuffer_get_length(input) < messageLengthBytes + length)
                break;
            evbuffer_drain(input, messageLengthBytes);
            std::string message(length, '\0');
            evbuffer_remove(input, message.data(), message.size());
            onBytes(id, message);
            if (!connections.contains(id))
                return true;
            link.hasDelivered = true;
        }
        return true;
    }

    static void onReadable(bufferevent*, void* argument)
    {
        auto& link = *static_cast<connection*>(argument);
        link.owner->read(link);
    }

    static void onEvent(bufferevent*, short, void* argument)
    {
        const auto& link = *static_cast<connection*>(argument);
        link.owner->close(link.id);
    }

    static void onAccept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* self)
    {
        static_cast<impl*>(self)->accept(descriptor);
    }

    event_loop& loop;
    const listener_limits limits;
    bytes_hook onBytes;
    evconnlistener* listener = nullptr;
    std::map<connection_id, connection> connections;
    connection_id lastConnection = 0;
    std::size_t receivedBytes = 0;
    std::uint64_t closedForLimit = 0;
};

mesh_listener::mesh_listener(event_loop& loop, const listener_limits& limits, bytes_hook onBytes)
    : m_impl(std::make_unique<impl>(loop, limits, std::move(onBytes)))
{
}

mesh_listener::~mesh_listener() = default;

protocol::result<void> mesh_listener::listen(const std::string& address)
{
    constexpr int systemBacklog = -1;
    sockaddr_storage name {};
    int length = sizeof(name);
    if (evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&name), &length) != 0)
        return protocol::makeError(protocol::error_kind::internal, "can't listen on " + address + ": not an IP address and port");
    m_impl->listener = evconnlistener_new_bind(m_impl->loop.base(), &impl::onAccept, m_impl.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, systemBacklog, reinterpret_cast<const sockaddr*>(&name), length);
    if (!m_impl->listener)
        return protocol::makeError(protocol::error_kind::internal, "can't listen on " + address + ": " + std::strerror(errno));
    return boost::outcome_v2::success();
}

void mesh_listener::finish(connection_id connection)
{
    m_impl->finish(connection);
}

bool mesh_listener::isConnected(connection_id connection) const
{
    return m_impl->connections.contains(connection);
}

bool mesh_listener::hasUnread(connection_id connection) const
{
    const auto found = m_impl->connections.find(connection);
    return found != m_impl->connections.end() && impl::unreadBytes(found->second) > 0;
}

std::uint64_t mesh_listener::closedConnections() const
{
    return m_impl->closedForLimit;
}

std::size_t mesh_listener::connections() const
{
    return m_impl->connections.size();
}

} // namespace jackdaw::transport::internal
