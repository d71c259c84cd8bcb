// Tests of a cell's dispatcher with upstreams whose capacity changes.
#include "coordination/cells/tests/cell_simulation.h"

#include <doctest/doctest.h>

using namespace jackdaw::cells;
using namespace jackdaw::cells::tests;
using jackdaw::protocol::job_order;
using jackdaw::protocol::job_outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration betweenReports = milliseconds(1500); // of the simulated upstreams

void openCell(cell_simulation& sim, std::int64_t millicores)
{
    sim.addUpstream("u1", millicores);
    sim.addOwner();
    sim.runFor(milliseconds(100));
}

job_outcome outcomeOf(const cell_simulation& sim, const std::string& id)
{
    REQUIRE(sim.outcomes().contains(id));
    return sim.outcomes().at(id).answer.outcome;
}

} // namespace

TEST_CASE("an upstream gets no start beyond the capacity that it reported last")
{
    cell_simulation sim(1);
    openCell(sim, 48000);
    job_order running = sim.makeJob("running", 3, 14000, 4000);
    running.timeLeftMs = 20000;
    sim.submit(0, running);
    sim.runFor(milliseconds(100));
    REQUIRE(sim.upstream("u1").running.size() == 3);
    sim.upstream("u1").capacity.millicores = 30000;
    sim.runFor(betweenReports);
    for (int i = 0; i < 40; ++i) {
        job_order job = sim.makeJob(std::to_string(i), 1, 14000, 50);
        job.targetMs = 4000;
        job.timeLeftMs = 4000;
        sim.submit(0, job);
        sim.runFor(milliseconds(100));
    }
    CHECK(sim.overfills() == 0);
    sim.upstream("u1").capacity.millicores = 48000;
    sim.runFor(betweenReports);
    sim.submit(0, sim.makeJob("wide", 3, 14000, 100));
    sim.runFor(milliseconds(50));
    CHECK(sim.upstream("u1").running.size() == 3);
    sim.runFor(seconds(1));
    CHECK(outcomeOf(sim, "wide") == job_outcome::completed);
    CHECK(sim.overfills() == 0);
}

TEST_CASE("a report that arrives late doesn't restore an earlier capacity")
{
    cell_simulation sim(1);
    openCell(sim, 48000);
    sim.upstream("u1").capacity.millicores = 16000;
    sim.runFor(betweenReports);
    sim.owner(0).onUpstreamReport(sim.now(), { "u1", sim.upstream("u1").bornUnixMs, 1, "planning", "u1", "a", { 48000, 65536, 0 }, {}, false });
    sim.submit(0, sim.makeJob("1", 3, 14000, 60));
    sim.runFor(seconds(1));
    CHECK(sim.overfills() == 0);
}

// Guards against starts on an upstream of which only an earlier incarnation's capacity is known.
TEST_CASE("a restarted upstream gets no start before it has reported its capacity")
{
    cell_simulation sim(1);
    openCell(sim, 48000);
    sim.runFor(betweenReports);
    sim.crash("u1");
    sim.runFor(milliseconds(60));
    sim_upstream& upstream = sim.upstream("u1");
    upstream.fault = upstream_fault::none;
    upstream.bornUnixMs += 1000;
    upstream.reports = 0;
    upstream.capacity.millicores = 16000;
    sim.runFor(milliseconds(1100)); // a poll is answered by the new incarnation
    for (const char* id : { "early", "later" }) {
        job_order job = sim.makeJob(id, 3, 14000, 60);
        job.targetMs = 4000;
        job.timeLeftMs = 4000;
        sim.submit(0, job);
        sim.runFor(betweenReports);
    }
    CHECK(sim.overfills() == 0);
    CHECK(outcomeOf(sim, "later") == job_outcome::completed);
}

// Guards against final answers to jobs that fit as soon as the upstreams' capacity grows again.
TEST_CASE("a job that fitted before the upstreams' capacity shrank is rejected with a retry delay, not failed")
{
    cell_simulation sim(1);
    openCell(sim, 48000);
    sim.upstream("u1").capacity.millicores = 8000;
    sim.runFor(betweenReports);
    sim.submit(0, sim.makeJob("1", 1, 14000, 60));
    sim.runFor(seconds(2));
    CHECK(outcomeOf(sim, "1") == job_outcome::rejected);
    CHECK(sim.outcomes().at("1").answer.retryAfterMs >= 1000);
    CHECK(sim.runsOf("1.0.0.0") == 0);
}
