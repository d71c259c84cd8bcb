// nng pull socket; its thread posts what arrives to the loop.
#include "transport/internal/mesh_listener.h"

#include "transport/internal/nng_socket_closer.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>

#include <stdexcept>

namespace jackdaw::transport::internal {

class mesh_listener::impl : public std::enable_shared_from_this<impl> {
public:
    impl(event_loop& eventLoop, std::size_t maxMessageBytes, bytes_hook hook)
        : loop(eventLoop)
        , onBytes(std::move(hook))
    {
        if (nng_pull0_open(&socket) != 0 || nng_aio_alloc(&operation, &impl::onFinished, this) != 0)
            throw std::runtime_error("nng could not open a pull socket");
        nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, maxMessageBytes);
    }

    ~impl()
    {
        nng_listener_close(listener);
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
            return;
        nng_msg* message = nng_aio_get_msg(self->operation);
        std::string bytes(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
        nng_msg_free(message);
        self->loop.post([weak = self->weak_from_this(), bytes = std::move(bytes)]() mutable {
            if (const std::shared_ptr<impl> held = weak.lock())
                held->onBytes(std::move(bytes));
        });
        nng_recv_aio(self->socket, self->operation);
    }

    event_loop& loop;
    bytes_hook onBytes;
    nng_socket socket {};
    nng_listener listener {};
    nng_aio* operation = nullptr;
};

mesh_listener::mesh_listener(event_loop& loop, std::size_t maxMessageBytes, bytes_hook onBytes)
    : m_impl(std::make_shared<impl>(loop, maxMessageBytes, std::move(onBytes)))
{
}

mesh_listener::~mesh_listener() = default;

protocol::result<void> mesh_listener::listen(const std::string& address)
{
    const int code = nng_listen(m_impl->socket, ("tcp://" + address).c_str(), &m_impl->listener, 0);
    if (code != 0)
        return protocol::makeError(protocol::error_kind::internal, "can't listen on " + address + ": " + nng_strerror(code));
    nng_recv_aio(m_impl->socket, m_impl->operation);
    return boost::outcome_v2::success();
}

} // namespace jackdaw::transport::internal
