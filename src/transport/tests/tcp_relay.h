// A relay between two processes under test. It can cut them off, or lose the state of its present connections, which
// then stay open and silent while new ones work.
#pragma once

#include "transport/event_loop.h"

#include <cstdint>
#include <memory>
#include <string>

namespace jackdaw::transport::tests {

class tcp_relay {
public:
    // Relays connections to its own port on 127.0.0.1 to the target port there.
    tcp_relay(event_loop& loop, std::uint16_t targetPort);
    ~tcp_relay();

    std::uint16_t port() const;
    std::size_t connections() const;
    std::size_t connectionsTaken() const; // since the start, with those that have ended

    // From now on the present connections carry nothing, in both directions, and are not closed.
    void silencePresent();

    // New connections carry at most so many bytes a second towards the target, and the kernel buffers few of them.
    void limitRate(std::size_t bytesPerSecond);

    // While cut, present connections carry nothing and new ones are not taken.
    void setCut(bool isCut);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::transport::tests
