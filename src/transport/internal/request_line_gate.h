// Holds back what arrives on a server's connection until a request line is complete, since libevhtp drops the rest of a path
// whose parts arrive one after the other.
#pragma once

#include <event2/bufferevent.h>

#include <cstddef>

namespace jackdaw::transport::internal {

// Takes the place of the callbacks of a connection, and passes everything on to them. Must outlive the connection's use.
class request_line_gate {
public:
    request_line_gate(bufferevent* stream, std::size_t maxLineBytes);
    request_line_gate(const request_line_gate&) = delete;
    request_line_gate& operator=(const request_line_gate&) = delete;

    void onHeadRead() { m_isLineDue = false; }
    void onRequestEnded() { m_isLineDue = true; }

private:
    static void onReadable(bufferevent* stream, void* self);
    static void onWritten(bufferevent* stream, void* self);
    static void onEvent(bufferevent* stream, short events, void* self);

    const std::size_t m_maxLineBytes; // a longer line is passed on in parts
    bool m_isLineDue = true; // the next bytes begin a request
    bufferevent_data_cb m_readable = nullptr;
    bufferevent_data_cb m_written = nullptr;
    bufferevent_event_cb m_event = nullptr;
    void* m_argument = nullptr;
};

} // namespace jackdaw::transport::internal
