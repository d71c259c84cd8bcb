// The JSON body by which the HTTP pages tell a failure that is not one job's.
#pragma once

#include "protocol/error_kind.h"

#include <nlohmann/json.hpp>

#include <string>

namespace jackdaw::apps {

// {"error", "ran", "text", "detail"} of the table of error kinds; the caller may add fields.
nlohmann::json failureBody(protocol::error_kind kind, const std::string& detail);

} // namespace jackdaw::apps
