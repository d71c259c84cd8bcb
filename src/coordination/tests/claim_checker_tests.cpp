// Seeded checks of claims under faults, and mutations that the checker must notice.
#include "coordination/tests/claim_simulation.h"

#include <doctest/doctest.h>

using namespace jackdaw::coordination;
using namespace jackdaw::coordination::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t checkedSeeds = 1000;
constexpr std::uint64_t timedSeeds = 200;
constexpr std::uint64_t mutationSeeds = 400;

// The first seed in which the checker notices a second grant; 0 if there is none.
std::uint64_t seedThatFinds(const claim_mutation& mutation)
{
    for (std::uint64_t seed = 1; seed <= mutationSeeds; ++seed) {
        const claim_violation found = claim_simulation({ seed, 25s, mutation }).run();
        if (found == claim_violation::granted_twice || found == claim_violation::holder_changed)
            return seed;
    }
    return 0;
}

} // namespace

TEST_CASE("no submission is granted twice under faults")
{
    std::uint64_t grants = 0;
    for (std::uint64_t seed = 1; seed <= checkedSeeds; ++seed) {
        CAPTURE(seed);
        claim_simulation simulation({ seed, 25s, {} });
        REQUIRE(simulation.run() == claim_violation::none);
        grants += simulation.grants();
    }
    MESSAGE("grants in all seeds: " << grants);
}

TEST_CASE("after the loss of the leader the next claim is granted within 3 s")
{
    duration longest {};
    for (std::uint64_t seed = 1; seed <= timedSeeds; ++seed)
        longest = std::max(longest, claim_simulation({ seed, 0s, {} }).timeToGrantAfterLeaderLoss());
    MESSAGE("longest: " << longest.count() << " us");
    CHECK(longest <= 3s);
}

TEST_CASE("after a restart of all hosts new submissions are granted")
{
    duration longest {};
    for (std::uint64_t seed = 1; seed <= timedSeeds; ++seed)
        longest = std::max(longest, claim_simulation({ seed, 0s, {} }).timeToGrantAfterRestartOfAll());
    MESSAGE("longest: " << longest.count() << " us");
    CHECK(longest <= 10s);
}

TEST_CASE("the checker notices a host that restarts under its old incarnation")
{
    claim_mutation mutation;
    mutation.keepsIncarnation = true;
    CHECK(seedThatFinds(mutation) > 0);
}

TEST_CASE("the checker notices Raft messages that cross generations")
{
    claim_mutation mutation;
    mutation.mixesGenerations = true;
    CHECK(seedThatFinds(mutation) > 0);
}

TEST_CASE("the checker notices a generation that opens with too long a memory")
{
    claim_mutation mutation;
    mutation.hasStaleClockAtStart = true;
    CHECK(seedThatFinds(mutation) > 0);
}

TEST_CASE("the checker notices voter lists that differ")
{
    claim_mutation mutation;
    mutation.splitsVoterLists = true;
    CHECK(seedThatFinds(mutation) > 0);
}
