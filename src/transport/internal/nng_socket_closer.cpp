// Runs nng_close on a detached thread.
#include "transport/internal/nng_socket_closer.h"

#include <thread>

namespace jackdaw::transport::internal {

void closeInBackground(nng_socket socket)
{
    std::thread([socket] { nng_close(socket); }).detach();
}

} // namespace jackdaw::transport::internal
