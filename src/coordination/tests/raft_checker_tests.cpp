// Simulations of Raft under faults, and mutations that the checker must detect. JACKDAW_RAFT_SEEDS sets the number of seeds.
#include "coordination/tests/raft_simulation.h"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace jackdaw::coordination;
using namespace jackdaw::coordination::tests;

namespace {

// For each kind of group.
const std::uint64_t checkedSeeds = std::getenv("JACKDAW_RAFT_SEEDS") ? std::strtoull(std::getenv("JACKDAW_RAFT_SEEDS"), nullptr, 10) : 500;
constexpr std::uint64_t mutationSeeds = 300;

raft_simulation_settings settingsFor(std::uint64_t seed)
{
    raft_simulation_settings settings;
    settings.seed = seed;
    settings.hosts = seed % 2 == 0 ? 3 : 5;
    return settings;
}

raft_simulation_settings discountingSettings(std::uint64_t seed)
{
    raft_simulation_settings settings;
    settings.seed = seed;
    settings.hosts = 3 + seed % 4;
    settings.discountsEndedVoters = true;
    return settings;
}

// Returns the first seed that ends with the given violation; 0 if there is none.
std::uint64_t firstDetectingSeed(raft_violation wanted, const raft_mutation& mutation)
{
    for (std::uint64_t seed = 1; seed <= mutationSeeds; ++seed) {
        raft_simulation_settings settings = settingsFor(seed);
        settings.mutation = mutation;
        if (raft_simulation(settings).run() == wanted)
            return seed;
    }
    return 0;
}

} // namespace

TEST_CASE("a group with disks keeps all invariants under faults")
{
    for (std::uint64_t seed = 1; seed <= checkedSeeds; ++seed) {
        CAPTURE(seed);
        REQUIRE(raft_simulation(settingsFor(seed)).run() == raft_violation::none);
    }
}

TEST_CASE("a group in memory keeps all invariants under faults")
{
    for (std::uint64_t seed = 1; seed <= checkedSeeds; ++seed) {
        CAPTURE(seed);
        raft_simulation_settings settings = settingsFor(seed);
        settings.hasDisks = false;
        REQUIRE(raft_simulation(settings).run() == raft_violation::none);
    }
}

// Guards the rule by which half of an even group decides (raft_quorum.h).
TEST_CASE("two halves of a group decide apart, or a group without an ended voter never decides again")
{
    for (std::uint64_t seed = 1; seed <= checkedSeeds; ++seed) {
        CAPTURE(seed);
        REQUIRE(raft_simulation(discountingSettings(seed)).run() == raft_violation::none);
    }
}

TEST_CASE("the checker detects living voters that are taken for ended")
{
    const auto isDetected = [](std::uint64_t seed) {
        int replies = 0;
        raft_simulation_settings settings = discountingSettings(seed);
        settings.hosts = 4;
        settings.mutation.onMessage = [&replies](raft_message& message) {
            const bool isReply = std::holds_alternative<append_reply>(message.body) || std::holds_alternative<vote_reply>(message.body);
            if (!isReply || ++replies % 2 != 0)
                return;
            message.term = 0;
            message.body = incarnation_ended { message.from.incarnation };
        };
        const raft_violation found = raft_simulation(settings).run();
        return found == raft_violation::two_leaders_in_a_term || found == raft_violation::committed_lost;
    };
    bool isFound = false;
    for (std::uint64_t seed = 1; seed <= mutationSeeds && !isFound; ++seed)
        isFound = isDetected(seed);
    CHECK(isFound);
}

TEST_CASE("the checker detects a refused vote that is counted")
{
    raft_mutation mutation;
    mutation.onMessage = [](raft_message& message) {
        if (auto* reply = std::get_if<vote_reply>(&message.body); reply && !reply->preVote)
            reply->granted = true;
    };
    CHECK(firstDetectingSeed(raft_violation::two_leaders_in_a_term, mutation) > 0);
}

TEST_CASE("the checker detects a vote that was not stored")
{
    raft_mutation mutation;
    mutation.skipsVoteStorage = true;
    CHECK(firstDetectingSeed(raft_violation::voted_twice, mutation) > 0);
}

TEST_CASE("the checker detects acknowledged entries that are not in the log")
{
    raft_mutation mutation;
    mutation.onMessage = [](raft_message& message) {
        if (auto* reply = std::get_if<append_reply>(&message.body); reply && reply->accepted)
            reply->matchIndex += 3;
    };
    CHECK(firstDetectingSeed(raft_violation::committed_lost, mutation) > 0);
}

TEST_CASE("the checker detects entries that were not stored")
{
    raft_mutation mutation;
    mutation.skipsEntryStorage = true;
    CHECK(firstDetectingSeed(raft_violation::committed_changed, mutation) > 0);
}

TEST_CASE("the checker detects a state machine that did not restore a snapshot")
{
    raft_mutation mutation;
    mutation.skipsSnapshotRestore = true;
    CHECK(firstDetectingSeed(raft_violation::state_diverged, mutation) > 0);
}

TEST_CASE("the checker detects a member that never catches up")
{
    raft_mutation mutation;
    mutation.onMessage = [](raft_message& message) {
        if (std::holds_alternative<snapshot_request>(message.body))
            message.term = 0;
    };
    CHECK(firstDetectingSeed(raft_violation::not_rejoined, mutation) > 0);
}

TEST_CASE("the checker detects a member that lost its disk and kept its incarnation")
{
    raft_mutation mutation;
    mutation.keepsIncarnation = true;
    CHECK(firstDetectingSeed(raft_violation::lost_incarnation_sent, mutation) > 0);
}
