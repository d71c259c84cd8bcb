// A TCP port on 127.0.0.1 that nobody listens on.
#pragma once

#include <cstdint>

namespace jackdaw::transport::tests {

// Keeps the port from other programs while it lives; connections to it are refused. A server of the test's own can take it
// afterwards.
class bound_port {
public:
    bound_port(); // throws std::system_error when no port can be bound
    ~bound_port();
    bound_port(const bound_port&) = delete;
    bound_port& operator=(const bound_port&) = delete;

    std::uint16_t number() const { return m_number; }

private:
    int m_descriptor;
    std::uint16_t m_number = 0;
};

} // namespace jackdaw::transport::tests
