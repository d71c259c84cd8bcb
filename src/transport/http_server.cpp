// HTTP server by libevhtp. A request that is not answered at once is paused and resumed with its reply.
#include "transport/http_server.h"

#include "state/log.h"
#include "transport/internal/half_closed_connections.h"
#include "transport/internal/request_gate.h"

#include <evhtp/evhtp.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <map>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace jackdaw::transport {
namespace {

    using protocol::error_kind;
    using protocol::makeError;
    using protocol::result;

    constexpr int listenBacklog = 1024;
    constexpr protocol::duration logInterval = std::chrono::seconds(5); // between two log lines on what limits have refused
    constexpr std::size_t maxUncheckedBytes = 16 * 1024; // of a response: about what a connection counts for at least
    constexpr protocol::duration queueCheckInterval = std::chrono::milliseconds(5); // of a listener that is to close; a fraction of a slow pass of the loop
    constexpr protocol::duration maxQueueTime = std::chrono::milliseconds(500); // two long passes of the loop, in which all that waits is accepted
    constexpr protocol::duration sweepInterval = std::chrono::milliseconds(250); // a time-out is late by at most this and the sweep's passes
    constexpr std::size_t maxHalfClosed = 256; // a twelfth of the usual max_descriptors, of which connections take half
    constexpr std::size_t maxRefused = 64; // kept for a second; a storm of connections takes neither descriptors nor time from others
    constexpr std::size_t maxDuePerPass = 64; // connections; some milliseconds at a tenth of a processor, as requests wait meanwhile

    bool hasWaitingConnections(int listener)
    {
        pollfd descriptor { listener, POLLIN, 0 };
        return poll(&descriptor, 1, 0) > 0;
    }

    // The library takes hooks of all types as one function type.
    template <typename Function>
    evhtp_hook toHook(Function* function)
    {
        return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
    }

    http_method toMethod(htp_method method)
    {
        switch (method) {
        case htp_method_GET:
            return http_method::get;
        case htp_method_PUT:
            return http_method::put;
        case htp_method_POST:
            return http_method::post;
        case htp_method_DELETE:
            return http_method::del;
        default:
            return http_method::other;
        }
    }

    int collectHeader(evhtp_header_t* header, void* headers)
    {
        static_cast<std::vector<http_header>*>(headers)->push_back({ { header->key, header->klen }, { header->val, header->vlen } });
        return 0;
    }

    http_request readRequest(evhtp_request_t* request, internal::request_gate* gate)
    {
        http_request out;
        out.method = toMethod(evhtp_request_get_method(request));
        if (request->uri && request->uri->path && request->uri->path->full)
            out.path = request->uri->path->full;
        if (request->uri && request->uri->query_raw)
            out.query = reinterpret_cast<const char*>(request->uri->query_raw);
        if (gate)
            out.body = gate->takeBody();
        evhtp_headers_for_each(request->headers_in, &collectHeader, &out.headers);
        return out;
    }

    http_response makeBusyResponse()
    {
        http_response response;
        response.status = 503;
        response.headers = { { "Retry-After", "1" } };
        return response;
    }

    // Promises nothing: what the handler began for the request may go on.
    http_response makeUnansweredResponse()
    {
        http_response response;
        response.status = 504;
        return response;
    }

    void addHeader(evhtp_request_t* request, const std::string& name, const std::string& value)
    {
        evhtp_headers_add_header(request->headers_out, evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
    }

    void sendResponse(evhtp_request_t* request, const http_response& response)
    {
        addHeader(request, "Content-Type", response.contentType);
        for (const http_header& header : response.headers)
            addHeader(request, header.name, header.value);
        if (response.closesConnection)
            addHeader(request, "Connection", "close");
        if (evhtp_request_get_method(request) == htp_method_HEAD)
            addHeader(request, "Content-Length", std::to_string(response.body.size()));
        else
            evbuffer_add(request->buffer_out, response.body.data(), response.body.size());
        evhtp_send_reply(request, static_cast<evhtp_res>(response.status));
    }

    // Tells the caller that its request is not read. What it sends is discarded for a while, since a close with unread input resets the
    // connection and may take the response with it. The library closes its own descriptor.
    void refuseConnection(int descriptor, internal::half_closed_connections& halfClosed)
    {
        constexpr std::string_view refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\nConnection: close\r\n\r\n";
        [[maybe_unused]] const ssize_t sent = send(descriptor, refusal.data(), refusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        const int kept = halfClosed.hasRoom() ? fcntl(descriptor, F_DUPFD_CLOEXEC, 0) : -1;
        if (kept >= 0)
            halfClosed.add(kept);
        else
            internal::half_closed_connections::discardInput(descriptor);
    }

    // Holds the library's request until it is answered or its connection is lost.
    // The library's hooks keep a reference as long as the library's request lives.
    class responder final : public http_responder {
    public:
        responder(evhtp_request_t* request, internal::request_gate* gate, event_loop& loop, const memory_budget& budget, std::size_t& openRequests, const bool& isEnding)
            : m_request(request)
            , m_gate(gate)
            , m_loop(loop)
            , m_budget(budget)
            , m_openRequests(openRequests)
            , m_isEnding(isEnding)
        {
            ++m_openRequests;
        }
        ~responder() override = default;
        responder(const responder&) = delete;
        responder& operator=(const responder&) = delete;

        void reply(http_response response) override
        {
            if (!m_request || m_hasReplied || m_isConnectionLost)
                return;
            m_hasReplied = true;
            m_goneHook = nullptr;
            if (isTooLarge(response))
                response = makeBusyResponse();
            response.closesConnection = response.closesConnection || m_isEnding;
            if (!m_isPaused) {
                sendResponse(m_request, response);
                noteReply(response);
                return;
            }
            evhtp_request_t* request = m_request;
            evhtp_connection_unset_hook(evhtp_request_get_connection(request), evhtp_hook_on_event);
            sendResponse(request, response);
            noteReply(response);
            evhtp_request_resume(request);
        }

        void onCallerGone(std::function<void()> hook) override { m_goneHook = std::move(hook); }

        // Looks past the bytes that libevent has read: the end of the stream may wait behind them.
        bool isCallerGone() const override
        {
            if (!m_request)
                return true;
            char next = 0;
            const ssize_t length = recv(bufferevent_getfd(evhtp_request_get_bev(m_request)), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
            return length == 0 || (length < 0 && (errno == ECONNRESET || errno == EPIPE || errno == ETIMEDOUT));
        }

        event_loop& loop() { return m_loop; }

        bool hasReplied() const { return m_hasReplied; }

        // Reading stays on while the request is paused, so that a closed connection is noticed.
        void pause()
        {
            m_isPaused = true;
            evhtp_request_pause(m_request);
            bufferevent_enable(evhtp_request_get_bev(m_request), EV_READ);
        }

        void onConnectionEvent(short events)
        {
            if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 || !m_request || !m_isPaused)
                return;
            m_isConnectionLost = true;
            callGoneHook();
        }

        // The connection stays until the reply. Without a holder but these, there will be none.
        static void onCallerEnded(const std::weak_ptr<responder>& answering)
        {
            const std::shared_ptr<responder> held = answering.lock();
            if (!held)
                return;
            held->callGoneHook();
            held->m_loop.post([answering] {
                constexpr long ownHolders = 2; // the library's request and the next line
                const std::shared_ptr<responder> waiting = answering.lock();
                if (waiting && waiting.use_count() <= ownHolders)
                    waiting->reply(makeUnansweredResponse());
            });
        }

        // Lets the library free a paused request whose connection was lost and that nobody answered.
        void abandon()
        {
            if (!m_request || m_hasReplied)
                return;
            m_hasReplied = true;
            evhtp_request_resume(m_request);
        }

        void onRequestFreed()
        {
            if (m_isPaused && !m_hasReplied)
                evhtp_connection_unset_hook(evhtp_request_get_connection(m_request), evhtp_hook_on_event);
            m_request = nullptr;
            --m_openRequests;
            callGoneHook();
        }

    private:
        // A read can be repeated. The response to anything else says what was done, and is short.
        bool isTooLarge(const http_response& response) const
        {
            return response.body.size() > maxUncheckedBytes && evhtp_request_get_method(m_request) == htp_method_GET && !m_budget.hasRoomFor(response.body.size());
        }

        // While the library's request lives, its connection and gate do.
        void noteReply(const http_response& response)
        {
            if (m_gate)
                m_gate->onReplied(response.closesConnection || (m_request->flags & EVHTP_REQ_FLAG_KEEPALIVE) == 0);
        }

        void callGoneHook()
        {
            if (m_hasReplied || !m_goneHook)
                return;
            const std::function<void()> hook = std::move(m_goneHook);
            m_goneHook = nullptr;
            hook();
        }

        evhtp_request_t* m_request; // null once the library freed it
        internal::request_gate* m_gate;
        event_loop& m_loop;
        const memory_budget& m_budget;
        std::size_t& m_openRequests;
        const bool& m_isEnding; // of the server
        bool m_isPaused = false;
        bool m_hasReplied = false;
        bool m_isConnectionLost = false; // by an error; the library frees the request once it is resumed
        std::function<void()> m_goneHook;
    };

    using responder_reference = std::shared_ptr<responder>;

    evhtp_res onRequestFinished(evhtp_request_t*, void* argument)
    {
        const std::unique_ptr<responder_reference> reference(static_cast<responder_reference*>(argument));
        (*reference)->onRequestFreed();
        return EVHTP_RES_OK;
    }

    void onConnectionEvent(evhtp_connection_t*, short events, void* argument)
    {
        // A copy: the hook below may free the request and with it the reference.
        const responder_reference held = *static_cast<responder_reference*>(argument);
        held->onConnectionEvent(events);
        held->loop().post([held] { held->abandon(); });
    }

} // namespace

class http_server::impl {
public:
    impl(event_loop& eventLoop, http_server_limits serverLimits, handler requestHandler, memory_budget* shared)
        : loop(eventLoop)
        , ownBudget(shared ? nullptr : std::make_unique<memory_budget>(serverLimits.maxMemoryBytes, serverLimits.maxConnections))
        , budget(shared ? *shared : *ownBudget)
        , onRequest(std::move(requestHandler))
        , server(evhtp_new(eventLoop.base(), nullptr))
        , halfClosed(eventLoop.base(), maxHalfClosed)
        , refusedConnections(eventLoop.base(), maxRefused)
        , sweep(loop.every(sweepInterval, [this] { checkTimes(); }))
    {
        setLimits(serverLimits);
        evhtp_set_gencb(server, &impl::onLibraryRequest, this);
        evhtp_set_pre_accept_cb(server, &impl::onAccept, this);
        evhtp_set_post_accept_cb(server, &impl::onAccepted, this);
    }

    ~impl()
    {
        closeListener();
        isBeingDestroyed = true;
        while (!connections.empty())
            evhtp_connection_free(connections.begin()->first); // removes it from the map
        while (!refused.empty())
            endRefused(refused.begin()->first);
        evhtp_free(server);
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void stopAccepting()
    {
        if (!isListening || queueCheck)
            return;
        const int listener = evconnlistener_get_fd(server->server);
        if (!hasWaitingConnections(listener))
            return closeListener();
        queueCheck = loop.every(queueCheckInterval, [this, listener, end = protocol::steadyNow() + maxQueueTime] {
            const bool isEmpty = !hasWaitingConnections(listener);
            if (!isEmpty && protocol::steadyNow() < end)
                return;
            if (!isEmpty)
                refuseWaitingConnections(listener);
            closeListener();
        });
    }

    void refuseWaitingConnections(int listener)
    {
        for (int waiting = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); waiting >= 0; waiting = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) {
            ++closures.notAccepted;
            refuseConnection(waiting, refusedConnections);
            ::close(waiting);
        }
    }

    void closeListener()
    {
        queueCheck.reset();
        if (isListening)
            evhtp_unbind_socket(server);
        isListening = false;
    }

    void setLimits(const http_server_limits& limits)
    {
        gateLimits = { { limits.maxHeaderBytes, limits.maxBodyBytes }, limits.headerTimeout, limits.idleTimeout, limits.bodyTimeout };
    }

    static evhtp_res onAccept(evhtp_connection_t* connection, void* self)
    {
        impl& server = *static_cast<impl*>(self);
        if (server.budget.admit())
            return EVHTP_RES_OK;
        ++server.closures.notAccepted;
        refuseConnection(connection->sock, server.refusedConnections);
        return EVHTP_RES_ERROR;
    }

    static evhtp_res onAccepted(evhtp_connection_t* connection, void* self)
    {
        impl& server = *static_cast<impl*>(self);
        internal::request_gate::hooks hooks;
        hooks.onRefused = [&server](int status, bool isUnhandled) { server.countRefusal(status, isUnhandled); };
        hooks.onOverBudget = [&server] { server.postEnforcement(); };
        hooks.close = [&server, connection](internal::close_reason reason) { server.close(connection, reason); };
        ++server.requestsOfEndedConnections.connectionsAccepted;
        server.connections[connection] = std::make_unique<internal::request_gate>(evhtp_connection_get_bev(connection), server.gateLimits, server.budget, std::move(hooks));
        evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini, toHook(&impl::onConnectionClosed), self);
        evhtp_connection_set_hook(connection, evhtp_hook_on_read, toHook(&impl::onBody), self);
        return EVHTP_RES_OK;
    }

    void countRefusal(int status, bool isUnhandled)
    {
        if (isUnhandled)
            ++refusals.unhandled;
        else if (status == 413)
            ++refusals.bodies;
        else if (status == 414 || status == 431)
            ++refusals.headers;
        else if (status == 408)
            ++refusals.timeouts;
        else
            ++refusals.malformed;
    }

    // Left to libevent, the descriptor would be closed later in the loop's pass, and what arrives until then cut off.
    void releaseDescriptor(bufferevent* stream, bool isLastResponseSent)
    {
        const int descriptor = bufferevent_getfd(stream);
        bufferevent_setfd(stream, -1);
        if (isLastResponseSent)
            halfClosed.add(descriptor);
        else
            ::close(descriptor);
    }

    // Destroys the connection's gate and its hooks.
    void close(evhtp_connection_t* connection, internal::close_reason reason)
    {
        const internal::request_gate& gate = *connections.at(connection);
        const bool isLast = reason == internal::close_reason::last_response || reason == internal::close_reason::refused;
        const bool isSent = isLast && gate.unfinishedWork() == internal::unfinished_work::none;
        countClosure(reason);
        if (!isSent && gate.hasUnreadInput())
            ++closures.withUnreadInput;
        releaseDescriptor(evhtp_connection_get_bev(connection), isSent);
        isClosing = true;
        evhtp_connection_free(connection);
        isClosing = false;
    }

    // Keeps the stream and the gate of a connection that libevhtp frees, until the refusal is sent.
    void refuseWithoutLibrary(evhtp_connection_t* connection, std::unique_ptr<internal::request_gate> gate)
    {
        bufferevent* stream = evhtp_connection_get_bev(connection);
        evhtp_connection_set_bev(connection, nullptr);
        internal::request_gate& kept = *gate;
        refused[stream] = std::move(gate);
        kept.refuseWithoutLibrary([this, stream](internal::close_reason reason) {
            countClosure(reason);
            endRefused(stream);
        });
    }

    void endRefused(bufferevent* stream)
    {
        const auto found = refused.find(stream);
        countEnd(*found->second);
        releaseDescriptor(stream, found->second->unfinishedWork() == internal::unfinished_work::none);
        refused.erase(found);
        bufferevent_free(stream);
    }

    void countClosure(internal::close_reason reason)
    {
        switch (reason) {
        case internal::close_reason::idle:
            ++closures.idle;
            break;
        case internal::close_reason::unsent_response:
            ++closures.unsentResponses;
            break;
        case internal::close_reason::refused:
            ++closures.refused;
            break;
        case internal::close_reason::last_response:
            ++closures.lastResponses;
            break;
        case internal::close_reason::evicted:
            ++closures.evicted;
            break;
        case internal::close_reason::draining:
            ++closures.draining;
            break;
        }
    }

    void countEnd(const internal::request_gate& gate)
    {
        requestsOfEndedConnections.begun += gate.requestsBegun();
        requestsOfEndedConnections.handled += gate.requestsHandled();
        if (gate.hasCallerLeftEarly())
            ++requestsOfEndedConnections.leftByCaller;
        const internal::unfinished_work work = gate.unfinishedWork();
        if (work == internal::unfinished_work::none || gate.hasCallerEnded())
            return;
        std::string_view state;
        if (work == internal::unfinished_work::partial_request) {
            ++closures.withPartialRequest;
            state = "request read in part";
        } else if (work == internal::unfinished_work::whole_request) {
            ++closures.withWholeRequest;
            state = "request read in full";
        } else {
            ++closures.withUnsentResponse;
            state = "response not sent";
        }
        state::logEvent(state::log_level::warning, "request_cut_off",
            { { "port", std::to_string(port) }, { "state", std::string(state) }, { "closed_by", isClosing ? "server" : "library or end of the server" },
                { "since_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(gate.sinceLastChange()).count()) } });
    }

    // Connections are closed outside of their callbacks.
    void postEnforcement()
    {
        if (std::exchange(isEnforcementPosted, true))
            return;
        loop.post([this, alive = std::weak_ptr<bool>(aliveToken)] {
            if (alive.expired())
                return;
            isEnforcementPosted = false;
            budget.enforce();
        });
    }

    http_server_requests requests() const
    {
        http_server_requests sums = requestsOfEndedConnections;
        const auto add = [&sums](const internal::request_gate& gate) {
            sums.begun += gate.requestsBegun();
            sums.handled += gate.requestsHandled();
            sums.leftByCaller += gate.hasCallerLeftEarly() ? 1 : 0;
        };
        for (const auto& [connection, gate] : connections)
            add(*gate);
        for (const auto& [stream, gate] : refused)
            add(*gate);
        return sums;
    }

    // The visitor may close connections.
    void forEachGate(const std::function<void(internal::request_gate& gate)>& visitor)
    {
        std::vector<evhtp_connection_t*> present;
        present.reserve(connections.size());
        for (const auto& [connection, gate] : connections)
            present.push_back(connection);
        for (evhtp_connection_t* connection : present) {
            if (const auto found = connections.find(connection); found != connections.end())
                visitor(*found->second);
        }
        for (auto next = refused.begin(); next != refused.end();)
            visitor(*(next++)->second); // ends no other one
    }

    void checkTimes()
    {
        const protocol::time_point now = protocol::steadyNow();
        logRefusals(now);
        logClosures(now);
        halfClosed.checkTimes(now);
        refusedConnections.checkTimes(now);
        if (!std::exchange(isSweeping, true))
            continueSweep();
    }

    // A pass of the loop takes a bounded part of the sweep, so that requests do not wait for the end of many connections.
    void continueSweep()
    {
        const protocol::time_point now = protocol::steadyNow();
        std::size_t due = 0;
        for (auto next = connections.upper_bound(lastSwept); next != connections.end(); next = connections.upper_bound(lastSwept)) {
            if (due >= maxDuePerPass) {
                loop.post([this, alive = std::weak_ptr<bool>(aliveToken)] {
                    if (!alive.expired())
                        continueSweep();
                });
                return;
            }
            lastSwept = next->first;
            if (next->second->checkTime(now))
                ++due;
        }
        for (auto next = refused.begin(); next != refused.end();)
            (next++)->second->checkTime(now); // ends no other one
        lastSwept = nullptr;
        isSweeping = false;
    }

    // Connections that a planned stop closes need no line of their own.
    void logClosures(protocol::time_point now)
    {
        const http_server_requests sums = requests();
        const std::uint64_t sum = sums.begun + closures.idle + closures.unsentResponses + closures.refused + closures.evicted + closures.library + closures.notAccepted + closures.withUnreadInput;
        if (sum == loggedClosures || now - closuresLoggedAt < logInterval)
            return;
        loggedClosures = sum;
        closuresLoggedAt = now;
        state::logEvent(state::log_level::info, "connections_closed",
            { { "port", std::to_string(port) }, { "idle", std::to_string(closures.idle) }, { "unsent_response", std::to_string(closures.unsentResponses) },
                { "refused", std::to_string(closures.refused) }, { "last_response", std::to_string(closures.lastResponses) }, { "evicted", std::to_string(closures.evicted) },
                { "draining", std::to_string(closures.draining) }, { "library", std::to_string(closures.library) }, { "not_accepted", std::to_string(closures.notAccepted) }, { "with_unread_input", std::to_string(closures.withUnreadInput) },
                { "with_partial_request", std::to_string(closures.withPartialRequest) }, { "with_whole_request", std::to_string(closures.withWholeRequest) }, { "with_unsent_response", std::to_string(closures.withUnsentResponse) },
                { "accepted", std::to_string(sums.connectionsAccepted) }, { "requests_begun", std::to_string(sums.begun) }, { "requests_handled", std::to_string(sums.handled) }, { "left_by_caller", std::to_string(sums.leftByCaller) },
                { "open", std::to_string(connections.size()) } });
    }

    void logRefusals(protocol::time_point now)
    {
        const std::uint64_t sum = refusals.headers + refusals.bodies + refusals.timeouts + refusals.malformed + refusals.unhandled + budget.evictions() + budget.refusedConnections();
        if (sum == loggedRefusals || now - loggedAt < logInterval)
            return;
        loggedRefusals = sum;
        loggedAt = now;
        state::logEvent(state::log_level::warning, "requests_refused",
            { { "port", std::to_string(port) }, { "headers", std::to_string(refusals.headers) }, { "bodies", std::to_string(refusals.bodies) }, { "timeouts", std::to_string(refusals.timeouts) },
                { "malformed", std::to_string(refusals.malformed) }, { "unhandled", std::to_string(refusals.unhandled) }, { "evicted", std::to_string(budget.evictions()) }, { "connections_refused", std::to_string(budget.refusedConnections()) } });
    }

    static evhtp_res onConnectionClosed(evhtp_connection_t* connection, void* self)
    {
        impl& server = *static_cast<impl*>(self);
        const auto found = server.connections.find(connection);
        if (found == server.connections.end())
            return EVHTP_RES_OK;
        const bool isByLibrary = !server.isClosing && !server.isBeingDestroyed && !found->second->hasCallerEnded();
        if (isByLibrary && found->second->isReading()) {
            std::unique_ptr<internal::request_gate> gate = std::move(found->second);
            server.connections.erase(found);
            server.refuseWithoutLibrary(connection, std::move(gate));
            return EVHTP_RES_OK;
        }
        if (isByLibrary)
            ++server.closures.library;
        server.countEnd(*found->second);
        server.connections.erase(found);
        return EVHTP_RES_OK;
    }

    internal::request_gate* gateOf(evhtp_request_t* request)
    {
        const auto found = connections.find(evhtp_request_get_connection(request));
        return found == connections.end() ? nullptr : found->second.get();
    }

    static evhtp_res onBody(evhtp_request_t* request, evbuffer* data, void* self)
    {
        if (internal::request_gate* gate = static_cast<impl*>(self)->gateOf(request))
            gate->addBody(data);
        return EVHTP_RES_OK;
    }

    static void onLibraryRequest(evhtp_request_t* request, void* self) { static_cast<impl*>(self)->handle(request); }

    void handle(evhtp_request_t* request)
    {
        internal::request_gate* gate = gateOf(request);
        if (gate && !gate->onRequestRead())
            return;
        auto held = std::make_shared<responder>(request, gate, loop, budget, openRequests, isEnding);
        // Owned by the library's request, released by onRequestFinished.
        auto* reference = new responder_reference(held);
        evhtp_request_set_hook(request, evhtp_hook_on_request_fini, toHook(&onRequestFinished), reference);
        onRequest(readRequest(request, gate), held);
        if (held->hasReplied())
            return;
        evhtp_connection_set_hook(evhtp_request_get_connection(request), evhtp_hook_on_event, toHook(&onConnectionEvent), reference);
        held->pause();
        if (gate)
            gate->onRequestWaits([waiting = std::weak_ptr<responder>(held)] { responder::onCallerEnded(waiting); });
    }

    event_loop& loop;
    std::unique_ptr<memory_budget> ownBudget; // null if the budget is shared
    memory_budget& budget;
    internal::gate_limits gateLimits;
    handler onRequest;
    evhtp_t* server;
    internal::half_closed_connections halfClosed; // after a last response or a refusal
    internal::half_closed_connections refusedConnections; // for which there was no room
    std::unique_ptr<event_loop::timer> sweep;
    std::unique_ptr<event_loop::timer> queueCheck; // set while the listener closes
    std::map<evhtp_connection_t*, std::unique_ptr<internal::request_gate>> connections;
    evhtp_connection_t* lastSwept = nullptr; // the connections behind it are still to be looked at; null before the first
    bool isSweeping = false;
    std::map<bufferevent*, std::unique_ptr<internal::request_gate>> refused; // whose connections libevhtp has given up; the streams are owned
    std::shared_ptr<bool> aliveToken = std::make_shared<bool>(true);
    http_server_refusals refusals;
    std::uint64_t loggedRefusals = 0; // sum of all counts in the last log line
    protocol::time_point loggedAt;
    http_server_closures closures;
    http_server_requests requestsOfEndedConnections; // and all connections accepted
    std::uint64_t loggedClosures = 0; // sum of the counts in the last log line
    protocol::time_point closuresLoggedAt;
    std::size_t openRequests = 0;
    bool isEnforcementPosted = false;
    bool isClosing = false; // a connection is being closed for a reason of the server's
    bool isBeingDestroyed = false;
    bool isListening = false;
    bool isEnding = false; // each response is the last one of its connection
    std::uint16_t port = 0;
};

http_server::http_server(event_loop& loop, http_server_limits limits, handler onRequest, memory_budget* shared)
    : m_impl(std::make_unique<impl>(loop, limits, std::move(onRequest), shared))
{
}

http_server::~http_server() = default;

result<void> http_server::listen(const std::string& address, std::uint16_t port)
{
    if (evhtp_bind_socket(m_impl->server, address.c_str(), port, listenBacklog) != 0)
        return makeError(error_kind::internal, "can't listen on " + address + ':' + std::to_string(port));
    m_impl->isListening = true;
    sockaddr_in bound {};
    socklen_t length = sizeof(bound);
    getsockname(evconnlistener_get_fd(m_impl->server->server), reinterpret_cast<sockaddr*>(&bound), &length);
    m_impl->port = ntohs(bound.sin_port);
    return boost::outcome_v2::success();
}

std::uint16_t http_server::port() const
{
    return m_impl->port;
}

void http_server::stopAccepting()
{
    m_impl->stopAccepting();
}

bool http_server::isAccepting() const
{
    return m_impl->isListening;
}

void http_server::closeIdleConnections(protocol::duration minIdleTime)
{
    m_impl->forEachGate([minIdleTime](internal::request_gate& gate) {
        if (gate.sinceLastChange() >= minIdleTime)
            gate.closeIfIdle();
    });
}

bool http_server::endConnections()
{
    m_impl->isEnding = true;
    stopAccepting();
    closeIdleConnections(firstRequestTime);
    return !isAccepting() && openConnections() == 0;
}

std::size_t http_server::openRequests() const
{
    return m_impl->openRequests;
}

void http_server::setLimits(const http_server_limits& limits)
{
    m_impl->setLimits(limits);
}

http_server_refusals http_server::refusals() const
{
    return m_impl->refusals;
}

http_server_closures http_server::closures() const
{
    return m_impl->closures;
}

http_server_requests http_server::requests() const
{
    return m_impl->requests();
}

std::size_t http_server::openConnections() const
{
    return m_impl->connections.size() + m_impl->refused.size();
}

} // namespace jackdaw::transport
