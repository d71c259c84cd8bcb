// Parses JSON texts from other machines.
#pragma once

#include "protocol/result.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace jackdaw::protocol {

// Fails with malformed_request when the text is not a JSON object, or is nested more deeply than any message.
result<nlohmann::json> parseJsonObject(std::string_view text);

} // namespace jackdaw::protocol
