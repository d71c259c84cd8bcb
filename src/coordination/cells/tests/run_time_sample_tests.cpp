// Tests of run times that are learned under an owner's own delay.
#include "coordination/cells/internal/run_time_sample.h"

#include "coordination/cells/internal/placement.h"

#include <doctest/doctest.h>

using namespace jackdaw::cells::internal;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point start { seconds(100) };

run_record makeRun(std::int64_t startClockMs, std::int64_t listedClockMs, double expectedMs = 50)
{
    run_record run;
    run.since = start;
    run.expectedMs = expectedMs;
    run.startClockMs = startClockMs;
    run.listedClockMs = listedClockMs;
    return run;
}

} // namespace

TEST_CASE("an end that the owner reads late does not lengthen the run")
{
    const time_point readAt = start + milliseconds(400);
    constexpr milliseconds delay(300);
    CHECK(sampleRunTime(readAt, makeRun(1000, 0), 1060, 200, delay) == 60);
    CHECK(sampleRunTime(readAt, makeRun(1000, 1040), 1060, 20, delay) == 40);
    CHECK(sampleRunTime(readAt, makeRun(1000, 1040), 1060, 55, delay) == 55);
    CHECK(sampleRunTime(readAt, makeRun(1000, 0), 1060, 200, {}) == 60);
}

TEST_CASE("the run time on a slow upstream is not learned between two of its lists")
{
    CHECK(sampleRunTime(start + milliseconds(100), makeRun(1000, 0), 1100, 50, milliseconds(2)) == 98);
}

TEST_CASE("bounds wider than the declared run time do not confirm an estimate")
{
    CHECK(!sampleRunTime(start + milliseconds(400), makeRun(1000, 0), 1300, 200, milliseconds(100)));
    CHECK(sampleRunTime(start + milliseconds(400), makeRun(1000, 0), 1300, 500, milliseconds(100)) == 300);
}

TEST_CASE("without the upstream's clock the owner's own delay is not counted as run time")
{
    CHECK(sampleRunTime(start + milliseconds(400), makeRun(0, 0), 1300, 50, milliseconds(340)) == 60);
    CHECK(sampleRunTime(start + milliseconds(400), makeRun(1000, 0), 0, 50, milliseconds(340)) == 60);
    CHECK(sampleRunTime(start + milliseconds(400), makeRun(5000, 0), 100, 50, milliseconds(340)) == 60); // the clock of a later life
}

TEST_CASE("the age of a running task is counted without the owner's own delay")
{
    CHECK(ageOf(start + milliseconds(400), makeRun(0, 0), milliseconds(300)) == milliseconds(100));
    CHECK(ageOf(start + milliseconds(200), makeRun(0, 0), milliseconds(300)) == milliseconds(0));
    CHECK(ageOf(start + milliseconds(400), makeRun(1000, 1250), milliseconds(300)) == milliseconds(250));
}

TEST_CASE("an estimate without fresh samples returns to the declared time, and one sample restores it")
{
    upstream_record upstream { jackdaw::protocol::upstream_report() };
    run_time_ratio service;
    for (int i = 0; i < 200; ++i) {
        upstream.ratio.add(5, start);
        service.add(5, start);
    }
    CHECK(expectedRatio(upstream, service, start) == doctest::Approx(5).epsilon(0.01));
    CHECK(expectedRatio(upstream, service, start + seconds(1)) == doctest::Approx(3).epsilon(0.01));
    CHECK(expectedRatio(upstream, service, start + seconds(10)) == doctest::Approx(1).epsilon(0.01));
    service.add(5, start + seconds(10));
    CHECK(expectedRatio(upstream, service, start + seconds(10)) == doctest::Approx(5).epsilon(0.01));
}

TEST_CASE("an upstream that is always slower stays known as slow while its service has fresh samples")
{
    upstream_record upstream { jackdaw::protocol::upstream_report() };
    run_time_ratio service;
    for (int i = 0; i < 200; ++i)
        upstream.ratio.add(1.67, start);
    service.add(1, start + seconds(20));
    CHECK(expectedRatio(upstream, service, start + seconds(20)) > 1.6);
}

TEST_CASE("an upstream that was slow for seconds is tried again although it gets no samples")
{
    upstream_record upstream { jackdaw::protocol::upstream_report() };
    run_time_ratio service;
    for (int i = 0; i < 200; ++i)
        upstream.ratio.add(1, start);
    for (int i = 0; i < 12; ++i)
        upstream.ratio.add(6, start);
    CHECK(expectedRatio(upstream, service, start) == 1);
    service.add(1, start + seconds(4));
    CHECK(expectedRatio(upstream, service, start + milliseconds(1)) > 4);
    CHECK(expectedRatio(upstream, service, start + seconds(4)) < 2.5);
}
