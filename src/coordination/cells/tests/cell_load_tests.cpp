// What jobs earn under replayed load. The bounds are the targets of the design, from a model of one dispatcher for each zone.
#include "coordination/cells/tests/cell_load.h"

#include <doctest/doctest.h>

using namespace jackdaw::cells::tests;

namespace {

constexpr int seeds = 8;

double meanWorth(const load_pattern& pattern)
{
    double worth = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const load_result result = replayLoad(pattern, seed);
        CHECK(result.doubleRuns == 0);
        CHECK(result.overfills == 0);
        worth += result.worth / seeds;
    }
    return worth;
}

} // namespace

TEST_CASE("a third of a zone's capacity is served almost whole")
{
    CHECK(meanWorth({ .jobsPerSecond = 30 }) >= 0.98);
}

TEST_CASE("at 78 % of the cores nineteen of twenty are in time: slow upstreams get only what they can end in time")
{
    CHECK(meanWorth({ .jobsPerSecond = 50 }) >= 0.94);
}

TEST_CASE("bursts of 1.8 over a zone's capacity keep most of the worth")
{
    CHECK(meanWorth({ .jobsPerSecond = 67, .burst = 1.8 }) >= 0.7);
}

TEST_CASE("two upstreams that fail all they start cost little more than their share")
{
    CHECK(meanWorth({ .jobsPerSecond = 50, .fault = upstream_fault::failing }) >= 0.9);
}

TEST_CASE("two upstreams whose tasks stand still cost little more than their share")
{
    CHECK(meanWorth({ .jobsPerSecond = 50, .fault = upstream_fault::hung_tasks }) >= 0.9);
}

// 0.94 at this load, less half of the jobs with an unanswered start, which for half of the time are a third of the widest: the
// other half must go elsewhere in time.
TEST_CASE("upstreams that leave a twentieth of the calls unanswered still serve")
{
    CHECK(meanWorth({ .jobsPerSecond = 50, .fault = upstream_fault::delayed_calls, .faultyUpstreams = 16 }) >= 0.83);
}

// 0.94 at this load, less the share of the cores that is lost: 3 of 16 for half of the time, by five sixths.
TEST_CASE("three upstreams that turn six times slower are found out by their running tasks")
{
    CHECK(meanWorth({ .jobsPerSecond = 50, .slowdown = 6 }) >= 0.86);
}
