// Tests of single decisions that the simulation covers too rarely.
#include "coordination/raft_node.h"
#include "coordination/raft_replacement.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace jackdaw::coordination;
using namespace std::chrono_literals;

namespace {

const raft_member_id a { "a", 1 };
const raft_member_id b { "b", 1 };
const raft_member_id c { "c", 1 };
const raft_member_id d { "d", 1 };
constexpr time_point start { 1s };

raft_node makeNode(const raft_membership& membership, std::vector<raft_entry> entries = {}, std::uint64_t term = 0)
{
    raft_settings settings;
    settings.self = a;
    return { settings, { { term, {} }, { 0, 0, membership, {} }, std::move(entries) }, start };
}

// Makes member a the leader, with the vote of b.
void elect(raft_node& node)
{
    node.advance(start + 1s);
    node.step(start + 1s, { b, a, node.term() + 1, vote_reply { true, true } });
    node.step(start + 1s, { b, a, node.term(), vote_reply { false, true } });
    REQUIRE(node.role() == raft_role::leader);
    node.takeReady();
}

void acknowledge(raft_node& node, const raft_member_id& from, std::uint64_t index)
{
    node.step(start + 1s, { from, a, node.term(), append_reply { true, index, index } });
    node.takeReady();
}

} // namespace

TEST_CASE("an entry of an older term commits only with an entry of the leader's own term")
{
    raft_node node = makeNode({ { a, b, c }, {} }, { { 1, 1, raft_entry_kind::command, "old", {} } }, 1);
    elect(node);
    acknowledge(node, b, 1);
    CHECK(node.commitIndex() == 0);
    acknowledge(node, b, 2);
    CHECK(node.commitIndex() == 2);
}

TEST_CASE("learners do not count towards a majority")
{
    raft_node node = makeNode({ { a, b, c }, { d } });
    elect(node);
    acknowledge(node, d, 1);
    CHECK(node.commitIndex() == 0);
    acknowledge(node, c, 1);
    CHECK(node.commitIndex() == 1);
}

TEST_CASE("the membership changes one voter at a time, after an entry of the leader's own term")
{
    raft_node node = makeNode({ { a, b, c }, { d } });
    elect(node);
    CHECK_FALSE(node.proposeMembership(start + 1s, { { a, b }, { d } }));
    acknowledge(node, b, 1);
    CHECK_FALSE(node.proposeMembership(start + 1s, { { a }, { d } }));
    CHECK_FALSE(node.proposeMembership(start + 1s, { { a, b, c, d }, {} })); // d has not caught up
    CHECK_FALSE(node.proposeMembership(start + 1s, { { a, b, c, { "c", 2 } }, { d } }));
    REQUIRE(node.proposeMembership(start + 1s, { { a, b }, { d } }));
    CHECK(node.membership().voters.size() == 2);
    CHECK_FALSE(node.proposeMembership(start + 1s, { { a, b }, {} })); // the previous change is not committed
}

TEST_CASE("truncating a membership entry restores the previous membership")
{
    const raft_membership founders { { a, b, c }, {} };
    raft_node node = makeNode(founders);
    node.step(start, { b, a, 1, append_request { 0, 0, 0, { { 1, 1, raft_entry_kind::membership, {}, { { a, b, c }, { d } } } } } });
    CHECK(node.membership().learners.size() == 1);
    node.step(start, { c, a, 2, append_request { 0, 0, 0, { { 1, 2, raft_entry_kind::noop, {}, {} } } } });
    CHECK(node.membership() == founders);
}

TEST_CASE("a single voter commits without replies")
{
    raft_node node = makeNode({ { a }, {} });
    node.advance(start + 1s);
    REQUIRE(node.propose(start + 1s, "x"));
    CHECK(node.takeReady().committed.size() == 2);
}

TEST_CASE("a member in contact with its leader ignores candidates")
{
    raft_node node = makeNode({ { a, b, c }, {} });
    node.step(start, { b, a, 1, append_request {} });
    node.takeReady();
    node.step(start + 100ms, { c, a, 9, vote_request { false, false, 9, 9 } });
    CHECK(node.term() == 1);
    CHECK(node.takeReady().isEmpty());
}

TEST_CASE("a learner resets a silent leader and never campaigns")
{
    raft_node node = makeNode({ { b, c }, { a } });
    node.step(start, { b, a, 1, append_request {} });
    node.takeReady();
    CHECK(node.leader() == b);
    node.advance(node.nextTimer());
    CHECK_FALSE(node.leader());
    CHECK(node.takeReady().isEmpty());
}

TEST_CASE("an idle leader sends only heartbeats, and steps down without contact to a quorum")
{
    raft_node node = makeNode({ { a, b, c }, {} });
    elect(node);
    acknowledge(node, b, 1);
    acknowledge(node, c, 1);
    node.advance(start + 1050ms);
    CHECK(node.takeReady().messages.empty());
    node.advance(start + 1100ms);
    CHECK(node.takeReady().messages.size() == 2);
    node.advance(start + 1600ms);
    node.advance(start + 2200ms);
    CHECK(node.role() != raft_role::leader);
}

TEST_CASE("proposals between two calls of takeReady are sent in one append")
{
    raft_node node = makeNode({ { a, b, c }, {} });
    elect(node);
    acknowledge(node, b, 1);
    acknowledge(node, c, 1);
    for (int i = 0; i < 100; ++i)
        node.propose(start + 1s, "x");
    CHECK(node.takeReady().messages.size() == 2);
}

TEST_CASE("a silent voter is removed only if there are more voters than wanted")
{
    const raft_member_id hostA { "a", 1 };
    const raft_member_id hostB { "b", 1 };
    const raft_member_id hostC { "c", 1 };
    const raft_member_id hostD { "d", 1 };
    const std::vector<raft_member_id> live { hostA, hostB, hostD };
    const auto isSilent = [&live](const raft_member_id& member) { return std::ranges::find(live, member) == live.end(); };
    const auto plan = planRemoval({ { hostA, hostB, hostC, hostD }, {} }, 3, isSilent);
    REQUIRE(plan);
    CHECK(plan->voters == std::vector<raft_member_id> { hostA, hostB, hostD });
    CHECK_FALSE(planRemoval({ { hostA, hostB, hostC }, {} }, 3, isSilent));
    CHECK_FALSE(planRemoval({ { hostA, hostB, hostD }, { hostC } }, 2, isSilent));
}
