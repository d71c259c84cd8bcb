// HTTP answers that are not about one job.
#include "apps/entry/http_answers.h"

#include "apps/shared/failure_body.h"

#include <utility>

namespace jackdaw::entry {

using transport::http_response;

http_response jsonResponse(std::string body)
{
    http_response response;
    response.body = std::move(body);
    return response;
}

http_response textResponse(int status, std::string body)
{
    http_response response;
    response.status = status;
    response.contentType = "text/plain; version=0.0.4";
    response.body = std::move(body);
    return response;
}

http_response failureResponse(protocol::error_kind kind, const std::string& detail)
{
    const nlohmann::json json = apps::failureBody(kind, detail);
    http_response response = jsonResponse(json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    response.status = protocol::errorAnswer(kind).httpStatus;
    return response;
}

} // namespace jackdaw::entry
