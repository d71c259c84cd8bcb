// Blocking calls on an event loop of their own.
#include "apps/ctl/control_connection.h"

#include "apps/shared/zone_address.h"
#include "protocol/json_document.h"
#include "transport/event_loop.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace jackdaw::ctl {

using nlohmann::json;
using protocol::error_kind;
using protocol::makeError;
using protocol::result;
using protocol::steadyNow;
using protocol::time_point;
using transport::endpoint;
using transport::http_call;
using transport::http_result;
using transport::request_outcome;

namespace {

    constexpr protocol::duration pauseBetweenTries = std::chrono::milliseconds(100);
    constexpr protocol::duration longestTry = std::chrono::seconds(6); // longer than a control host takes to give a change up

    // Where the answer says that the leader is; std::nullopt when it does not know.
    std::optional<endpoint> leaderIn(const std::string& body)
    {
        const json answer = protocol::parseJsonOrDiscard(body);
        if (!answer.is_object() || !answer.contains("leader") || !answer["leader"].is_object())
            return std::nullopt;
        auto address = apps::parseEndpoint(answer["leader"].value("address", ""));
        if (!address)
            return std::nullopt;
        return std::move(address.value());
    }

} // namespace

class control_connection::impl {
public:
    impl(ctl_settings wanted, std::string wantedToken)
        : settings(std::move(wanted))
        , token(std::move(wantedToken))
        , client(loop, 1)
    {
    }

    ctl_settings settings;
    std::string token;
    transport::event_loop loop;
    transport::http_client client;
    std::size_t nextHost = 0;
    std::optional<endpoint> leader; // as the last answer named it

    endpoint nextTarget()
    {
        if (leader)
            return *std::exchange(leader, std::nullopt);
        return settings.control[nextHost++ % settings.control.size()];
    }

    http_result callOnce(const endpoint& target, const http_call& request)
    {
        http_result outcome;
        client.call(target, request, [&](http_result answered) {
            outcome = std::move(answered);
            loop.stop();
        });
        loop.run();
        return outcome;
    }
};

control_connection::control_connection(ctl_settings settings, std::string token)
    : m_impl(std::make_unique<impl>(std::move(settings), std::move(token)))
{
}
control_connection::~control_connection() = default;

result<transport::http_response> control_connection::call(transport::http_method method, const std::string& path, std::string body)
{
    http_call request;
    request.method = method;
    request.path = path;
    request.body = std::move(body);
    request.onNewConnection = true;
    if (!m_impl->token.empty())
        request.headers.push_back({ "Authorization", "Bearer " + m_impl->token });
    const int notLeader = protocol::errorAnswer(error_kind::not_leader).httpStatus;
    const time_point deadline = steadyNow() + m_impl->settings.timeout;
    std::string lastFailure = "no control host answered";
    for (time_point now = steadyNow(); now < deadline; now = steadyNow()) {
        request.timeout = std::min(deadline - now, longestTry);
        const endpoint target = m_impl->nextTarget();
        http_result outcome = m_impl->callOnce(target, request);
        if (outcome.outcome == request_outcome::answered && outcome.response.status != notLeader) {
            m_impl->leader = target;
            return std::move(outcome.response);
        }
        if (outcome.outcome == request_outcome::answered) {
            m_impl->leader = leaderIn(outcome.response.body);
            lastFailure = m_impl->leader ? "the leader did not answer" : "the control hosts have no leader";
        }
        if (!m_impl->leader)
            pause(pauseBetweenTries);
    }
    return makeError(error_kind::timed_out, lastFailure);
}

void control_connection::pause(protocol::duration time)
{
    const auto timer = m_impl->loop.after(time, [this] { m_impl->loop.stop(); });
    m_impl->loop.run();
}

} // namespace jackdaw::ctl
