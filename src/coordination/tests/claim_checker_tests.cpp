// Simulations of claims under faults, and mutations that the checker must detect.
#include "coordination/tests/claim_simulation.h"

#include "protocol/claim_codec.h"

#include <doctest/doctest.h>

using namespace jackdaw::coordination;
using namespace jackdaw::coordination::tests;
using namespace jackdaw::protocol;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t checkedSeeds = 1000;
constexpr std::uint64_t twoVoterSeeds = 100; // in addition, with two voters
constexpr std::uint64_t timedSeeds = 200;
constexpr std::uint64_t mutationSeeds = 400;

// True if the checker detects the mutation with one of the seeds.
bool isDetected(const claim_mutation& mutation, claim_violation wanted)
{
    for (std::uint64_t seed = 1; seed <= mutationSeeds; ++seed) {
        if (claim_simulation({ seed, 25s, 3, mutation }).run() == wanted)
            return true;
    }
    return false;
}

template <typename Message>
claim_mutation mutating(std::function<void(Message& message)> change)
{
    claim_mutation mutation;
    mutation.onMessage = [change](claim_message& message) {
        if (auto* found = std::get_if<Message>(&message))
            change(*found);
    };
    return mutation;
}

} // namespace

TEST_CASE("no submission is granted twice under faults")
{
    std::uint64_t grants = 0;
    std::uint64_t leaves = 0;
    for (std::uint64_t seed = 1; seed <= checkedSeeds + twoVoterSeeds; ++seed) {
        CAPTURE(seed);
        claim_simulation simulation({ seed, 25s, seed > checkedSeeds ? 2U : 3U });
        REQUIRE(simulation.run() == claim_violation::none);
        grants += simulation.grants();
        leaves += simulation.leaves();
    }
    MESSAGE("grants in all seeds: " << grants << ", planned leaves: " << leaves);
    CHECK(leaves > 0);
}

TEST_CASE("after the loss of the leader the next claim is granted within 3 s")
{
    jackdaw::protocol::duration longest {};
    for (std::uint64_t seed = 1; seed <= timedSeeds; ++seed)
        longest = std::max(longest, claim_simulation({ seed, 0s }).timeToGrantAfterLeaderLoss());
    MESSAGE("longest: " << longest.count() << " us");
    CHECK(longest <= 3s);
}

TEST_CASE("after a restart of all hosts new submissions are granted")
{
    jackdaw::protocol::duration longest {};
    for (std::uint64_t seed = 1; seed <= timedSeeds; ++seed)
        longest = std::max(longest, claim_simulation({ seed, 0s }).timeToGrantAfterRestartOfAll());
    MESSAGE("longest: " << longest.count() << " us");
    CHECK(longest <= 10s);
}

TEST_CASE("after a planned stop of a voter claims are granted, also with one voter left")
{
    jackdaw::protocol::duration longest {};
    for (std::uint64_t seed = 1; seed <= timedSeeds; ++seed) {
        claim_simulation simulation({ seed, 0s, seed % 2 == 0 ? 2U : 3U });
        longest = std::max(longest, simulation.timeToGrantAfterPlannedStop(seed % 4 < 2));
        CHECK(simulation.leaves() == 1);
    }
    MESSAGE("longest: " << longest.count() << " us");
    CHECK(longest <= 3s);
}

// With fewer voters than the minimum, hosts that left could return and found a second generation.
TEST_CASE("a second planned stop does not reduce the voters below the minimum")
{
    CHECK(claim_simulation({ 1, 0s, 3 }).leavesOfTwoStops() == 1);
}

TEST_CASE("the checker detects a planned stop that does not leave the group")
{
    claim_mutation mutation;
    mutation.stopsWithoutLeaving = true;
    CHECK(claim_simulation({ 1, 0s, 2, mutation }).timeToGrantAfterPlannedStop(true) > 3s);
}

TEST_CASE("the checker detects a host that restarts under its old incarnation")
{
    claim_mutation mutation;
    mutation.keepsIncarnation = true;
    CHECK(isDetected(mutation, claim_violation::granted_twice));
}

TEST_CASE("the checker detects a generation whose first knownSince is too early")
{
    claim_mutation mutation;
    mutation.hasStaleClockAtStart = true;
    CHECK(isDetected(mutation, claim_violation::granted_twice));
}

TEST_CASE("the checker detects voter lists that differ")
{
    claim_mutation mutation;
    mutation.splitsVoterLists = true;
    CHECK(isDetected(mutation, claim_violation::granted_twice));
}

TEST_CASE("the checker detects a wrong holder")
{
    const auto mutation = mutating<claim_reply>([](claim_reply& reply) {
        for (claim_answer& answer : reply.answers)
            answer.holder.host = "nobody";
    });
    CHECK(isDetected(mutation, claim_violation::holder_changed));
}

TEST_CASE("the checker detects a false refusal")
{
    const auto mutation = mutating<claim_reply>([](claim_reply& reply) {
        for (claim_answer& answer : reply.answers)
            answer.outcome = claim_outcome::from_future;
    });
    CHECK(isDetected(mutation, claim_violation::false_refusal));
}

TEST_CASE("the checker detects voters whose tables differ")
{
    const auto mutation = mutating<claim_raft_message>([](claim_raft_message& raft) {
        auto* append = std::get_if<jackdaw::protocol::append_request>(&raft.message.body);
        for (std::size_t i = 0; append && i < append->entries.size(); ++i)
            append->entries[i].data = encode(claim_command { 0ms, std::nullopt, {} });
    });
    CHECK(isDetected(mutation, claim_violation::voters_differ));
}

TEST_CASE("the checker detects a group that never forms")
{
    const auto mutation = mutating<claim_hello>([](claim_hello& hello) { ++hello.incarnation; });
    CHECK(isDetected(mutation, claim_violation::not_live));
}

TEST_CASE("the checker detects a message storm")
{
    claim_mutation mutation;
    mutation.resendsImmediately = true;
    CHECK(isDetected(mutation, claim_violation::message_storm));
}
