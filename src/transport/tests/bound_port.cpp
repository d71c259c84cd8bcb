// Lets the system choose the port.
#include "transport/tests/bound_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace jackdaw::transport::tests {

bound_port::bound_port()
    : m_descriptor(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* const bound = reinterpret_cast<sockaddr*>(&address);
    if (bind(m_descriptor, bound, length) != 0 || getsockname(m_descriptor, bound, &length) != 0) {
        const int failure = errno;
        close(m_descriptor);
        throw std::system_error(failure, std::generic_category(), "no free port");
    }
    m_number = ntohs(address.sin_port);
}

bound_port::~bound_port()
{
    close(m_descriptor);
}

} // namespace jackdaw::transport::tests
