// Parsing with a limit on the nesting depth.
#include "protocol/json_document.h"

#include <stdexcept>
#include <string>

namespace jackdaw::protocol {
namespace {

    constexpr int maxDepth = 32; // as for messages between hosts; no message has more than five levels

    // Called while parsing, since each level of the document takes some 70 bytes of memory for two bytes of text.
    bool checkDepth(int depth, nlohmann::json::parse_event_t, const nlohmann::json&)
    {
        if (depth > maxDepth)
            throw std::length_error("the body is nested deeper than " + std::to_string(maxDepth) + " levels");
        return true;
    }

} // namespace

result<nlohmann::json> parseJsonObject(std::string_view text)
{
    try {
        auto document = nlohmann::json::parse(text, &checkDepth);
        if (!document.is_object())
            return makeError(error_kind::malformed_request, "the body is not a JSON object");
        return document;
    } catch (const nlohmann::json::out_of_range&) {
        return makeError(error_kind::malformed_request, "the body has a number that is out of range");
    } catch (const nlohmann::json::exception&) {
        return makeError(error_kind::malformed_request, "the body is not JSON");
    } catch (const std::exception& failure) {
        return makeError(error_kind::malformed_request, failure.what());
    }
}

} // namespace jackdaw::protocol
