// Tests of finding starving groups.
#include "coordination/cells/internal/group_shares.h"

#include <doctest/doctest.h>

using namespace jackdaw::cells::internal;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point start { seconds(100) };

cell_job makeJob(std::uint32_t tasks, std::uint32_t priority = 0)
{
    job_order order;
    order.id = "j";
    order.priority = priority;
    order.steps = { { tasks, { 8000, 64, 0 }, 50, {}, "", "", 0 } };
    return cell_job(order, start);
}

void add(group_shares& shares, time_point now, const cell_job& job, std::string_view origin, int accepted, int refused)
{
    for (int i = 0; i < accepted + refused; ++i) {
        const auto groups = shares.groupsOf(now, job, origin);
        i < accepted ? shares.onAccepted(now, groups) : shares.onRefused(now, groups);
    }
}

} // namespace

TEST_CASE("an origin whose jobs are refused most of the time goes unnoticed")
{
    group_shares shares;
    add(shares, start, makeJob(2), "a", 80, 20);
    add(shares, start, makeJob(2), "b", 6, 19);
    CHECK(shares.isStarving(start, shares.groupsOf(start, makeJob(2), "b")));
    CHECK(!shares.isStarving(start, shares.groupsOf(start, makeJob(2), "a")));
}

TEST_CASE("the largest jobs are refused most of the time, and go unnoticed")
{
    group_shares shares;
    for (int i = 0; i < 20; ++i) {
        const time_point now = start + i * milliseconds(100);
        add(shares, now, makeJob(2), "a", 9, 0);
        add(shares, now, makeJob(16), "a", 0, 2);
    }
    const time_point now = start + seconds(2);
    CHECK(shares.isStarving(now, shares.groupsOf(now, makeJob(16), "a")));
    CHECK(!shares.isStarving(now, shares.groupsOf(now, makeJob(2), "a")));
}

TEST_CASE("a group goes first because of a few refusals by chance, or of old ones")
{
    group_shares shares;
    add(shares, start, makeJob(2), "a", 80, 20);
    add(shares, start, makeJob(2), "b", 0, 19);
    CHECK(!shares.isStarving(start, shares.groupsOf(start, makeJob(2), "b")));
    add(shares, start, makeJob(2), "b", 0, 10);
    CHECK(shares.isStarving(start, shares.groupsOf(start, makeJob(2), "b")));
    CHECK(!shares.isStarving(start + seconds(5), shares.groupsOf(start + seconds(5), makeJob(2), "b")));
}

TEST_CASE("jobs that are accepted and given up later count as accepted")
{
    group_shares shares;
    add(shares, start, makeJob(2), "a", 80, 20);
    add(shares, start, makeJob(2), "b", 25, 0);
    for (int i = 0; i < 22; ++i)
        shares.onGivenUp(start, shares.groupsOf(start, makeJob(2), "b"));
    CHECK(shares.isStarving(start, shares.groupsOf(start, makeJob(2), "b")));
}

TEST_CASE("refused jobs that were handed over lower the share of all jobs, and hide starving groups")
{
    group_shares shares;
    add(shares, start, makeJob(2), "a", 80, 20);
    add(shares, start, makeJob(2), "b", 6, 19);
    for (int i = 0; i < 60; ++i)
        shares.onGivenUp(start, {});
    CHECK(shares.isStarving(start, shares.groupsOf(start, makeJob(2), "b")));
}
