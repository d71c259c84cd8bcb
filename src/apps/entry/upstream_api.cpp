// Announcements of upstreams.
#include "apps/entry/upstream_api.h"

#include "apps/entry/http_answers.h"

#include <utility>

namespace jackdaw::entry {

using protocol::error_kind;
using transport::http_method;

upstream_api::upstream_api(entry_counters& counters, announcement_hook onAnnouncement)
    : m_counters(counters)
    , m_onAnnouncement(std::move(onAnnouncement))
{
}

void upstream_api::onRequest(const transport::http_request& request, transport::http_responder& responder)
{
    constexpr std::uint64_t messagesPerExchange = 2;
    m_counters.countMessages(message_purpose::announce, messagesPerExchange);
    if (request.path != "/v1/upstreams")
        return responder.reply(failureResponse(error_kind::unknown_resource, "no such path"));
    if (request.method != http_method::post)
        return responder.reply(failureResponse(error_kind::malformed_request, "the method is not POST"));
    auto announcement = protocol::parseAnnouncement(request.body);
    if (!announcement)
        return responder.reply(failureResponse(announcement.error().kind(), announcement.error().detail));
    m_onAnnouncement(protocol::steadyNow(), std::move(announcement.value()));
    responder.reply(jsonResponse("{}"));
}

} // namespace jackdaw::entry
