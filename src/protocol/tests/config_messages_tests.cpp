// Tests of the configuration message encoding.
#include "protocol/config_messages.h"

#include <doctest/doctest.h>

#include <array>

using namespace jackdaw::protocol;

TEST_CASE("configuration messages are unchanged after encoding and decoding, and invalid bytes are rejected")
{
    const std::array<config_message, 4> messages { rules_push { 7, "order = \"fifo\" # Ana" }, rules_push { 8, "" }, rules_pull { 1ULL << 60 }, drain_request {} };
    for (const config_message& message : messages) {
        const std::string bytes = encodeConfigMessage(message);
        const auto decoded = decodeConfigMessage(bytes);
        REQUIRE(decoded);
        CHECK(decoded.value() == message);
        for (std::size_t size = 0; size < bytes.size(); ++size)
            CHECK_FALSE(decodeConfigMessage(std::string_view(bytes).substr(0, size)));
        CHECK_FALSE(decodeConfigMessage(bytes + "x"));
    }
}

TEST_CASE("fields appended by a newer release are ignored, and unknown kinds are rejected")
{
    std::string bytes = encodeConfigMessage(rules_pull { 5 });
    bytes[0] = static_cast<char>(bytes[0] + 1); // one element more in the array
    bytes += '\x2a';
    const auto decoded = decodeConfigMessage(bytes);
    REQUIRE(decoded);
    CHECK(decoded.value() == config_message(rules_pull { 5 }));
    bytes[1] = 99;
    CHECK(decodeConfigMessage(bytes).error().kind() == error_kind::corrupt_data);
}
