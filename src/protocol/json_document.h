// Parses JSON texts from other machines.
#pragma once

#include "protocol/result.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace jackdaw::protocol {

// Fails with malformed_request when the text is not exactly one JSON object, has a zero byte or names a member twice, or is nested more
// deeply than any message or would take more than 32 MiB.
result<nlohmann::json> parseJsonObject(std::string_view text);

// The same checks for a value of any kind; returns a discarded value when one fails.
nlohmann::json parseJsonOrDiscard(std::string_view text);

} // namespace jackdaw::protocol
