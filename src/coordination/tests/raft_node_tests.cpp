// Tests of single decisions that the simulation covers too rarely.
#include "coordination/raft_node.h"
#include "coordination/raft_replacement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <span>

using namespace jackdaw::coordination;
using namespace std::chrono_literals;

namespace {

const raft_member_id a { "a", 1 };
const raft_member_id b { "b", 1 };
const raft_member_id c { "c", 1 };
const raft_member_id d { "d", 1 };
constexpr time_point start { 1s };

raft_node makeNode(const raft_membership& membership, std::vector<raft_entry> entries = {}, std::uint64_t term = 0, bool discountsEndedVoters = false)
{
    raft_settings settings;
    settings.self = a;
    settings.discountsEndedVoters = discountsEndedVoters;
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

raft_node makeDiscountingNode(const raft_membership& membership, std::vector<raft_entry> entries = {})
{
    const std::uint64_t term = entries.empty() ? 0 : entries.back().term;
    return makeNode(membership, std::move(entries), term, true);
}

void learnThatHasEnded(raft_node& node, const raft_member_id& member)
{
    node.step(start, { { member.host, member.incarnation + 1 }, a, 0, incarnation_ended { member.incarnation } });
}

void grant(raft_node& node, std::span<const raft_member_id> voters, bool isPreVote)
{
    for (const raft_member_id& voter : voters)
        node.step(start + 1s, { voter, a, node.term() + (isPreVote ? 1 : 0), vote_reply { isPreVote, true } });
}

// Whether member a becomes the leader with the votes of these members.
bool isElectedBy(raft_node& node, const std::vector<raft_member_id>& voters)
{
    node.advance(start + 1s);
    grant(node, voters, true);
    grant(node, voters, false);
    return node.role() == raft_role::leader;
}

} // namespace

// Guards against a group that is larger by the successor of a lost host, and never decides again once another disk is lost.
TEST_CASE("half of a group of four does not decide without a voter that has ended")
{
    raft_node node = makeDiscountingNode({ { a, b, c, d }, {} });
    learnThatHasEnded(node, d);
    REQUIRE(isElectedBy(node, { b }));
    CHECK(node.discountedVoter() == d);
    acknowledge(node, b, 1);
    CHECK(node.commitIndex() == 1);
    REQUIRE(node.proposeMembership(start + 1s, { { a, b, c }, {} }));
    acknowledge(node, b, 2);
    CHECK(node.commitIndex() == 2);
}

// Guards against two halves that decide apart: a voter that is merely silent may decide with another half.
TEST_CASE("half of a group of four decides without a voter that has not ended")
{
    raft_node node = makeDiscountingNode({ { a, b, c, d }, {} });
    CHECK_FALSE(isElectedBy(node, { b }));
    raft_node neighbour = makeDiscountingNode({ { a, b, c, d }, {} });
    learnThatHasEnded(neighbour, { "d", 7 });
    CHECK_FALSE(isElectedBy(neighbour, { b }));
}

// Guards against votes and acknowledgements that were given before the voter ended.
TEST_CASE("a voter is discounted in an election that began before it was known to have ended")
{
    raft_node node = makeDiscountingNode({ { a, b, c, d }, {} });
    node.advance(start + 1s);
    learnThatHasEnded(node, d);
    grant(node, std::array { b }, true);
    CHECK(node.role() == raft_role::candidate);
    CHECK(node.term() == 0);
    raft_node leader = makeDiscountingNode({ { a, b, c, d }, {} });
    REQUIRE(isElectedBy(leader, { b, c }));
    learnThatHasEnded(leader, d);
    acknowledge(leader, b, 1);
    CHECK(leader.commitIndex() == 0);
}

// Guards against fewer than a majority of an odd group: two of five and the other three would decide apart.
TEST_CASE("an odd group discounts a voter")
{
    const raft_member_id e { "e", 1 };
    raft_node node = makeDiscountingNode({ { a, b, c, d, e }, {} });
    learnThatHasEnded(node, e);
    CHECK_FALSE(isElectedBy(node, { b }));
    raft_node pair = makeDiscountingNode({ { a, b }, {} });
    learnThatHasEnded(pair, b);
    CHECK_FALSE(isElectedBy(pair, {}));
}

// Guards against a majority of the three former voters that decides beside two of the four.
TEST_CASE("a voter is discounted in a membership that is not known to be committed")
{
    const raft_entry promotion { 1, 1, raft_entry_kind::membership, {}, { { a, b, c, d }, {} } };
    raft_node node = makeDiscountingNode({ { a, b, c }, { d } }, { promotion });
    learnThatHasEnded(node, c);
    CHECK_FALSE(isElectedBy(node, { b }));
    raft_node other = makeDiscountingNode({ { a, b, c }, { d } }, { promotion });
    learnThatHasEnded(other, c);
    CHECK(isElectedBy(other, { b, d }));
}

// Guards against two of four voters that decide, without an ended one, beside a majority of the three that are left after a removal.
TEST_CASE("a removal from a group of four is committed, or decides an election, without a quorum of the four")
{
    const raft_membership reduced { { a, b, c }, {} };
    raft_node node = makeDiscountingNode({ { a, b, c, d }, {} }, { { 1, 1, raft_entry_kind::membership, {}, reduced } });
    CHECK_FALSE(isElectedBy(node, { b }));
    raft_node leader = makeDiscountingNode({ { a, b, c, d }, {} });
    REQUIRE(isElectedBy(leader, { b, c }));
    acknowledge(leader, b, 1);
    acknowledge(leader, c, 1);
    REQUIRE(leader.proposeMembership(start + 1s, reduced));
    acknowledge(leader, b, 2);
    CHECK(leader.commitIndex() == 1);
    acknowledge(leader, d, 2);
    CHECK(leader.commitIndex() == 2);
    leader.propose(start + 1s, "x");
    acknowledge(leader, b, 3);
    CHECK(leader.commitIndex() == 3);
}

// Guards against a host that keeps silent on its lost incarnation, and against one that claims an end where nobody may rely on it.
TEST_CASE("a host does not tell that its earlier incarnation has ended")
{
    const raft_member_id lost { "a", 0 };
    raft_node node = makeDiscountingNode({});
    node.step(start, { b, lost, 5, vote_request { true, false, 9, 5 } });
    const auto answers = node.takeReady().messages;
    REQUIRE(answers.size() == 1);
    CHECK(answers.front() == raft_message { a, b, 0, incarnation_ended { 0 } });
    node.step(start, { b, lost, 5, vote_reply { true, true } });
    node.step(start, { b, { "c", 1 }, 5, vote_request {} });
    CHECK(node.takeReady().isEmpty());
    CHECK(node.term() == 0);
    raft_node other = makeNode({ { a, b, c }, {} });
    other.step(start, { b, lost, 5, vote_request {} });
    CHECK(other.takeReady().isEmpty());
}

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
