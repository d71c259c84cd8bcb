// nng push socket with one asynchronous send at a time. nng's threads only post to the loop.
#include "transport/internal/mesh_link.h"

#include "transport/internal/nng_socket_closer.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include <stdexcept>

namespace jackdaw::transport::internal {
namespace {

    constexpr nng_duration minReconnectMs = 50;
    constexpr nng_duration maxReconnectMs = 100; // a host that has just started is reached within it

} // namespace

class mesh_link::impl : public std::enable_shared_from_this<impl> {
public:
    impl(event_loop& eventLoop, std::function<void()> sentHook)
        : loop(eventLoop)
        , onSent(std::move(sentHook))
    {
        if (nng_push0_open(&socket) != 0 || nng_aio_alloc(&operation, &impl::onFinished, this) != 0)
            throw std::runtime_error("nng could not open a push socket");
        nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, minReconnectMs);
        nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, maxReconnectMs);
    }

    ~impl()
    {
        nng_aio_stop(operation);
        nng_aio_free(operation);
        closeInBackground(socket);
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    // Runs on a thread of nng.
    static void onFinished(void* argument)
    {
        auto* self = static_cast<impl*>(argument);
        if (nng_aio_result(self->operation) != 0)
            nng_msg_free(nng_aio_get_msg(self->operation));
        self->loop.post([weak = self->weak_from_this()] {
            const std::shared_ptr<impl> link = weak.lock();
            if (!link)
                return;
            link->isSending = false;
            link->onSent();
        });
    }

    event_loop& loop;
    std::function<void()> onSent;
    nng_socket socket {};
    nng_aio* operation = nullptr;
    bool isSending = false;
};

mesh_link::mesh_link(event_loop& loop, const std::string& address, std::function<void()> onSent)
    : m_impl(std::make_shared<impl>(loop, std::move(onSent)))
{
    // An address that can't be dialled now is dialled again in the background.
    nng_dial(m_impl->socket, ("tcp://" + address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
}

mesh_link::~mesh_link() = default;

bool mesh_link::isSending() const
{
    return m_impl->isSending;
}

void mesh_link::send(std::string_view bytes)
{
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0)
        throw std::bad_alloc();
    nng_msg_append(message, bytes.data(), bytes.size());
    m_impl->isSending = true;
    nng_aio_set_msg(m_impl->operation, message);
    nng_send_aio(m_impl->socket, m_impl->operation);
}

} // namespace jackdaw::transport::internal
