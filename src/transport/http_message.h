// HTTP requests and responses as the server and the client hand them over.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::transport {

enum class http_method {
    get,
    put,
    post,
    del,
    other
};

struct http_header {
    std::string name;
    std::string value;
};

// The value of the first header with this name, ignoring case; empty when there is none.
std::string_view findHeader(std::span<const http_header> headers, std::string_view name);

struct http_request {
    http_method method = http_method::other;
    std::string path; // without the query
    std::string query; // without the question mark
    std::string body;
    std::vector<http_header> headers;

    // The value of the first header with this name, ignoring case; empty when there is none.
    std::string_view header(std::string_view name) const;

    // The value of a query parameter; empty when there is none.
    std::string_view queryParameter(std::string_view name) const;
};

struct http_response {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<http_header> headers;
    bool closesConnection = false; // the server ends the connection once the response is sent

    // As http_request::header().
    std::string_view header(std::string_view name) const;
};

} // namespace jackdaw::transport
