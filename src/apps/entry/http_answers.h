// HTTP answers that are not about one job.
#pragma once

#include "protocol/error_kind.h"
#include "transport/http_server.h"

#include <string>

namespace jackdaw::entry {

transport::http_response jsonResponse(std::string body);
transport::http_response textResponse(int status, std::string body);

// {"error", "ran", "text", "detail"} with the status of the table of error kinds.
transport::http_response failureResponse(protocol::error_kind kind, const std::string& detail);

} // namespace jackdaw::entry
