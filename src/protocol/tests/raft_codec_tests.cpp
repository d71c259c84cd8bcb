// Tests of the msgpack encoding of Raft messages and records.
#include "protocol/raft_codec.h"

#include <doctest/doctest.h>

using namespace jackdaw::protocol;

namespace {

const raft_membership exampleMembership { { { "a", 1 }, { "b", UINT64_MAX } }, { { "c", 3 } } };
const raft_entry exampleCommand { 7, 3, raft_entry_kind::command, std::string("\0\xff", 2), {} };
const raft_entry exampleChange { 8, 3, raft_entry_kind::membership, {}, exampleMembership };

} // namespace

TEST_CASE("raft messages are unchanged after encoding and decoding")
{
    const std::vector<decltype(raft_message::body)> bodies {
        vote_request { true, false, 5, 2 },
        vote_reply { false, true },
        append_request { 6, 3, 4, { exampleCommand, exampleChange } },
        append_reply { true, 8, 6 },
        snapshot_request { { 9, 3, exampleMembership, "state" } },
        timeout_now_request {},
        incarnation_ended { 7 },
    };
    for (const auto& body : bodies) {
        const raft_message message { { "a", 1 }, { "b", 2 }, 3, body };
        const auto decoded = decodeRaftMessage(encode(message));
        REQUIRE(decoded);
        CHECK(decoded.value() == message);
    }
}

TEST_CASE("raft records are unchanged after encoding and decoding")
{
    CHECK(decodeRaftEntry(encode(exampleCommand)).value() == exampleCommand);
    CHECK(decodeRaftEntry(encode(exampleChange)).value() == exampleChange);
    const raft_hard_state voted { 4, raft_member_id { "a", 1 } };
    CHECK(decodeRaftHardState(encode(voted)).value() == voted);
    CHECK(decodeRaftHardState(encode(raft_hard_state { 4, {} })).value() == raft_hard_state { 4, {} });
}

TEST_CASE("truncated or invalid bytes are rejected")
{
    const std::string bytes = encode(raft_message { { "a", 1 }, { "b", 2 }, 3, append_request { 6, 3, 4, { exampleCommand, exampleChange } } });
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodeRaftMessage(std::string_view(bytes).substr(0, length)));
    CHECK_FALSE(decodeRaftMessage("\x93\x63\x01\x02")); // another format version
    CHECK_FALSE(decodeRaftEntry("hello"));
    CHECK_FALSE(decodeRaftEntry("\xdd\xff\xff\xff\xff")); // an array that claims 4 G elements
}
