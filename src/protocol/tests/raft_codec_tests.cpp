// Tests of the replicated log's codec.
#include "protocol/raft_codec.h"

#include <doctest/doctest.h>

#include <vector>

using namespace jackdaw::protocol;

namespace {

const raft_membership sampleMembership { { { "a1", 1 }, { "b1", 1ULL << 63 } }, { { "c1", 9 } } };
const raft_entry sampleEntry { 4, 2, raft_entry_kind::membership, std::string("\0x", 2), sampleMembership };
const raft_snapshot sampleSnapshot { 3, 2, sampleMembership, "state" };

std::vector<raft_message> sampleMessages()
{
    std::vector<raft_message> messages(6, { { "a1", 1 }, { "b1", 2 }, 7, vote_request { true, true, 5, 6 } });
    messages[1].body = vote_reply { true, false };
    messages[2].body = append_request { 3, 2, 3, { sampleEntry, { 5, 2, raft_entry_kind::command, "c", {} } } };
    messages[3].body = append_reply { true, 4, 3 };
    messages[4].body = snapshot_request { sampleSnapshot };
    messages[5].body = timeout_now_request {};
    return messages;
}

} // namespace

TEST_CASE("raft messages survive their codec; cut ones are refused and damaged ones never crash")
{
    for (const raft_message& message : sampleMessages()) {
        const std::string bytes = encodeRaftMessage("control", message);
        const auto decoded = decodeRaftMessage(bytes);
        REQUIRE(decoded);
        CHECK(decoded.value() == raft_envelope { "control", message });
        for (std::size_t offset = 0; offset < bytes.size(); ++offset) {
            const auto cut = decodeRaftMessage(std::string_view(bytes).substr(0, offset));
            CHECK((!cut || !cut.value()));
            std::string damaged = bytes;
            damaged[offset] = static_cast<char>(damaged[offset] ^ 0xff);
            static_cast<void>(decodeRaftMessage(damaged));
        }
    }
}

TEST_CASE("records of the log survive their codec")
{
    CHECK(decodeRaftEntry(encodeRaftEntry(sampleEntry)).value() == sampleEntry);
    CHECK(decodeRaftSnapshot(encodeRaftSnapshot(sampleSnapshot)).value() == sampleSnapshot);
    for (const raft_hard_state& hardState : { raft_hard_state { 4, std::nullopt }, raft_hard_state { 5, raft_member_id { "a1", 3 } } })
        CHECK(decodeRaftHardState(encodeRaftHardState(hardState)).value() == hardState);
    CHECK(decodeRaftEntry("x").error().kind() == error_kind::corrupt_data);
}
