// Tests of the clocks.
#include "protocol/time.h"

#include <doctest/doctest.h>

#include <time.h>

using namespace jackdaw::protocol;

TEST_CASE("steady time counts the time during which the machine was suspended")
{
    const time_point before = steadyNow();
    timespec sinceBoot {};
    REQUIRE(clock_gettime(CLOCK_BOOTTIME, &sinceBoot) == 0);
    const time_point after = steadyNow();
    const auto expected = std::chrono::duration_cast<duration>(std::chrono::seconds(sinceBoot.tv_sec) + std::chrono::nanoseconds(sinceBoot.tv_nsec));
    CHECK(before.time_since_epoch() <= expected);
    CHECK(expected <= after.time_since_epoch());
}
