// Tests of what a JSON text from another machine may cost.
#include "protocol/json_document.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>

using jackdaw::protocol::parseJsonObject;

namespace {

std::string listOf(std::string_view value, std::size_t bytes)
{
    std::string out = R"({"list":[)";
    while (out.size() < bytes)
        out.append(value).append(",");
    return out + "0]}";
}

} // namespace

// Guards against a parser whose time grows with the square of the values of a list.
TEST_CASE("a text of many small objects within a caller's limit is not parsed")
{
    const auto parsed = parseJsonObject(listOf("{}", 256 * 1024));
    REQUIRE(parsed);
    CHECK(parsed.value().at("list").size() > 87'000);
}

// Guards against values that take a multiple of their text in memory.
TEST_CASE("a text whose values would take more than their bound is parsed")
{
    for (const std::string_view value : { "{}", "[]", "\"\"", "0", "{\"\":0}" }) {
        CAPTURE(value);
        const auto parsed = parseJsonObject(listOf(value, 4 * 1024 * 1024));
        REQUIRE_FALSE(parsed);
        CHECK(parsed.error().detail == "the body has too many values");
        CHECK(parseJsonObject(listOf(value, 256 * 1024)));
    }
    CHECK(parseJsonObject(R"({"text":")" + std::string(4 * 1024 * 1024, 'x') + "\"}"));
}
