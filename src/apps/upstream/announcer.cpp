// Announcements over HTTP.
#include "apps/upstream/announcer.h"

#include "state/log.h"

namespace jackdaw::upstream {
namespace {

    constexpr protocol::duration callTimeout = std::chrono::seconds(1);

} // namespace

class announcer::impl : public std::enable_shared_from_this<impl> {
public:
    impl(transport::event_loop& eventLoop, transport::http_client& httpClient, std::vector<transport::endpoint> entryHosts,
        std::size_t firstEntry, source currentSource)
        : loop(eventLoop)
        , client(httpClient)
        , entries(std::move(entryHosts))
        , nextEntry(firstEntry)
        , current(std::move(currentSource))
    {
    }

    // Tries the next entry host, and the others in turn while they can't be reached.
    void announce(std::size_t tries)
    {
        const auto announcement = current();
        if (!announcement || tries == 0 || entries.empty())
            return;
        const transport::endpoint& target = entries[nextEntry++ % entries.size()];
        transport::http_call call;
        call.method = transport::http_method::post;
        call.path = "/v1/upstreams";
        call.body = toJson(*announcement);
        call.headers = { { "Content-Type", "application/json" } };
        call.timeout = callTimeout;
        client.call(target, std::move(call), [weak = weak_from_this(), tries, target](const transport::http_result& result) {
            const auto self = weak.lock();
            if (self && !isAccepted(result, target))
                self->announce(tries - 1);
        });
    }

    static bool isAccepted(const transport::http_result& result, const transport::endpoint& target)
    {
        constexpr int statusOk = 200;
        if (result.outcome == transport::request_outcome::answered && result.response.status == statusOk)
            return true;
        state::logEvent(state::log_level::debug, "announcement_not_heard",
            { { "entry", target.host + ':' + std::to_string(target.port) }, { "status", std::to_string(result.response.status) } });
        return false;
    }

    transport::event_loop& loop;
    transport::http_client& client;
    std::vector<transport::endpoint> entries;
    std::size_t nextEntry;
    source current;
    std::unique_ptr<transport::event_loop::timer> timer;
};

announcer::announcer(transport::event_loop& loop, transport::http_client& client, std::vector<transport::endpoint> entries,
    std::size_t firstEntry, source current)
    : m_impl(std::make_shared<impl>(loop, client, std::move(entries), firstEntry, std::move(current)))
{
}

announcer::~announcer() = default;

void announcer::start(protocol::duration interval)
{
    m_impl->timer = m_impl->loop.every(interval, [this] { announceNow(); });
    announceNow();
}

void announcer::announceNow()
{
    m_impl->announce(m_impl->entries.size());
}

} // namespace jackdaw::upstream
