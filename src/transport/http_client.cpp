// HTTP client by evhttp: a pool of connections for each endpoint, one request on a connection at a time.
#include "transport/http_client.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <deque>
#include <map>
#include <numeric>
#include <span>
#include <string_view>
#include <utility>

namespace jackdaw::transport {
namespace {

    constexpr ev_ssize_t maxResponseBytes = 64 * 1024 * 1024;

    // evhttp applies a connection's timeout to its idle time as well; servers close idle connections earlier.
    constexpr protocol::duration idleTimeout = std::chrono::minutes(5);

    evhttp_cmd_type toCommand(http_method method)
    {
        switch (method) {
        case http_method::put:
            return EVHTTP_REQ_PUT;
        case http_method::post:
            return EVHTTP_REQ_POST;
        case http_method::del:
            return EVHTTP_REQ_DELETE;
        default:
            return EVHTTP_REQ_GET;
        }
    }

    http_response readResponse(evhttp_request* request)
    {
        http_response out;
        out.status = evhttp_request_get_response_code(request);
        const evkeyvalq* headers = evhttp_request_get_input_headers(request);
        for (const evkeyval* header = headers->tqh_first; header; header = header->next.tqe_next)
            out.headers.push_back({ header->key, header->value });
        out.contentType = findHeader(out.headers, "Content-Type");
        evbuffer* body = evhttp_request_get_input_buffer(request);
        out.body.resize(evbuffer_get_length(body));
        evbuffer_remove(body, out.body.data(), out.body.size());
        return out;
    }

    void fillRequest(evhttp_request* request, const endpoint& target, const http_call& call)
    {
        evkeyvalq* headers = evhttp_request_get_output_headers(request);
        if (findHeader(call.headers, "Host").empty())
            evhttp_add_header(headers, "Host", target.host.c_str());
        for (const http_header& header : call.headers)
            evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
        evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
    }

    // Lines as they are written in HTTP/1.1.
    std::size_t headerBytes(std::span<const http_header> headers)
    {
        constexpr std::size_t separators = std::string_view(": \r\n").size();
        return std::accumulate(headers.begin(), headers.end(), std::size_t { 0 }, [](std::size_t sum, const http_header& header) { return sum + header.name.size() + header.value.size() + separators; });
    }

    std::size_t requestBytes(const endpoint& target, const http_call& call)
    {
        constexpr std::size_t fixedLines = std::string_view("POST  HTTP/1.1\r\nHost: \r\nContent-Length: 000\r\n\r\n").size();
        return fixedLines + call.path.size() + target.host.size() + headerBytes(call.headers) + call.body.size();
    }

    std::size_t responseBytes(const http_response& response)
    {
        constexpr std::size_t fixedLines = std::string_view("HTTP/1.1 200 OK\r\n\r\n").size();
        return fixedLines + headerBytes(response.headers) + response.body.size();
    }

    timeval toTimeval(protocol::duration delay)
    {
        constexpr std::int64_t microsecondsPerSecond = 1'000'000;
        return { delay.count() / microsecondsPerSecond, delay.count() % microsecondsPerSecond };
    }

    struct pending_call {
        http_client::request_maker makeRequest;
        http_client::completion done;
    };

    // One connection; carries at most one call.
    struct connection {
        evhttp_connection* handle = nullptr;
        endpoint target;
        http_client::completion done; // set while a call is on its way
        bool isPooled = true;
        bool isNew = true; // no call has ended on it
        std::size_t sentBytes = 0; // of the present call
        void* owner = nullptr; // the client, for evhttp's callback
    };

    // The connections to one endpoint. Invariant: waiting is empty unless busy has reached the pool's bound.
    struct pool {
        std::vector<connection*> idle;
        std::deque<pending_call> waiting;
        std::size_t busy = 0;
    };

} // namespace

class http_client::impl {
public:
    impl(event_loop& eventLoop, std::size_t connectionBound)
        : loop(eventLoop)
        , maxConnections(connectionBound)
    {
    }

    ~impl()
    {
        *isAlive = false;
        for (const auto& [link, owned] : connections)
            evhttp_connection_free(link->handle);
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void call(const endpoint& target, http_call request, completion done)
    {
        if (request.onNewConnection) {
            start(*open(target, false), request, std::move(done));
            return;
        }
        callWhenFree(
            target, [request = std::move(request)]() mutable { return std::move(request); }, std::move(done));
    }

    void callWhenFree(const endpoint& target, request_maker makeRequest, completion done)
    {
        pool& pool = pools[target];
        if (pool.busy >= maxConnections) {
            pool.waiting.push_back({ std::move(makeRequest), std::move(done) });
            return;
        }
        startPooled(target, pool, makeRequest(), std::move(done));
    }

    void startPooled(const endpoint& target, pool& pool, const http_call& request, completion done)
    {
        ++pool.busy;
        connection* link = nullptr;
        if (pool.idle.empty()) {
            link = open(target, true);
        } else {
            link = pool.idle.back();
            pool.idle.pop_back();
        }
        start(*link, request, std::move(done));
    }

    connection* open(const endpoint& target, bool isPooled)
    {
        auto owned = std::make_unique<connection>();
        connection* link = owned.get();
        link->target = target;
        link->isPooled = isPooled;
        link->handle = evhttp_connection_base_new(loop.base(), nullptr, target.host.c_str(), target.port);
        evhttp_connection_set_max_body_size(link->handle, maxResponseBytes);
        connections.emplace(link, std::move(owned));
        return link;
    }

    void start(connection& link, const http_call& call, completion done)
    {
        link.done = std::move(done);
        link.sentBytes = requestBytes(link.target, call);
        const timeval timeout = toTimeval(call.timeout);
        evhttp_connection_set_timeout_tv(link.handle, &timeout);
        // Freed by evhttp; the callback does not run once the connection is freed.
        link.owner = this;
        evhttp_request* request = evhttp_request_new(&impl::onFinished, &link);
        fillRequest(request, link.target, call);
        // A failure to start is reported by the callback as well.
        evhttp_make_request(link.handle, request, toCommand(call.method), call.path.c_str());
    }

    static void onFinished(evhttp_request* request, void* argument)
    {
        auto& link = *static_cast<connection*>(argument);
        static_cast<impl*>(link.owner)->finish(link, request);
    }

    // evhttp passes no request when the exchange failed after the connection was open, and a request without a
    // response code when the connection could not be opened.
    void finish(connection& link, evhttp_request* request)
    {
        http_result result;
        if (request && evhttp_request_get_response_code(request) != 0) {
            result.outcome = request_outcome::answered;
            result.response = readResponse(request);
        } else {
            result.outcome = request ? request_outcome::refused : request_outcome::silent;
        }
        result.sentBytes = link.sentBytes;
        result.receivedBytes = result.outcome == request_outcome::answered ? responseBytes(result.response) : 0;
        result.isOnNewConnection = std::exchange(link.isNew, false);
        completion done = std::move(link.done);
        link.done = nullptr;
        // Posted, because the connection and the hook's owner must not change inside evhttp's callback.
        loop.post([this, alive = isAlive, &link, result = std::move(result), done = std::move(done)]() mutable {
            if (!*alive)
                return;
            release(link, result.outcome == request_outcome::answered);
            done(std::move(result));
        });
    }

    void release(connection& link, bool isReusable)
    {
        const endpoint target = link.target;
        const bool isPooled = link.isPooled;
        const bool isKept = isReusable && isPooled;
        if (!isKept)
            destroy(link);
        if (!isPooled)
            return;
        pool& pool = pools[target];
        --pool.busy;
        if (isKept) {
            const timeval timeout = toTimeval(idleTimeout);
            evhttp_connection_set_timeout_tv(link.handle, &timeout);
            pool.idle.push_back(&link);
        }
        if (pool.waiting.empty())
            return;
        pending_call next = std::move(pool.waiting.front());
        pool.waiting.pop_front();
        startPooled(target, pool, next.makeRequest(), std::move(next.done));
    }

    void destroy(connection& link)
    {
        evhttp_connection_free(link.handle);
        connections.erase(&link);
    }

    void forget(const endpoint& target)
    {
        const auto found = pools.find(target);
        if (found == pools.end())
            return;
        for (connection* link : found->second.idle)
            destroy(*link);
        found->second.idle.clear();
        if (found->second.busy == 0)
            pools.erase(found);
    }

    event_loop& loop;
    std::size_t maxConnections;
    std::map<connection*, std::unique_ptr<connection>> connections;
    std::map<endpoint, pool> pools;
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true); // false once this client is destroyed
};

http_client::http_client(event_loop& loop, std::size_t maxConnections)
    : m_impl(std::make_unique<impl>(loop, maxConnections))
{
}

http_client::~http_client() = default;

void http_client::call(const endpoint& target, http_call request, completion done)
{
    m_impl->call(target, std::move(request), std::move(done));
}

void http_client::callWhenFree(const endpoint& target, request_maker make, completion done)
{
    m_impl->callWhenFree(target, std::move(make), std::move(done));
}

void http_client::forget(const endpoint& target)
{
    m_impl->forget(target);
}

} // namespace jackdaw::transport
