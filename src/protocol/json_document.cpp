// Parsing of exactly one document, with a limit on the nesting depth.
#include "protocol/json_document.h"

#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace jackdaw::protocol {
namespace {

    constexpr int maxDepth = 32; // as for messages between hosts; no message has more than five levels

    // Checks the document while it is parsed: each level takes some 70 bytes of memory for two bytes of text, and of two members of one
    // name the library keeps only the last.
    class document_check {
    public:
        bool operator()(int depth, nlohmann::json::parse_event_t event, const nlohmann::json& parsed)
        {
            using event_kind = nlohmann::json::parse_event_t;
            if (depth > maxDepth)
                throw std::length_error("the body is nested deeper than " + std::to_string(maxDepth) + " levels");
            if (event == event_kind::object_start)
                m_openObjects.emplace_back();
            else if (event == event_kind::object_end)
                m_openObjects.pop_back();
            else if (event == event_kind::key && !m_openObjects.back().insert(parsed.get_ref<const std::string&>()).second)
                throw std::invalid_argument("the body names a member twice");
            return true;
        }

    private:
        std::vector<std::set<std::string>> m_openObjects; // the members of each
    };

    nlohmann::json parseChecked(std::string_view text)
    {
        // The library takes a zero byte for the end of the text, and the rest would be left unread.
        if (text.find('\0') != std::string_view::npos)
            throw std::invalid_argument("the body contains a zero byte");
        document_check check;
        return nlohmann::json::parse(text, [&check](int depth, nlohmann::json::parse_event_t event, const nlohmann::json& parsed) { return check(depth, event, parsed); });
    }

} // namespace

result<nlohmann::json> parseJsonObject(std::string_view text)
{
    try {
        auto document = parseChecked(text);
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

nlohmann::json parseJsonOrDiscard(std::string_view text)
{
    try {
        return parseChecked(text);
    } catch (const std::exception&) {
        return { nlohmann::json::value_t::discarded };
    }
}

} // namespace jackdaw::protocol
