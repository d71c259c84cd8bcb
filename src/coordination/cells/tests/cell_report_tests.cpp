// Tests of reports under an upstream's id that come from another sender.
#include "coordination/cells/tests/cell_simulation.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

using namespace jackdaw::cells;
using namespace jackdaw::cells::tests;
using jackdaw::protocol::job_order;
using jackdaw::protocol::upstream_report;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void openCell(cell_simulation& sim)
{
    for (const char* id : { "u1", "u2" })
        sim.addUpstream(id, 32000);
    sim.addOwner();
    sim.runFor(seconds(4));
}

} // namespace

TEST_CASE("the refusal of a server that only a report of another sender named does not end an upstream's runs")
{
    for (const std::uint64_t ahead : { 1, 5, 1000 }) {
        CAPTURE(ahead);
        cell_simulation sim(1);
        openCell(sim);
        sim.submit(0, sim.makeJob("1", 1, 14000, 900));
        sim.runFor(milliseconds(100));
        sim.submit(0, sim.makeJob("2", 1, 14000, 900)); // started last, so it is the suspect of a crash, and not the other
        sim.runFor(milliseconds(50));
        const std::string home = sim.startsOn("u1") > 0 ? "u1" : "u2";
        REQUIRE(sim.upstream(home).running.size() == 2);
        upstream_report odd = sim.makeReport(home, sim.upstream(home).reports + ahead);
        odd.address = home == "u1" ? "u2" : "u1";
        sim.receiveReport(0, odd);
        sim.runFor(seconds(3));
        CHECK(sim.runsOf("1.0.0.0") == 1);
        CHECK(sim.runsOf("2.0.0.0") == 1);
        CHECK(sim.doubleRuns() == 0);
    }
}

TEST_CASE("an upstream that drains gets no start after a report of another sender with a higher sequence")
{
    for (const std::uint64_t ahead : { 1, 5, 1000 }) {
        CAPTURE(ahead);
        cell_simulation sim(1);
        openCell(sim);
        sim.receiveReport(0, sim.makeReport("u1", sim.upstream("u1").reports + ahead));
        sim.upstream("u1").isLeaving = true;
        sim.runFor(seconds(2)); // its own report
        upstream_report odd = sim.makeReport("u1", sim.upstream("u1").reports + ahead + 1);
        odd.isLeaving = false;
        sim.receiveReport(0, odd);
        const std::size_t before = sim.startsOn("u1");
        for (int i = 0; i < 50; ++i) {
            sim.submit(0, sim.makeJob(std::to_string(i), 3, 9000, 100));
            sim.runFor(milliseconds(100));
        }
        CHECK(sim.startsOn("u1") == before);
        CHECK(sim.startsOn("u2") > 0);
    }
}

TEST_CASE("an upstream gets no start beyond its capacity after a report of another sender with a larger one")
{
    cell_simulation sim(1);
    openCell(sim);
    upstream_report odd = sim.makeReport("u1", sim.upstream("u1").reports + 1000);
    odd.capacity.millicores *= 4;
    sim.receiveReport(0, odd);
    for (int i = 0; i < 50; ++i) {
        sim.submit(0, sim.makeJob(std::to_string(i), 8, 14000, 100));
        sim.runFor(milliseconds(100));
    }
    CHECK(sim.overfills() == 0);
    CHECK(sim.startsOn("u1") > 0);
}

TEST_CASE("a report of another sender with other labels, service or zone holds no start back")
{
    const std::vector<std::function<void(upstream_report&)>> changes {
        [](upstream_report& report) { report.service = "other"; },
        [](upstream_report& report) { report.zone = "b"; },
        [](upstream_report& report) { report.labels = { "other" }; },
        [](upstream_report& report) { report.isLeaving = true; report.sequence += 1000; },
    };
    for (std::size_t i = 0; i < changes.size(); ++i) {
        CAPTURE(i);
        cell_simulation sim(1);
        sim.addUpstream("u1", 32000).labels = { "own" };
        sim.addOwner();
        sim.runFor(seconds(1));
        upstream_report odd = sim.makeReport("u1", sim.upstream("u1").reports + 1);
        changes[i](odd);
        sim.receiveReport(0, odd);
        job_order job = sim.makeJob("1", 1, 14000, 60);
        job.steps.front().requiredLabel = "own";
        sim.submit(0, job);
        sim.runFor(milliseconds(500));
        CHECK(sim.startsOn("u1") == 1);
    }
}
