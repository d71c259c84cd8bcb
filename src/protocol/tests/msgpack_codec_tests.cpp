// Tests of the limits on unpacked bytes.
#include "protocol/msgpack_codec.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <vector>

using namespace jackdaw::protocol;

namespace {

using numbers = std::vector<std::uint32_t>;

} // namespace

TEST_CASE("only records reject bytes after the value, and messages and records report different error kinds")
{
    const std::string bytes = packMessage(numbers { 1, 2 });
    CHECK(unpackMessage<numbers>(bytes).value() == numbers { 1, 2 });
    CHECK(unpackMessage<numbers>(bytes, recordOptions).value() == numbers { 1, 2 });
    CHECK(unpackMessage<numbers>(bytes + "x").value() == numbers { 1, 2 });
    CHECK(unpackMessage<numbers>(bytes + "x", recordOptions).error().kind() == error_kind::corrupt_data);
    CHECK(unpackMessage<numbers>("\xa1x").error().kind() == error_kind::malformed_request);
    CHECK(unpackMessage<numbers>("\xa1x", recordOptions).error().kind() == error_kind::corrupt_data);
}

TEST_CASE("element counts above the number of bytes and deep nesting are rejected")
{
    for (const unpack_options& rules : { messageOptions, recordOptions }) {
        CHECK_FALSE(unpackMessage<numbers>("\xdd\xff\xff\xff\xff", rules)); // an array that claims 4 G elements
        CHECK_FALSE(unpackMessage<std::string>("\xdb\xff\xff\xff\xff", rules)); // a string that claims 4 GB
        const auto ignore = [](const msgpack::object& /*object*/) { return true; };
        CHECK(unpackWith(std::string(rules.maxDepth - 1, '\x91') + '\x01', rules, ignore));
        CHECK_FALSE(unpackWith(std::string(rules.maxDepth + 1, '\x91') + '\x01', rules, ignore));
    }
}

// Guards against values that take a multiple of their bytes in memory.
TEST_CASE("a message of many empty values is unpacked")
{
    const auto pack = [](std::uint32_t lists) {
        return packMessage(std::vector<std::vector<msgpack::type::nil_t>>(lists, std::vector<msgpack::type::nil_t>(10'000)));
    };
    const auto count = [](const msgpack::object& object) { return object.via.array.size; };
    CHECK(unpackWith(pack(49), messageOptions, count).value() == 49);
    const auto tooMany = unpackWith(pack(60), messageOptions, count);
    REQUIRE_FALSE(tooMany);
    CHECK(tooMany.error().detail == "too many values");
}
