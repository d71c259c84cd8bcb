// Relay by libevent's bufferevents.
#include "transport/tests/tcp_relay.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <vector>

namespace jackdaw::transport::tests {
namespace {

    sockaddr_in loopbackAddress(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    // One relayed connection.
    struct relayed {
        std::array<bufferevent*, 2> sides {};
        bool isSilent = false;
        bool isClosed = false;
    };

} // namespace

class tcp_relay::impl {
public:
    impl(event_loop& loop, std::uint16_t port)
        : base(loop.base())
        , targetPort(port)
    {
        const sockaddr_in address = loopbackAddress(0);
        listener = evconnlistener_new_bind(base, &impl::onAccepted, this, LEV_OPT_CLOSE_ON_FREE, -1,
            reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    }

    ~impl()
    {
        for (const auto& link : links) {
            for (bufferevent* side : link->sides)
                bufferevent_free(side);
        }
        evconnlistener_free(listener);
        if (rateLimit)
            ev_token_bucket_cfg_free(rateLimit);
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    static void onAccepted(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* self)
    {
        static_cast<impl*>(self)->accept(descriptor);
    }

    void accept(evutil_socket_t descriptor)
    {
        auto link = std::make_unique<relayed>();
        link->sides = { bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE),
            bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE) };
        for (bufferevent* side : link->sides) {
            bufferevent_setcb(side, &impl::onRead, nullptr, &impl::onEvent, link.get());
            bufferevent_enable(side, EV_READ | EV_WRITE);
        }
        if (rateLimit)
            bufferevent_set_rate_limit(link->sides[0], rateLimit);
        const sockaddr_in target = loopbackAddress(targetPort);
        bufferevent_socket_connect(link->sides[1], reinterpret_cast<const sockaddr*>(&target), sizeof(target));
        links.push_back(std::move(link));
    }

    static bufferevent* otherSide(const relayed& link, const bufferevent* side)
    {
        return link.sides[0] == side ? link.sides[1] : link.sides[0];
    }

    static void onRead(bufferevent* side, void* argument)
    {
        const auto& link = *static_cast<relayed*>(argument);
        evbuffer* input = bufferevent_get_input(side);
        if (link.isSilent)
            evbuffer_drain(input, evbuffer_get_length(input));
        else
            bufferevent_write_buffer(otherSide(link, side), input);
    }

    static void onEvent(bufferevent* side, short events, void* argument)
    {
        auto& link = *static_cast<relayed*>(argument);
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 || link.isSilent)
            return;
        link.isSilent = true;
        link.isClosed = true;
        shutdown(bufferevent_getfd(otherSide(link, side)), SHUT_RDWR);
    }

    event_base* base;
    std::uint16_t targetPort;
    evconnlistener* listener;
    ev_token_bucket_cfg* rateLimit = nullptr;
    std::vector<std::unique_ptr<relayed>> links;
};

tcp_relay::tcp_relay(event_loop& loop, std::uint16_t targetPort)
    : m_impl(std::make_unique<impl>(loop, targetPort))
{
}

tcp_relay::~tcp_relay() = default;

std::uint16_t tcp_relay::port() const
{
    sockaddr_in bound {};
    socklen_t length = sizeof(bound);
    getsockname(evconnlistener_get_fd(m_impl->listener), reinterpret_cast<sockaddr*>(&bound), &length);
    return ntohs(bound.sin_port);
}

std::size_t tcp_relay::connections() const
{
    std::size_t open = 0;
    for (const auto& link : m_impl->links)
        open += link->isClosed ? 0 : 1;
    return open;
}

std::size_t tcp_relay::connectionsTaken() const
{
    return m_impl->links.size();
}

void tcp_relay::limitRate(std::size_t bytesPerSecond)
{
    constexpr std::size_t ticksPerSecond = 20;
    constexpr int receiveBytes = 16 * 1024;
    constexpr timeval tick { 0, 1'000'000 / ticksPerSecond };
    const std::size_t bytesPerTick = bytesPerSecond / ticksPerSecond;
    m_impl->rateLimit = ev_token_bucket_cfg_new(bytesPerTick, bytesPerTick, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick);
    setsockopt(evconnlistener_get_fd(m_impl->listener), SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
}

void tcp_relay::silencePresent()
{
    for (const auto& link : m_impl->links)
        link->isSilent = true;
}

void tcp_relay::setCut(bool isCut)
{
    if (!isCut) {
        evconnlistener_enable(m_impl->listener);
        return;
    }
    evconnlistener_disable(m_impl->listener);
    silencePresent();
}

} // namespace jackdaw::transport::tests
