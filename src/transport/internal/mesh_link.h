// The sending side of one link: an nng push socket that dials one address and sends one buffer at a time.
#pragma once

#include "transport/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace jackdaw::transport::internal {

class mesh_link {
public:
    // The hook runs on the loop's thread when the buffer in hand was sent, or could not be.
    mesh_link(event_loop& loop, const std::string& address, std::function<void()> onSent);
    ~mesh_link();

    bool isSending() const;

    // Only while isSending() is false.
    void send(std::string_view bytes);

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace jackdaw::transport::internal
