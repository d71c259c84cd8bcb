// Callbacks between libevent and libevhtp. Any call of libevhtp may close the connection and destroy the gate.
#include "transport/internal/request_gate.h"

#include <event2/buffer.h>
#include <event2/event.h>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace jackdaw::transport::internal {
namespace {

    constexpr std::size_t connectionBytes = 16 * 1024; // of a connection without a request: buffers of libevhtp (8 KiB) and libevent
    constexpr std::size_t openRequestBytes = 20 * 1024; // of libevhtp's lists for 100 headers, the most that are passed on
    constexpr std::size_t maxAheadBytes = 16 * 1024; // held back while a request is open: as much as libevent reads at once
    constexpr int maxTimesSpared = memory_budget::ordinaryRequestBytes / maxAheadBytes; // reads that an ordinary request takes
    constexpr std::size_t maxWriteBytes = 16 * 1024; // as much as libevent writes at once
    constexpr std::size_t maxCopiedBytes = 4096; // the size of libevent's read buffers
    constexpr std::size_t minBodyBytesPerSecond = 64 * 1024; // the slowest link of a host carries 2 MB/s
    constexpr int notHandled = 400; // for a request that libevhtp does not take

    std::string refusalText(int status)
    {
        std::string_view reason = "Bad Request";
        if (status == 408)
            reason = "Request Timeout";
        else if (status == 413)
            reason = "Content Too Large";
        else if (status == 414)
            reason = "URI Too Long";
        else if (status == 431)
            reason = "Request Header Fields Too Large";
        else if (status == 501)
            reason = "Not Implemented";
        return "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(reason) + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    }

} // namespace

request_gate::request_gate(bufferevent* stream, const gate_limits& limits, memory_budget& budget, hooks gateHooks)
    : m_stream(stream)
    , m_currentLimits(limits)
    , m_limits(limits)
    , m_budget(budget)
    , m_hooks(std::move(gateHooks))
    , m_held(evbuffer_new())
    , m_outputHook(evbuffer_add_cb(bufferevent_get_output(stream), &request_gate::onOutputChange, this))
    , m_phaseSince(protocol::steadyNow())
{
    m_budget.add(*this);
    updateAccount();
    bufferevent_getcb(stream, &m_readable, &m_written, &m_event, &m_argument);
    bufferevent_setcb(stream, &request_gate::onReadable, &request_gate::onWritten, &request_gate::onEvent, this);
}

request_gate::~request_gate()
{
    *m_isAlive = false;
    m_budget.change(m_counted, 0);
    m_budget.remove(*this);
    evbuffer_free(m_held);
    evbuffer_remove_cb_entry(bufferevent_get_output(m_stream), m_outputHook);
}

void request_gate::enter(phase next)
{
    if (next == phase::idle || next == phase::head)
        m_limits = m_currentLimits;
    if (next == phase::idle)
        m_timesSpared = 0;
    m_phase = next;
    m_phaseSince = protocol::steadyNow();
    m_isOverdue = false;
}

void request_gate::addBody(evbuffer* data)
{
    const std::size_t before = m_body.size();
    const std::size_t length = evbuffer_get_length(data);
    m_body.resize(before + length);
    evbuffer_remove(data, m_body.data() + before, length);
    m_bodyBytesRead += length;
}

bool request_gate::onRequestRead()
{
    if (m_phase == phase::refused)
        return false;
    ++m_requestsHandled;
    enter(phase::handled);
    return true;
}

void request_gate::refuseWithoutLibrary(std::function<void(close_reason reason)> close)
{
    m_hooks.close = std::move(close);
    m_readable = nullptr;
    m_written = nullptr;
    m_event = nullptr;
    m_headBytes = 0;
    refuse(notHandled, true);
    updateAccount();
}

void request_gate::onReplied(bool closesConnection)
{
    m_closesConnection = closesConnection;
    m_onCallerEnded = nullptr;
    enter(phase::answering);
    updateAccount();
}

void request_gate::receive()
{
    m_isAboutToMove = false;
    evbuffer* input = bufferevent_get_input(m_stream);
    if (m_phase == phase::refused) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    // libevent reads a single byte into a buffer of kilobytes, so little is copied.
    const std::size_t length = evbuffer_get_length(input);
    if (length < maxCopiedBytes) {
        evbuffer_add(m_held, evbuffer_pullup(input, -1), length);
        evbuffer_drain(input, length);
    } else {
        evbuffer_add_buffer(m_held, input);
    }
    advance();
}

// Passes on what belongs to the present request. Ends early if the connection has been closed meanwhile.
void request_gate::advance()
{
    if (m_isAdvancing)
        return;
    const std::shared_ptr<bool> isAlive = m_isAlive;
    m_isAdvancing = true;
    while (m_phase < phase::handled && evbuffer_get_length(m_held) > m_scanned && m_scanner.at() < message_scanner::part::end) {
        if (!scanSome())
            break;
    }
    if (!*isAlive)
        return;
    m_isAdvancing = false;
    if (m_scanner.at() == message_scanner::part::refused && m_phase != phase::refused)
        refuse(m_scanner.refusalStatus());
    updateAccount();
    limitReading();
}

// Scans the next bytes that lie together. False if the connection has been closed.
bool request_gate::scanSome()
{
    evbuffer_ptr from {};
    evbuffer_ptr_set(m_held, &from, m_scanned, EVBUFFER_PTR_SET);
    evbuffer_iovec span {};
    if (evbuffer_peek(m_held, -1, &from, &span, 1) < 1)
        return true;
    const bool isHead = m_scanner.at() == message_scanner::part::head;
    const std::size_t length = m_scanner.scan({ static_cast<const char*>(span.iov_base), span.iov_len }, m_currentLimits.message);
    if (m_phase == phase::idle && m_scanner.hasBegun()) {
        ++m_requestsBegun;
        enter(phase::head);
    }
    if (m_scanner.at() == message_scanner::part::refused)
        return true;
    if (m_scanner.isDropped()) {
        evbuffer_drain(m_held, length);
        return true;
    }
    m_scanned += length;
    if (m_scanner.at() == message_scanner::part::head)
        return true;
    if (isHead) {
        const std::string head = m_scanner.takeHead();
        evbuffer_drain(m_held, m_scanned);
        evbuffer_prepend(m_held, head.data(), head.size());
        m_scanned = head.size();
        m_headBytes = m_scanned;
        m_bodyBytesRead = 0;
        enter(phase::body);
    }
    if (!passOn(std::exchange(m_scanned, 0)))
        return false;
    if (m_phase == phase::body && m_scanner.at() == message_scanner::part::end)
        m_phaseSince = protocol::steadyNow();
    return true;
}

bool request_gate::passOn(std::size_t bytes)
{
    evbuffer* released = evbuffer_new();
    evbuffer_remove_buffer(m_held, released, bytes);
    evbuffer_prepend_buffer(bufferevent_get_input(m_stream), released);
    evbuffer_free(released);
    const std::shared_ptr<bool> isAlive = m_isAlive;
    if (m_readable)
        m_readable(m_stream, m_argument);
    return *isAlive;
}

void request_gate::refuse(int status, bool isUnhandled)
{
    enter(phase::refused);
    evbuffer_drain(m_held, evbuffer_get_length(m_held));
    m_scanned = 0;
    m_body = {};
    const std::string text = refusalText(status);
    bufferevent_write(m_stream, text.data(), text.size());
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
    m_hooks.onRefused(status, isUnhandled);
}

std::size_t request_gate::heldBytes() const
{
    const std::size_t buffered = evbuffer_get_length(m_held) + evbuffer_get_length(bufferevent_get_output(m_stream));
    return connectionBytes + buffered + m_body.capacity() + (m_headBytes > 0 ? openRequestBytes + 2 * m_headBytes : 0);
}

unfinished_work request_gate::unfinishedWork() const
{
    const bool hasOutput = evbuffer_get_length(bufferevent_get_output(m_stream)) > 0;
    switch (m_phase) {
    case phase::idle:
        return evbuffer_get_length(bufferevent_get_input(m_stream)) > 0 ? unfinished_work::partial_request : unfinished_work::none;
    case phase::head:
    case phase::body:
        return m_scanner.at() == message_scanner::part::end ? unfinished_work::whole_request : unfinished_work::partial_request;
    case phase::handled:
        return unfinished_work::whole_request;
    case phase::answering:
        return hasOutput ? unfinished_work::response : unfinished_work::none;
    case phase::refused:
        return hasOutput ? unfinished_work::refusal : unfinished_work::none;
    }
    return unfinished_work::none;
}

bool request_gate::hasUnreadInput() const
{
    // libevent defers the callback: it reads a request in one event of the loop and hands it on in a later one.
    if (evbuffer_get_length(bufferevent_get_input(m_stream)) > 0)
        return true;
    char next = 0;
    return recv(bufferevent_getfd(m_stream), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool request_gate::canSend() const
{
    pollfd descriptor { bufferevent_getfd(m_stream), POLLOUT, 0 };
    return poll(&descriptor, 1, 0) > 0 && (descriptor.revents & POLLOUT) != 0;
}

// Whether the rest of an ordinary request waits unread, as far as can be told without reading it.
bool request_gate::mayHaveArrived() const
{
    if (m_timesSpared >= maxTimesSpared || (m_phase != phase::head && m_phase != phase::body))
        return false;
    const std::size_t passedOn = m_phase == phase::body ? m_headBytes + m_bodyBytesRead : 0;
    return connectionBytes + passedOn + evbuffer_get_length(m_held) <= memory_budget::ordinaryRequestBytes && hasUnreadInput();
}

bool request_gate::mayBeEvicted()
{
    const bool sendsAhead = evbuffer_get_length(m_held) > 0; // may go on for ever
    const bool isShort = evbuffer_get_length(bufferevent_get_output(m_stream)) <= maxWriteBytes;
    const bool sends = m_phase == phase::answering || m_phase == phase::refused;
    const bool isArriving = mayHaveArrived();
    if (isArriving)
        ++m_timesSpared;
    m_isAboutToMove = isArriving || (m_phase == phase::idle && hasUnreadInput()) || (sends && isShort && !sendsAhead && canSend());
    return !m_isAboutToMove;
}

int request_gate::evictionRank() const
{
    if (m_isAboutToMove)
        return 0;
    switch (m_phase) {
    case phase::handled:
        return m_hasCallerEnded ? 3 : 0;
    case phase::answering:
        return 1;
    default:
        return 2;
    }
}

void request_gate::updateAccount()
{
    const std::size_t held = heldBytes();
    m_budget.change(std::exchange(m_counted, held), held);
    if (m_budget.isExceeded())
        m_hooks.onOverBudget();
}

// The end of a caller's connection is noticed while its request is open only as long as the caller sends no more than an ordinary one.
void request_gate::limitReading()
{
    const bool mustStop = m_phase >= phase::handled && m_phase != phase::refused && evbuffer_get_length(m_held) > maxAheadBytes;
    if (mustStop)
        bufferevent_disable(m_stream, EV_READ);
    else if (m_isReadingOff)
        bufferevent_enable(m_stream, EV_READ);
    m_isReadingOff = mustStop;
}

void request_gate::onSent()
{
    if (m_phase == phase::refused)
        return m_hooks.close(close_reason::refused);
    if (m_phase != phase::answering)
        return;
    if (m_closesConnection)
        return m_hooks.close(close_reason::last_response);
    m_scanner.reset();
    m_headBytes = 0;
    enter(phase::idle);
    bufferevent_enable(m_stream, EV_READ);
    advance();
}

void request_gate::closeIfIdle()
{
    if (m_phase == phase::idle && !hasUnreadInput())
        m_hooks.close(close_reason::draining);
}

// The rest of a request may wait while the loop is busy: it has until the next check to be read. A caller that always sends some more
// gains no more than that.
bool request_gate::isSparedOnce()
{
    return hasUnreadInput() && !std::exchange(m_isOverdue, true);
}

bool request_gate::checkTime(protocol::time_point now)
{
    const protocol::duration since = now - m_phaseSince;
    switch (m_phase) {
    case phase::idle:
        if (since < std::max(m_limits.idleTimeout, m_currentLimits.idleTimeout))
            return false;
        if (!hasUnreadInput())
            m_hooks.close(close_reason::idle);
        return true;
    case phase::answering:
    case phase::refused:
        if (since < m_limits.idleTimeout)
            return false;
        if (!canSend())
            m_hooks.close(m_phase == phase::refused ? close_reason::refused : close_reason::unsent_response);
        return true;
    case phase::head:
        if (since < m_limits.headerTimeout)
            return false;
        if (!isSparedOnce())
            refuse(408);
        return true;
    case phase::body:
        // libevhtp hands a whole request over in the pass that gives it the last byte. Two checks are never in one pass.
        if (m_scanner.at() == message_scanner::part::end) {
            if (std::exchange(m_isOverdue, true))
                refuse(notHandled, true);
            return true;
        }
        if (since < m_limits.bodyTimeout + std::chrono::seconds(m_bodyBytesRead / minBodyBytesPerSecond))
            return false;
        if (!isSparedOnce())
            refuse(408);
        return true;
    case phase::handled:
        if (m_hasCallerEnded)
            tellCallerEnded();
        return false;
    }
    return false;
}

void request_gate::onOutputChange(evbuffer*, const evbuffer_cb_info* change, void* self)
{
    if (change->n_deleted == 0)
        return;
    auto& gate = *static_cast<request_gate*>(self);
    gate.m_isAboutToMove = false;
    if (gate.m_phase == phase::answering || gate.m_phase == phase::refused)
        gate.m_phaseSince = protocol::steadyNow();
}

void request_gate::onReadable(bufferevent*, void* self)
{
    static_cast<request_gate*>(self)->receive();
}

void request_gate::onWritten(bufferevent* stream, void* self)
{
    auto& gate = *static_cast<request_gate*>(self);
    const std::shared_ptr<bool> isAlive = gate.m_isAlive;
    // The library would close the connection at once after a last response, or a refusal without a request of the library's.
    const bool isLast = gate.m_phase == phase::refused || (gate.m_phase == phase::answering && gate.m_closesConnection);
    if (gate.m_written && !isLast)
        gate.m_written(stream, gate.m_argument);
    if (*isAlive && evbuffer_get_length(bufferevent_get_output(stream)) == 0)
        gate.onSent();
}

bool request_gate::mustAnswer() const
{
    return m_phase == phase::handled || (m_phase > phase::handled && evbuffer_get_length(bufferevent_get_output(m_stream)) > 0);
}

// The hook may reply, which removes it.
void request_gate::tellCallerEnded() const
{
    if (const std::function<void()> hook = m_onCallerEnded)
        hook();
}

// libevhtp closes a connection at the end of its input. That is held back until what was received before it is answered: libevent has
// turned reading off, and reports the end again when the response is sent and reading is back on.
void request_gate::onEvent(bufferevent* stream, short events, void* self)
{
    auto& gate = *static_cast<request_gate*>(self);
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        gate.m_hasCallerEnded = true;
        gate.m_hasCallerLeftEarly = gate.m_hasCallerLeftEarly || gate.unfinishedWork() != unfinished_work::none;
    }
    if (events == (BEV_EVENT_READING | BEV_EVENT_EOF) && gate.mustAnswer())
        return gate.tellCallerEnded();
    if (gate.m_event)
        gate.m_event(stream, events, gate.m_argument);
    else if (gate.m_hasCallerEnded)
        gate.m_hooks.close(close_reason::refused);
}

} // namespace jackdaw::transport::internal
