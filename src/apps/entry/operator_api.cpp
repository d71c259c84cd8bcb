// Health, metrics and status for operators and the balancer.
#include "apps/entry/operator_api.h"

#include "apps/entry/http_answers.h"

#include <utility>

namespace jackdaw::entry {

using protocol::error_kind;
using transport::http_responder;

namespace {
    constexpr int statusOk = 200;
    constexpr int statusUnavailable = 503;
}

operator_api::operator_api(metrics_hook metricsPage, status_hook status)
    : m_metricsPage(std::move(metricsPage))
    , m_status(std::move(status))
{
}

void operator_api::setReady(bool isReady)
{
    m_isReady = isReady;
}

void operator_api::onRequest(const transport::http_request& request, const std::shared_ptr<http_responder>& responder)
{
    if (request.method != transport::http_method::get)
        return responder->reply(failureResponse(error_kind::malformed_request, "the method is not GET"));
    if (request.path == "/healthz")
        return responder->reply(textResponse(statusOk, "ok\n"));
    if (request.path == "/readyz")
        return responder->reply(m_isReady ? textResponse(statusOk, "ready\n") : textResponse(statusUnavailable, "not ready\n"));
    if (request.path == "/metrics")
        return responder->reply(textResponse(statusOk, m_metricsPage()));
    if (request.path == "/v1/status")
        return m_status([responder](std::string json) { responder->reply(jsonResponse(std::move(json))); });
    responder->reply(failureResponse(error_kind::unknown_resource, "no such path"));
}

} // namespace jackdaw::entry
