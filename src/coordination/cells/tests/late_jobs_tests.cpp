// Tests of jobs that can only end late.
#include "coordination/cells/internal/late_jobs.h"

#include "coordination/cells/tests/cell_simulation.h"

#include <doctest/doctest.h>

using namespace jackdaw::cells::tests;
using namespace jackdaw::cells::internal;
using jackdaw::protocol::job_order;
using jackdaw::protocol::job_outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point start { seconds(100) };

// Objective of 220 ms, in the simulation's terms.
job_order makeOrder(std::uint32_t ageMs, std::uint32_t timeLeftMs = 1500)
{
    job_order order;
    order.id = "j";
    order.steps = { { 2, { 8000, 64, 0 }, 100, {}, "", "", 0 } };
    order.slackFactor = 1.6;
    order.targetMs = 60;
    order.ageMs = ageMs;
    order.timeLeftMs = timeLeftMs;
    return order;
}

struct late_fixture {
    explicit late_fixture(int upstreams)
        : sim(1)
    {
        for (int i = 0; i < upstreams; ++i)
            sim.addUpstream("u" + std::to_string(i), 16000);
        sim.addOwner();
        sim.runFor(milliseconds(100));
    }

    const sim_outcome* outcome(const std::string& job) const
    {
        const auto found = sim.outcomes().find(job);
        return found == sim.outcomes().end() ? nullptr : &found->second;
    }

    cell_simulation sim;
};

} // namespace

TEST_CASE("a job has value after three times its objective or after its deadline")
{
    CHECK(valueEnd(cell_job(makeOrder(0), start)) == start + milliseconds(660));
    CHECK(valueEnd(cell_job(makeOrder(200), start)) == start + milliseconds(460));
    CHECK(valueEnd(cell_job(makeOrder(0, 300), start)) == start + milliseconds(300));
}

TEST_CASE("an owner that is short of CPU takes on more work that is late anyway")
{
    const cell_job job(makeOrder(200), start);
    CHECK(isWorthRunningLate(start, job, milliseconds(100), milliseconds(44)));
    CHECK(!isWorthRunningLate(start, job, milliseconds(100), milliseconds(45)));
    CHECK(!isWorthRunningLate(start, job, milliseconds(461), milliseconds(0)));
}

TEST_CASE("a job whose last tasks are started is taken for one with work left")
{
    cell_job job(makeOrder(0), start);
    CHECK(unstartedCriticalPath(job) == milliseconds(100));
    job.setState(0, 0, task_state::active);
    CHECK(unstartedCriticalPath(job) == milliseconds(100));
    job.setState(0, 1, task_state::active);
    CHECK(unstartedCriticalPath(job) == milliseconds(0));
}

TEST_CASE("a late job is refused although upstreams are idle")
{
    late_fixture fixture(2);
    job_order order = fixture.sim.makeJob("late", 4, 8000, 100);
    order.ageMs = 200;
    fixture.sim.submit(0, order);
    fixture.sim.runFor(milliseconds(300));
    REQUIRE(fixture.outcome("late"));
    CHECK(fixture.outcome("late")->answer.outcome == job_outcome::completed);
}

TEST_CASE("a late job is accepted that does not fit now, or that nobody has any use for")
{
    late_fixture fixture(2);
    job_order wide = fixture.sim.makeJob("wide", 5, 8000, 100);
    wide.ageMs = 200;
    fixture.sim.submit(0, wide);
    job_order useless = fixture.sim.makeJob("useless", 1, 8000, 100);
    useless.ageMs = 600;
    fixture.sim.submit(0, useless);
    fixture.sim.runFor(milliseconds(5));
    for (const char* job : { "wide", "useless" }) {
        REQUIRE(fixture.outcome(job));
        CHECK(fixture.outcome(job)->answer.outcome == job_outcome::rejected);
    }
    CHECK(fixture.sim.starts() == 0);
}

TEST_CASE("a late job takes the place of a job that waits and can be in time")
{
    late_fixture fixture(1);
    fixture.sim.submit(0, fixture.sim.makeJob("first", 1, 16000, 60));
    fixture.sim.submit(0, fixture.sim.makeJob("waiting", 1, 16000, 100, 1));
    job_order late = fixture.sim.makeJob("late", 1, 16000, 100, 0);
    late.ageMs = 200;
    fixture.sim.submit(0, late);
    fixture.sim.runFor(milliseconds(400));
    CHECK(fixture.outcome("waiting")->isInTime);
    CHECK(fixture.outcome("late")->answer.outcome == job_outcome::rejected);
}
