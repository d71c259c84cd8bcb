// Callbacks between libevent and libevhtp.
#include "transport/internal/request_line_gate.h"

#include <event2/buffer.h>

namespace jackdaw::transport::internal {

request_line_gate::request_line_gate(bufferevent* stream, std::size_t maxLineBytes)
    : m_maxLineBytes(maxLineBytes)
{
    bufferevent_getcb(stream, &m_readable, &m_written, &m_event, &m_argument);
    bufferevent_setcb(stream, &request_line_gate::onReadable, &request_line_gate::onWritten, &request_line_gate::onEvent, this);
}

void request_line_gate::onReadable(bufferevent* stream, void* self)
{
    const auto& gate = *static_cast<request_line_gate*>(self);
    evbuffer* input = bufferevent_get_input(stream);
    const bool isWaiting = gate.m_isLineDue && evbuffer_get_length(input) <= gate.m_maxLineBytes && evbuffer_search(input, "\n", 1, nullptr).pos < 0;
    if (!isWaiting && gate.m_readable)
        gate.m_readable(stream, gate.m_argument);
}

void request_line_gate::onWritten(bufferevent* stream, void* self)
{
    const auto& gate = *static_cast<request_line_gate*>(self);
    if (gate.m_written)
        gate.m_written(stream, gate.m_argument);
}

void request_line_gate::onEvent(bufferevent* stream, short events, void* self)
{
    const auto& gate = *static_cast<request_line_gate*>(self);
    if (gate.m_event)
        gate.m_event(stream, events, gate.m_argument);
}

} // namespace jackdaw::transport::internal
