// Closes nng sockets without blocking the caller.
#pragma once

#include <nng/nng.h>

namespace jackdaw::transport::internal {

// nng_close waits for every connection of the socket, and at times for ever when a peer connects meanwhile (seen with
// nng 1.5.2). It therefore runs on a thread of its own, which nobody waits for.
void closeInBackground(nng_socket socket);

} // namespace jackdaw::transport::internal
