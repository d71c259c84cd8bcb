// Tests of jobs that are handed over while a zone is divided: their tasks may run on upstreams that belong to another cell by then.
#include "coordination/cells/tests/cell_simulation.h"

#include "coordination/cells/zone_cells.h"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace jackdaw::cells;
using namespace jackdaw::cells::tests;
using jackdaw::protocol::job_order;
using jackdaw::protocol::job_outcome;
using jackdaw::protocol::order_answer;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::set<std::string> cellOfJob { "u1", "u2", "u3" };
const std::set<std::string> otherCell { "u4", "u5", "u6" };
constexpr std::uint32_t cellCount = 2;

// How the first owner loses the job.
enum class loss {
    killed,
    killed_beside_other_owner, // the other cell has an owner at once
    fenced // by the owner of the other cell, and it gives the job back
};

struct result {
    std::size_t twice = 0;
    bool isCompleted = false;
};

// The first owner starts a job on upstreams that belong to the other cell for the next one.
result play(std::uint64_t seed, loss how, milliseconds untilNextOwner)
{
    cell_simulation sim(seed);
    for (const std::string& id : otherCell)
        sim.addUpstream(id, 32000);
    const std::size_t first = sim.addOwner();
    sim.runFor(milliseconds(100 + sim.random()() % 1000));
    job_order job = sim.makeJob("1", 6, 14000, 3000);
    job.targetMs = 6000;
    job.timeLeftMs = 14000;
    sim.submit(first, job);
    for (const std::string& id : cellOfJob)
        sim.addUpstream(id, 32000);
    sim.runFor(milliseconds(100 + sim.random()() % 500));
    job.handOverCount = 1;
    job.fewestCells = 1;
    if (how != loss::fenced)
        sim.killOwner(first);
    if (how != loss::killed)
        sim.addCellOwner(otherCell, cellCount, how != loss::fenced);
    if (how == loss::fenced) {
        while (!sim.owner(first).isFenced())
            sim.runFor(milliseconds(10));
        sim.owner(first).release(sim.now());
    }
    sim.runFor(untilNextOwner);
    const std::size_t next = sim.addCellOwner(cellOfJob, cellCount, how != loss::fenced);
    sim.submit(next, job);
    sim.runFor(seconds(8));
    const auto outcome = sim.outcomes().find("1");
    return { sim.doubleRuns(), outcome != sim.outcomes().end() && outcome->second.answer.outcome == job_outcome::completed };
}

} // namespace

// Guards against an owner that counts the runs in its own cell for all that a job has in the zone.
TEST_CASE("a task starts in one cell of a divided zone while its run in the other cell goes on")
{
    for (const loss how : { loss::killed, loss::killed_beside_other_owner, loss::fenced }) {
        for (const milliseconds untilNextOwner : { milliseconds(50), milliseconds(150), milliseconds(300), milliseconds(900) }) {
            for (std::uint64_t seed = 1; seed <= 10; ++seed) {
                CAPTURE(static_cast<int>(how));
                CAPTURE(untilNextOwner.count());
                CAPTURE(seed);
                const result found = play(seed, how, untilNextOwner);
                CHECK(found.twice == 0);
                CHECK(found.isCompleted);
            }
        }
    }
}

// Guards against callers that wait for leases although all earlier owners of the job had the same cell.
TEST_CASE("every job that is handed over in a divided zone waits for leases")
{
    for (const std::uint32_t fewestCells : { cellCount, cellCount + 1 }) {
        cell_simulation sim(1);
        for (const std::string& id : cellOfJob)
            sim.addUpstream(id, 32000);
        const std::size_t first = sim.addCellOwner(cellOfJob, cellCount);
        sim.runFor(milliseconds(100));
        job_order job = sim.makeJob("1", 2, 14000, 300);
        sim.submit(first, job);
        sim.runFor(milliseconds(10));
        sim.killOwner(first);
        const std::size_t next = sim.addCellOwner(cellOfJob, cellCount, true);
        job.handOverCount = 1;
        job.fewestCells = fewestCells;
        sim.submit(next, job);
        job_order other = sim.makeJob("2", 2, 14000, 300);
        other.handOverCount = 1;
        other.fewestCells = fewestCells;
        sim.submit(next, other);
        sim.runFor(milliseconds(700));
        REQUIRE(sim.outcomes().contains("1"));
        CHECK(sim.outcomes().at("1").answer.outcome == job_outcome::completed);
        REQUIRE(sim.outcomes().contains("2"));
        CHECK(sim.outcomes().at("2").answer.outcome == job_outcome::completed);
        CHECK(sim.doubleRuns() == 0);
    }
}

TEST_CASE("upstreams that a released job may run on are dropped with their cell, and the rest counts as all")
{
    zone_cells cells;
    job_order job;
    job.cell = "a";
    job.areRunsKnown = true;
    job.fewestCells = 2;
    for (int i = 0; i < 8; ++i) {
        job.runsOn.emplace_back();
        job.runsOn.back().id = "u" + std::to_string(i);
        job.runsOn.back().zone = "a";
    }
    cells.removeRunsInOtherCells(job);
    CHECK(job.runsOn.size() == 8);
    CHECK(job.areRunsKnown);
    CHECK(job.fewestCells == 2);
    cells.onCellCount("a", 2);
    cells.removeRunsInOtherCells(job);
    CHECK(job.runsOn.size() < 8);
    CHECK_FALSE(job.runsOn.empty());
    CHECK_FALSE(job.areRunsKnown);
    CHECK(job.fewestCells == 1);
}
