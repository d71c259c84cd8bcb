// Stands between a server's connection and libevhtp: passes on one request at a time, within the limits, and holds back the rest.
// Header sections are passed on complete, since libevhtp drops the rest of a path whose parts arrive one after the other.
#pragma once

#include "protocol/time.h"
#include "transport/internal/message_scanner.h"
#include "transport/memory_budget.h"

#include <event2/bufferevent.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;

namespace jackdaw::transport::internal {

struct gate_limits {
    message_limits message;
    protocol::duration headerTimeout {}; // from the first byte of a request to the end of its header section
    protocol::duration idleTimeout {}; // without a request, or without progress of a response
    protocol::duration bodyTimeout {}; // from the end of the header section; a minimum rate extends it for large bodies
};

// Why a server closed a connection of its own accord.
enum class close_reason {
    idle, // no request within the idle time
    unsent_response, // the caller did not read the response within the idle time
    refused, // after the response that refused a request, or the caller did not read it within the idle time
    last_response, // after a response that announced it
    evicted, // to make room within the budget
    draining // no request before the server's planned end
};

// What remains unfinished on a connection that ends.
enum class unfinished_work {
    none,
    partial_request, // read in part
    whole_request, // read in full, not answered
    response, // not sent in full
    refusal // not sent in full
};

// Takes the place of the callbacks of a connection. Must outlive the connection's use.
class request_gate final : public memory_budget::holder {
public:
    struct hooks {
        // The request was refused with this HTTP status. Not handled: it was passed on to libevhtp, which did not hand it over.
        std::function<void(int status, bool isUnhandled)> onRefused;
        std::function<void()> onOverBudget;
        std::function<void(close_reason reason)> close; // closes the connection and destroys the gate; a last response or refusal is sent, unless its time is over
    };

    request_gate(bufferevent* stream, const gate_limits& limits, memory_budget& budget, hooks gateHooks);
    ~request_gate() override;
    request_gate(const request_gate&) = delete;
    request_gate& operator=(const request_gate&) = delete;

    // Collects a part of the body. libevhtp itself takes half a kilobyte for each chunk.
    void addBody(evbuffer* data);
    std::string takeBody() { return std::move(m_body); }

    // The handler has been given the request. False if it has been refused meanwhile.
    bool onRequestRead();

    // Whether a request has begun, and the handler has not been given it.
    bool isReading() const { return m_phase == phase::head || m_phase == phase::body; }

    // libevhtp gives up the connection while a request is read: refuses the request without it. The stream is the caller's from now on, who
    // closes it by the hook.
    void refuseWithoutLibrary(std::function<void(close_reason reason)> close);

    // The handler answers later. The hook runs when the caller has ended its sending side, and at each check of times from then on to the reply.
    void onRequestWaits(std::function<void()> onCallerEnded) { m_onCallerEnded = std::move(onCallerEnded); }

    // The response of the request that was read last has been queued.
    void onReplied(bool closesConnection);

    // Ends the connection if it is between two requests and the caller has sent nothing.
    void closeIfIdle();

    // Ends the connection if its time is over and nothing is under way. Whether the time was over.
    bool checkTime(protocol::time_point now);

    std::size_t heldBytes() const override;
    int evictionRank() const override;
    protocol::time_point idleSince() const override { return m_phaseSince; }
    bool mayBeEvicted() override;
    void evict() override { m_hooks.close(close_reason::evicted); }

    unfinished_work unfinishedWork() const;

    // Since a request began, its head or all of it was read, it was answered, or its response made progress.
    protocol::duration sinceLastChange() const { return protocol::steadyNow() - m_phaseSince; }

    // Requests of which the first byte has been read, and those that the handler has been given.
    std::uint64_t requestsBegun() const { return m_requestsBegun; }
    std::uint64_t requestsHandled() const { return m_requestsHandled; }

    // Whether the caller has sent bytes that the gate has not been given: they are in the socket or in the buffer of the library.
    bool hasUnreadInput() const;

    // Whether the caller has ended its sending side, or a failure has ended the connection.
    bool hasCallerEnded() const { return m_hasCallerEnded; }

    // Whether that was before the present response was sent.
    bool hasCallerLeftEarly() const { return m_hasCallerLeftEarly; }

private:
    enum class phase {
        idle,
        head,
        body,
        handled, // read in full, not answered
        answering, // the response is not sent yet
        refused // the refusal is not sent yet
    };

    void enter(phase next);
    void receive();
    void advance();
    bool passOn(std::size_t bytes);
    bool scanSome();
    void refuse(int status, bool isUnhandled = false);
    void updateAccount();
    void limitReading();
    void onSent();
    bool canSend() const;
    bool mayHaveArrived() const;
    bool isSparedOnce();
    bool mustAnswer() const;
    void tellCallerEnded() const;

    static void onOutputChange(evbuffer* output, const evbuffer_cb_info* change, void* self);
    static void onReadable(bufferevent* stream, void* self);
    static void onWritten(bufferevent* stream, void* self);
    static void onEvent(bufferevent* stream, short events, void* self);

    bufferevent* m_stream;
    const gate_limits& m_currentLimits; // of the server
    gate_limits m_limits; // the times that were in force when the present request, or the wait for it, began
    memory_budget& m_budget;
    hooks m_hooks;
    message_scanner m_scanner;
    evbuffer* m_held; // received, not passed on
    evbuffer_cb_entry* m_outputHook;
    std::size_t m_scanned = 0; // bytes at the front of m_held that are part of an incomplete head
    std::string m_body;
    std::size_t m_headBytes = 0; // of the present request
    std::size_t m_counted = 0; // as accounted for in the budget
    phase m_phase = phase::idle;
    protocol::time_point m_phaseSince; // of a response or refusal: since it last made progress
    std::size_t m_bodyBytesRead = 0;
    std::uint64_t m_requestsBegun = 0;
    std::uint64_t m_requestsHandled = 0;
    int m_timesSpared = 0; // from eviction, since the present request began; at most maxTimesSpared, so that slow callers keep no others out
    bool m_isReadingOff = false;
    bool m_isAdvancing = false;
    bool m_isAboutToMove = false; // the next pass of the loop reads a request or sends the response; not evicted until then
    bool m_isOverdue = false; // the last check found a request whose time is over, or a whole one that libevhtp has not handed over
    bool m_closesConnection = false;
    bool m_hasCallerEnded = false;
    bool m_hasCallerLeftEarly = false;
    std::function<void()> m_onCallerEnded; // empty unless a request waits for its reply
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    bufferevent_data_cb m_readable = nullptr;
    bufferevent_data_cb m_written = nullptr;
    bufferevent_event_cb m_event = nullptr;
    void* m_argument = nullptr;
};

} // namespace jackdaw::transport::internal
