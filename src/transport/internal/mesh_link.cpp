// Dials by libevent's bufferevents. Invariant: a connection carries messages only after the peer's header has arrived.
#include "transport/internal/mesh_link.h"

#include "transport/internal/pipeline_protocol.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace jackdaw::transport::internal {
namespace {

    constexpr protocol::duration minRedialDelay = std::chrono::milliseconds(50);
    constexpr protocol::duration maxRedialDelay = std::chrono::milliseconds(100); // a host that has just started is reached within it

} // namespace

class mesh_link::impl {
public:
    impl(event_loop& eventLoop, const std::string& text, hooks linkHooks)
        : loop(eventLoop)
        , hook(std::move(linkHooks))
    {
        int length = sizeof(address);
        if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&address), &length) == 0)
            addressLength = length;
        dial();
    }

    ~impl() { hangUp(); }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void dial()
    {
        if (addressLength == 0)
            return; // no such address: nothing is ever sent
        stream = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        if (!stream)
            throw std::runtime_error("libevent could not create a connection");
        bufferevent_setcb(stream, &impl::onReadable, &impl::onWritten, &impl::onEvent, this);
        bufferevent_write(stream, pushHeader.data(), pushHeader.size());
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        if (bufferevent_socket_connect(stream, reinterpret_cast<const sockaddr*>(&address), addressLength) != 0)
            onClosed();
    }

    void hangUp()
    {
        if (stream)
            bufferevent_free(stream);
        stream = nullptr;
        isOpen = false;
    }

    void onClosed()
    {
        const bool isLost = isOpen && isSending; // the peer may have read it in part
        hangUp();
        redialTimer = loop.after(redialDelay, [this] { dial(); });
        redialDelay = std::min(redialDelay * 2, maxRedialDelay);
        if (isLost)
            finishSending();
    }

    void finishSending()
    {
        isSending = false;
        hook.onSent();
    }

    void writeUnsent()
    {
        const std::string bytes = std::exchange(unsent, {});
        const message_length length = encodeMessageLength(bytes.size());
        evbuffer* output = bufferevent_get_output(stream);
        evbuffer_add(output, length.data(), length.size());
        evbuffer_add(output, bytes.data(), bytes.size());
    }

    void readHeader()
    {
        evbuffer* input = bufferevent_get_input(stream);
        pipeline_header header {};
        if (isOpen || evbuffer_get_length(input) < header.size())
            return;
        evbuffer_remove(input, header.data(), header.size());
        if (header != pullHeader)
            return onClosed();
        isOpen = true;
        redialDelay = minRedialDelay;
        if (isSending)
            writeUnsent();
    }

    static void onReadable(bufferevent*, void* self)
    {
        static_cast<impl*>(self)->readHeader();
    }

    static void onWritten(bufferevent*, void* self)
    {
        auto& link = *static_cast<impl*>(self);
        if (link.isOpen && link.isSending)
            link.finishSending();
    }

    static void onEvent(bufferevent* stream, short events, void* self)
    {
        if ((events & BEV_EVENT_CONNECTED) != 0) {
            const int enabled = 1;
            setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
            return;
        }
        const bool isRefused = (events & BEV_EVENT_ERROR) != 0 && EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
        auto& link = *static_cast<impl*>(self);
        link.onClosed();
        if (isRefused)
            link.hook.onRefused();
    }

    event_loop& loop;
    const hooks hook;
    sockaddr_storage address {};
    int addressLength = 0;
    bufferevent* stream = nullptr; // null while waiting to dial
    bool isOpen = false;
    bool isSending = false;
    std::string unsent; // not empty while isSending and the link has not opened since
    protocol::duration redialDelay = minRedialDelay;
    std::unique_ptr<event_loop::timer> redialTimer;
};

mesh_link::mesh_link(event_loop& loop, const std::string& address, hooks linkHooks)
    : m_impl(std::make_unique<impl>(loop, address, std::move(linkHooks)))
{
}

mesh_link::~mesh_link() = default;

bool mesh_link::isSending() const
{
    return m_impl->isSending;
}

bool mesh_link::isOpen() const
{
    return m_impl->isOpen;
}

std::string mesh_link::takeUnsent()
{
    return std::exchange(m_impl->unsent, {});
}

void mesh_link::send(std::string bytes)
{
    m_impl->unsent = std::move(bytes);
    m_impl->isSending = true;
    if (m_impl->isOpen)
        m_impl->writeUnsent();
}

} // namespace jackdaw::transport::internal
