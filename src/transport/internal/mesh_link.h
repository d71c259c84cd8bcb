// The sending side of one link: dials one address, again and again until the peer answers, and sends one buffer at a time.
// It has one descriptor and no thread; destroying it closes the connection at once.
#pragma once

#include "transport/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace jackdaw::transport::internal {

class mesh_link {
public:
    struct hooks {
        std::function<void()> onSent; // the buffer in hand was handed to the system, or was lost with its connection
        std::function<void()> onRefused; // nobody listens at the address
    };

    // The hooks run on the loop's thread.
    mesh_link(event_loop& loop, const std::string& address, hooks linkHooks);
    ~mesh_link();

    bool isSending() const;

    // The peer has answered on the present connection.
    bool isOpen() const;

    // Only while isSending() is false. A buffer that is sent before the link is open waits for it.
    void send(std::string bytes);

    // Takes back what waits for the link to open; empty once it was written.
    std::string takeUnsent();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::transport::internal
