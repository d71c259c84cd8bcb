// Look-up of headers and query parameters.
#include "transport/http_message.h"

#include <strings.h>

namespace jackdaw::transport {
namespace {

    bool equalsIgnoringCase(std::string_view left, std::string_view right)
    {
        return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
    }

} // namespace

std::string_view findHeader(std::span<const http_header> headers, std::string_view name)
{
    for (const http_header& header : headers) {
        if (equalsIgnoringCase(header.name, name))
            return header.value;
    }
    return {};
}

std::string_view http_request::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string_view http_response::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string_view http_request::queryParameter(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

} // namespace jackdaw::transport
