// GET /v1/members of each other host, one after the other.
#include "apps/control/group_probe.h"

#include "protocol/json_document.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"

#include <nlohmann/json.hpp>

namespace jackdaw::control {
namespace {

    constexpr protocol::duration answerTimeout = std::chrono::seconds(1);

    bool hasVoters(const transport::http_result& outcome)
    {
        const auto body = protocol::parseJsonOrDiscard(outcome.response.body);
        return outcome.outcome == transport::request_outcome::answered && body.is_object() && body.contains("voters") && !body["voters"].empty();
    }

} // namespace

std::string findGroupMember(const control_settings& settings)
{
    transport::event_loop loop;
    transport::http_client client(loop, 1);
    for (const control_member& member : settings.members) {
        if (member.host == settings.host)
            continue;
        transport::http_call request;
        request.path = "/v1/members";
        request.timeout = answerTimeout;
        bool isMember = false;
        client.call(member.operators, request, [&](const transport::http_result& outcome) {
            isMember = hasVoters(outcome);
            loop.stop();
        });
        loop.run();
        if (isMember)
            return member.host;
    }
    return {};
}

} // namespace jackdaw::control
