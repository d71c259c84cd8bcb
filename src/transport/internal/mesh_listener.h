// The receiving side of a process's links: an nng pull socket.
#pragma once

#include "protocol/result.h"
#include "transport/event_loop.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace jackdaw::transport::internal {

class mesh_listener {
public:
    using bytes_hook = std::function<void(std::string bytes)>;

    // The hook runs on the loop's thread, in the order of arrival.
    mesh_listener(event_loop& loop, std::size_t maxMessageBytes, bytes_hook onBytes);
    ~mesh_listener();

    // The address is "ip:port".
    protocol::result<void> listen(const std::string& address);

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace jackdaw::transport::internal
