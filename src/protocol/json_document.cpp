// Parsing of exactly one document: a first pass checks it without keeping it, so that what is refused takes neither memory nor time.
#include "protocol/json_document.h"

#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace jackdaw::protocol {
namespace {

    constexpr std::size_t maxDepth = 32; // as for messages between hosts; no message has more than five levels
    constexpr std::size_t maxDocumentBytes = 32 * 1024 * 1024; // estimated; a body of 256 KiB takes 8 MiB at most

    // Memory of parsed values: allocations have a header of 16 bytes, and vectors grow by doubling.
    constexpr std::size_t valueBytes = 2 * sizeof(nlohmann::json);
    constexpr std::size_t stringBytes = sizeof(std::string) + 16;
    constexpr std::size_t containerBytes = 64;
    constexpr std::size_t memberBytes = stringBytes + 48;

    // Of two members of one name the library would keep only the last.
    class document_check final : public nlohmann::json_sax<nlohmann::json> {
    public:
        bool null() override { return add(valueBytes); }
        bool boolean(bool) override { return add(valueBytes); }
        bool number_integer(number_integer_t) override { return add(valueBytes); }
        bool number_unsigned(number_unsigned_t) override { return add(valueBytes); }
        bool number_float(number_float_t, const string_t&) override { return add(valueBytes); }
        bool string(string_t& value) override { return add(valueBytes + stringBytes + value.size()); }
        bool binary(binary_t&) override { return false; } // not in a text

        bool start_object(std::size_t) override
        {
            m_members.emplace_back();
            return open();
        }

        bool key(string_t& name) override
        {
            if (!m_members.back().insert(name).second)
                throw std::invalid_argument("the body names a member twice");
            return add(memberBytes + name.size());
        }

        bool end_object() override
        {
            m_members.pop_back();
            --m_depth;
            return true;
        }

        bool start_array(std::size_t) override { return open(); }

        bool end_array() override
        {
            --m_depth;
            return true;
        }

        bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception& failure) override
        {
            if (dynamic_cast<const nlohmann::json::out_of_range*>(&failure))
                throw std::out_of_range("the body has a number that is out of range");
            throw std::invalid_argument("the body is not JSON");
        }

    private:
        bool open()
        {
            if (m_depth++ > maxDepth)
                throw std::length_error("the body is nested deeper than " + std::to_string(maxDepth) + " levels");
            return add(valueBytes + containerBytes);
        }

        bool add(std::size_t bytes)
        {
            m_bytes += bytes;
            if (m_bytes > maxDocumentBytes)
                throw std::length_error("the body has too many values");
            return true;
        }

        std::vector<std::set<std::string>> m_members; // of each open object
        std::size_t m_depth = 0;
        std::size_t m_bytes = 0;
    };

    nlohmann::json parseChecked(std::string_view text)
    {
        // The library takes a zero byte for the end of the text, and the rest would be left unread.
        if (text.find('\0') != std::string_view::npos)
            throw std::invalid_argument("the body contains a zero byte");
        document_check check;
        nlohmann::json::sax_parse(text, &check);
        return nlohmann::json::parse(text);
    }

} // namespace

result<nlohmann::json> parseJsonObject(std::string_view text)
{
    try {
        auto document = parseChecked(text);
        if (!document.is_object())
            return makeError(error_kind::malformed_request, "the body is not a JSON object");
        return document;
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
