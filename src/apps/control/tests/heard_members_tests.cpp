// Tests of which members of the control group count as live.
#include "apps/control/heard_members.h"

#include "coordination/raft_replacement.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace jackdaw;
using control::heard_members;
using protocol::raft_member_id;

namespace {

constexpr protocol::duration silenceLimit = std::chrono::seconds(3);
constexpr protocol::time_point start { std::chrono::seconds(100) };
const raft_member_id lost { "b1", 1 };
const raft_member_id returned { "b1", 2 };

} // namespace

TEST_CASE("a member is live until it was not heard for the silence limit")
{
    heard_members heard(silenceLimit, {});
    heard.hear(start, lost);
    CHECK(heard.live(start + silenceLimit) == std::vector { lost });
    CHECK(heard.live(start + silenceLimit + protocol::duration(1)).empty());
}

TEST_CASE("a new incarnation replaces the former one, whose late messages change nothing")
{
    heard_members heard(silenceLimit, {});
    heard.hear(start, lost);
    heard.hear(start, returned);
    heard.hear(start, lost);
    CHECK(heard.live(start) == std::vector { returned });
}

// Guards against a voter that was removed at its planned stop and is taken in again while it stops, or not once it is back.
TEST_CASE("a member that stops is silent until it is heard again")
{
    heard_members heard(silenceLimit, {});
    heard.hear(start, returned);
    CHECK_FALSE(heard.hearStopping(lost));
    CHECK_FALSE(heard.isSilent(start, returned));
    CHECK(heard.hearStopping(returned));
    CHECK_FALSE(heard.hearStopping(returned));
    CHECK(heard.hearStopping({ "a1", 1 }));
    CHECK(heard.isSilent(start, { "a1", 1 }));
    CHECK(heard.isSilent(start, returned));
    CHECK(heard.live(start).empty());
    heard.hear(start, returned);
    CHECK_FALSE(heard.isSilent(start, returned));
    CHECK(heard.live(start) == std::vector { returned });
}

TEST_CASE("a host whose disk was lost returns once, and its lost incarnation never again")
{
    heard_members heard(silenceLimit, {});
    heard.hear(start, { "a1", 1 });
    heard.hear(start, { "c1", 1 });
    heard.hear(start, lost);
    heard.hear(start, returned);
    protocol::raft_membership membership { { { "a1", 1 }, lost, { "c1", 1 } }, {} };
    constexpr int moreThanEnoughChanges = 10;
    for (int i = 0; i < moreThanEnoughChanges; ++i) {
        const auto plan = coordination::planReplacement(membership, heard.live(start), 1, [](const raft_member_id&) { return true; });
        if (!plan)
            break;
        membership = *plan;
        heard.hear(start, lost);
    }
    CHECK(membership.learners.empty());
    CHECK(membership.voters.size() == 3);
    CHECK(std::find(membership.voters.begin(), membership.voters.end(), lost) == membership.voters.end());
    CHECK(std::find(membership.voters.begin(), membership.voters.end(), returned) != membership.voters.end());
}
