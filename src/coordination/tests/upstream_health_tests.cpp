// Tests of ejection, probes and slow start.
#include "coordination/tests/dispatch_fixture.h"

#include <doctest/doctest.h>

#include <utility>

using namespace jackdaw::coordination;
using namespace jackdaw::coordination::tests;

namespace {

// Fails all tasks on the upstream "bad" until it is ejected, and finishes those on other upstreams.
void failUntilEjected(dispatch_fixture& fixture)
{
    for (std::uint64_t i = 1; fixture.core.status().ejectedUpstreams == 0 && i <= 20; ++i) {
        fixture.core.submit(fixture.now, fixture.makeJob(i, 2));
        fixture.now += 100ms;
        for (const start_task& start : std::exchange(fixture.starts, {})) {
            const task_outcome outcome = start.upstream.name == "bad" ? task_outcome::failed : task_outcome::finished;
            fixture.core.report(fixture.now, { start.task, start.upstream, outcome, "", {} });
        }
    }
}

} // namespace

TEST_CASE("an upstream that fails all tasks is ejected, probed by one task, and regains its slots by slow start")
{
    dispatch_fixture fixture;
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("bad"));
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("good", 1));
    failUntilEjected(fixture);
    REQUIRE(fixture.core.status().ejectedUpstreams == 1);
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("bad"));
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("good", 1));
    fixture.starts.clear();
    fixture.core.submit(fixture.now, fixture.makeJob(100, 16));
    CHECK(fixture.starts.size() == 1);
    fixture.advanceBy(1s);
    REQUIRE(fixture.starts.size() == 2);
    CHECK(fixture.starts.back().upstream.name == "bad");
    fixture.reportLatestStart(task_outcome::finished);
    CHECK(fixture.starts.size() == 4);
}

TEST_CASE("the ratio of ejected upstreams is limited: a single upstream that fails is still used")
{
    dispatch_fixture fixture;
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("bad"));
    failUntilEjected(fixture);
    CHECK(fixture.core.status().ejectedUpstreams == 0);
    fixture.core.submit(fixture.now, fixture.makeJob(100));
    CHECK(fixture.starts.size() == 1);
}

TEST_CASE("a straggler is settled and not started on another upstream")
{
    dispatch_fixture fixture;
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1"));
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u2"));
    fixture.core.submit(fixture.now, fixture.makeJob(1));
    fixture.advanceBy(9s);
    REQUIRE(fixture.settles.size() == 1);
    fixture.reportLatestStart(task_outcome::running);
    CHECK(fixture.starts.size() == 1);
    fixture.reportLatestStart(task_outcome::finished, "late");
    CHECK(std::get<jackdaw::protocol::job_results>(fixture.answers.at(0).answer).bodies.at(0) == "late");
}
