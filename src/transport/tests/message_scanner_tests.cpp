// Framing of requests: limits, ends, and what has two possible readings.
#include "transport/internal/message_scanner.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>

using jackdaw::transport::internal::message_limits;
using jackdaw::transport::internal::message_scanner;
using part = message_scanner::part;

namespace {

constexpr message_limits limits { 200, 100 };

// Scans the bytes in pieces of one size; returns what remains after the end of the message.
std::string scan(message_scanner& scanner, std::string_view bytes, std::size_t piece)
{
    while (!bytes.empty() && scanner.at() != part::end && scanner.at() != part::refused)
        bytes.remove_prefix(scanner.scan(bytes.substr(0, piece), limits));
    return std::string(bytes);
}

void checkRefusal(std::string_view bytes, int status)
{
    for (const std::size_t piece : { std::size_t(1), std::size_t(7), bytes.size() }) {
        CAPTURE(std::string(bytes));
        CAPTURE(piece);
        message_scanner scanner;
        scan(scanner, bytes, piece);
        CHECK(scanner.at() == part::refused);
        CHECK(scanner.refusalStatus() == status);
    }
}

} // namespace

TEST_CASE("the end of a request is found wherever its bytes are divided")
{
    for (const std::string_view message : { "\r\nGET /x HTTP/1.1\r\nHost: x\r\n\r\n", "POST /x HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody",
             "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0a;x=y\r\n0123456789\r\n0\r\n\r\n", "POST /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n" }) {
        for (std::size_t piece = 1; piece <= message.size(); ++piece) {
            message_scanner scanner;
            CHECK(scan(scanner, std::string(message) + "GET", piece) == "GET");
            CHECK(scanner.at() == part::end);
        }
        for (std::size_t length = 0; length < message.size(); ++length) {
            message_scanner scanner;
            CHECK(scan(scanner, message.substr(0, length), 5).empty());
            CHECK((scanner.at() == part::head || scanner.at() == part::body));
        }
    }
}

TEST_CASE("a request over a limit is read on")
{
    checkRefusal("GET /x HTTP/1.1\r\nX: " + std::string(300, 'x'), 431);
    checkRefusal("GET /" + std::string(300, 'x'), 414);
    checkRefusal("\r\n\r\n\r\n\r\n\r\n\r\n", 400);
    checkRefusal("POST /x HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413);
    checkRefusal("POST /x HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 413);
    checkRefusal("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n32\r\n" + std::string(50, 'x') + "\r\n33\r\n", 413);
    checkRefusal("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + std::string(100, 'x'), 400);
    checkRefusal("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n000000000", 400);
    std::string manyHeaders = "GET /x HTTP/1.1\r\n";
    for (int i = 0; i < 101; ++i)
        manyHeaders += "a:\r\n";
    message_scanner scanner;
    const std::string text = manyHeaders + "\r\n";
    scanner.scan(text, { 10'000, 100 });
    CHECK(scanner.refusalStatus() == 431);
}

TEST_CASE("a request with two possible ends is passed on to the parser")
{
    checkRefusal("POST /x HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400);
    checkRefusal("POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400);
    checkRefusal("POST /x HTTP/1.1\r\nContent-Length: +1\r\n\r\n", 400);
    checkRefusal("POST /x HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501);
    checkRefusal("POST /x HTTP/1.1\r\nContent-Length : 1\r\n\r\n", 400);
    checkRefusal("POST /x HTTP/1.1\r\nA: b\r\n folded\r\n\r\n", 400);
    checkRefusal("POST /x HTTP/1.1\nHost: x\r\n\r\n", 400);
    checkRefusal(std::string_view("POST /x HTTP/1.1\r\nA: \0\r\n\r\n", 26), 400);
    checkRefusal("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nTrailer: x\r\n\r\n", 400);
    checkRefusal("nonsense\r\n\r\n", 400);
}
