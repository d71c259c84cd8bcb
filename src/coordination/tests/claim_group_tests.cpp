// Tests of single rules of claims that the simulation covers too rarely.
#include "coordination/claim_service.h"
#include "coordination/claim_table.h"
#include "coordination/internal/claim_group.h"
#include "coordination/raft_replacement.h"

#include <doctest/doctest.h>

using namespace jackdaw::coordination;
using namespace jackdaw::protocol;
using namespace std::chrono_literals;

namespace {

using jackdaw::protocol::time_point;

constexpr time_point start { 1s };
constexpr unix_milliseconds unixStart { 1'700'000'000'000 };
const claim_coordinator coordinator { "a", 1 };

submission_id submissionAt(unix_milliseconds time)
{
    return makeSubmissionId(time, 1, 2);
}

struct group_fixture {
    std::vector<claim_message> sent;
    claim_group group { settings(), hooks(), start };

    static claim_group_settings settings()
    {
        claim_group_settings wanted;
        wanted.host = "a";
        wanted.incarnation = 10;
        wanted.voters = { "a", "b", "c" };
        return wanted;
    }

    claim_group_hooks hooks()
    {
        return { [this](const std::string&, const claim_message& message) { sent.push_back(message); }, [](const std::string&) {},
            [](const std::string&) {}, [] {}, [] {}, [] { return std::string(); } };
    }
};

claim_answer applyOne(claim_table& table, unix_milliseconds time, const claim_entry& claim)
{
    claim_answer answer;
    table.apply({ time, unixStart, { { coordinator, { claim } } } }, [&](const claim_coordinator&, const claim_answer& received) { answer = received; });
    return answer;
}

} // namespace

TEST_CASE("a host that left a generation has a new incarnation and ignores messages to the old one")
{
    group_fixture fixture;
    const claim_generation generation { "b", 20 };
    fixture.group.step(start, "b", claim_bootstrap { generation, { { "a", 10 }, { "b", 20 } } });
    REQUIRE(fixture.group.generation() == generation);
    for (time_point now = start; now < start + 3s; now += 50ms)
        fixture.group.advance(now);
    CHECK_FALSE(fixture.group.generation());
    CHECK(fixture.group.self().incarnation != 10);
    fixture.sent.clear();
    fixture.group.step(start + 3s, "b", claim_raft_message { generation, { { "b", 20 }, { "a", 10 }, 2, vote_request { false, false, 1, 1 } } });
    CHECK(fixture.sent.empty());
    CHECK_FALSE(fixture.group.generation());
}

TEST_CASE("a member takes part in one generation only")
{
    group_fixture fixture;
    fixture.group.step(start, "b", claim_bootstrap { { "b", 20 }, { { "a", 10 }, { "b", 20 } } });
    fixture.group.step(start, "c", claim_bootstrap { { "c", 30 }, { { "a", 10 }, { "c", 30 } } });
    CHECK(fixture.group.generation() == claim_generation { "b", 20 });
    fixture.sent.clear();
    fixture.group.step(start, "c", claim_raft_message { { "c", 30 }, { { "c", 30 }, { "a", 10 }, 5, append_request {} } });
    CHECK(fixture.sent.empty());
}

TEST_CASE("a lost voter stays in the membership while too few other voters remain")
{
    const raft_membership two { { { "a", 1 }, { "b", 1 } }, { { "b", 2 } } };
    const std::vector<raft_member_id> live { { "b", 2 } };
    const auto always = [](const raft_member_id&) { return true; };
    CHECK_FALSE(planReplacement(two, live, 2, always));
    const raft_membership three { { { "a", 1 }, { "b", 1 }, { "c", 1 } }, { { "b", 2 } } };
    CHECK(planReplacement(three, live, 2, always)->voters.size() == 2);
}

TEST_CASE("a claim is granted to one attempt only")
{
    claim_table table({});
    const submission_id submission = submissionAt(unixStart);
    CHECK(applyOne(table, unixStart, { submission, 1, 7 }).outcome == claim_outcome::granted);
    CHECK(applyOne(table, unixStart, { submission, 1, 7 }).outcome == claim_outcome::granted); // resent
    CHECK(applyOne(table, unixStart, { submission, 2, 7 }).outcome == claim_outcome::held);
    CHECK(applyOne(table, unixStart, { submission, 3, 8 }).outcome == claim_outcome::mismatch);
}

TEST_CASE("claims expire by the commands' time, and submissions from before knownSince are refused")
{
    claim_table table({});
    const submission_id submission = submissionAt(unixStart);
    applyOne(table, unixStart, { submission, 1, 7 });
    CHECK(applyOne(table, unixStart + 15min, { submission, 2, 7 }).outcome == claim_outcome::held);
    CHECK(applyOne(table, unixStart + 15min + 1ms, { submission, 3, 7 }).outcome == claim_outcome::too_old);
    CHECK(table.size() == 0);
    CHECK(applyOne(table, unixStart, { submission, 4, 7 }).outcome == claim_outcome::too_old); // the table's time never decreases
    CHECK(applyOne(table, unixStart, { submissionAt(unixStart + 17min), 5, 7 }).outcome == claim_outcome::from_future);
}

TEST_CASE("a claim table is restored from its snapshot, and an invalid snapshot leaves it unchanged")
{
    claim_table table({});
    const claim_entry claim { submissionAt(unixStart), 1, 7 };
    applyOne(table, unixStart, claim);
    claim_table restored({});
    REQUIRE(restored.restore(table.snapshot()));
    CHECK(restored.knownSince() == table.knownSince());
    CHECK(restored.find(coordinator, claim)->outcome == claim_outcome::granted);
    CHECK_FALSE(restored.restore("garbage"));
    CHECK(restored.size() == 1);
}
