// Tests of jobs that are handed over while a zone is divided: their tasks may run on upstreams that belong to another cell by then.
#include "coordination/cells/tests/cell_simulation.h"

#include "coordination/cells/zone_cells.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
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
result play(std::uint64_t seed, std::uint32_t earlierCellCount, loss how, milliseconds untilNextOwner)
{
    cell_simulation sim(seed);
    for (const std::string& id : otherCell)
        sim.addUpstream(id, 32000);
    const std::size_t first = sim.addCellOwner(otherCell, std::max(earlierCellCount, 1U));
    sim.runFor(milliseconds(100 + sim.random()() % 1000));
    job_order job = sim.makeJob("1", 6, 14000, 3000);
    job.targetMs = 6000;
    job.timeLeftMs = 14000;
    sim.submit(first, job);
    for (const std::string& id : cellOfJob)
        sim.addUpstream(id, 32000);
    sim.runFor(milliseconds(100 + sim.random()() % 500));
    job.handOverCount = 1;
    job.earlierCellCount = earlierCellCount;
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
    for (const std::uint32_t earlierCellCount : { 0U, cellCount - 1, cellCount + 1 }) { // 0: not known
        for (const loss how : { loss::killed, loss::killed_beside_other_owner, loss::fenced }) {
            for (const milliseconds untilNextOwner : { milliseconds(50), milliseconds(150), milliseconds(300), milliseconds(900) }) {
                for (std::uint64_t seed = 1; seed <= 10; ++seed) {
                    CAPTURE(earlierCellCount);
                    CAPTURE(static_cast<int>(how));
                    CAPTURE(untilNextOwner.count());
                    CAPTURE(seed);
                    const result found = play(seed, earlierCellCount, how, untilNextOwner);
                    CHECK(found.twice == 0);
                    CHECK(found.isCompleted);
                }
            }
        }
    }
}

// The first owner goes on until it is fenced by its next poll of an upstream of the next owner.
TEST_CASE("a job waits too short a time while an earlier owner renews its runs in the other cell")
{
    for (int offset = 0; offset < 1000; offset += 50) {
        CAPTURE(offset);
        cell_simulation sim(1);
        for (const std::string& id : otherCell)
            sim.addUpstream(id, 32000);
        const std::size_t first = sim.addOwner();
        sim.runFor(milliseconds(100));
        job_order job = sim.makeJob("1", 6, 14000, 6000);
        job.targetMs = 6000;
        job.timeLeftMs = 14000;
        sim.submit(first, job);
        for (const std::string& id : cellOfJob)
            sim.addUpstream(id, 32000);
        sim.runFor(milliseconds(100 + offset));
        const std::size_t next = sim.addCellOwner(cellOfJob, cellCount);
        job.handOverCount = 1;
        job.earlierCellCount = 1;
        sim.submit(next, job);
        bool isReleased = false;
        for (int step = 0; step < 400; ++step) {
            sim.runFor(milliseconds(10));
            if (!isReleased && sim.owner(first).isFenced()) {
                sim.owner(first).release(sim.now());
                isReleased = true;
            }
        }
        CHECK(isReleased);
        CHECK(sim.doubleRuns() == 0);
        CHECK(sim.runsOf("1.0.0.0") == 2);
    }
}

// Guards against a next owner that trusts one that has not seen the runs itself.
TEST_CASE("an owner that waits for runs in the other cell gives the job back as one whose runs are all known")
{
    cell_simulation sim(1);
    sim.addUpstream("u1", 32000);
    const std::size_t next = sim.addCellOwner({ "u1" }, cellCount);
    sim.runFor(milliseconds(100));
    job_order job = sim.makeJob("1", 1, 14000, 300);
    job.handOverCount = 1;
    job.earlierCellCount = 1;
    sim.submit(next, job);
    sim.runFor(milliseconds(100));
    REQUIRE(sim.startsOn("u1") == 0);
    sim.owner(next).release(sim.now());
    const auto actions = sim.owner(next).takeActions();
    REQUIRE(actions.size() == 1);
    CHECK_FALSE(std::get<owner_answer>(actions[0]).answer.areRunsKnown);
}

// Guards against callers that wait for leases although all earlier owners of the job had the same cell.
TEST_CASE("every job that is handed over in a divided zone waits for leases")
{
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
    job.earlierCellCount = cellCount;
    sim.submit(next, job);
    job_order other = sim.makeJob("2", 2, 14000, 300);
    other.handOverCount = 1;
    other.earlierCellCount = cellCount;
    sim.submit(next, other);
    sim.runFor(milliseconds(700));
    REQUIRE(sim.outcomes().contains("1"));
    CHECK(sim.outcomes().at("1").answer.outcome == job_outcome::completed);
    REQUIRE(sim.outcomes().contains("2"));
    CHECK(sim.outcomes().at("2").answer.outcome == job_outcome::completed);
    CHECK(sim.doubleRuns() == 0);
}

// Guards against a second start of tasks when the zone is divided while jobs run: the owner gives its cell back and claims it anew, and
// tasks on an upstream that moves to another cell may still be running there.
TEST_CASE("jobs with tasks on an upstream that moves to another cell end as unfinished, and no task starts twice")
{
    cell_simulation sim(1);
    sim.addUpstream("u1", 48000);
    const std::size_t first = sim.addOwner();
    sim.runFor(milliseconds(100));
    job_order staying = sim.makeJob("staying", 1, 14000, 300);
    sim.submit(first, staying);
    sim.addUpstream("u2", 32000);
    sim.runFor(milliseconds(20));
    REQUIRE(sim.startsOn("u1") == 1);
    job_order both = sim.makeJob("both", 4, 14000, 300);
    sim.submit(first, both);
    sim.runFor(milliseconds(20));
    REQUIRE(sim.startsOn("u1") == 3);
    REQUIRE(sim.startsOn("u2") == 2);
    sim.owner(first).release(sim.now());
    std::map<std::string, order_answer> released;
    for (const cell_action& action : sim.owner(first).takeActions()) {
        if (const auto* answer = std::get_if<owner_answer>(&action))
            released[answer->answer.id] = answer->answer;
    }
    REQUIRE(released.size() == 2);
    const std::size_t next = sim.addCellOwner({ "u1" }, cellCount);
    sim.addCellOwner({ "u2" }, cellCount);
    for (job_order* job : { &staying, &both }) {
        const order_answer& answer = released.at(job->id);
        REQUIRE(answer.outcome == job_outcome::released);
        job->handOverCount = 1;
        job->earlierCellCount = 1;
        job->areRunsKnown = answer.areRunsKnown;
        job->runsOn = answer.runsOn;
        if (std::erase_if(job->runsOn, [](const auto& report) { return report.id != "u1"; }) > 0) {
            job->areRunsKnown = false;
            job->earlierCellCount = 0;
        }
        sim.submit(next, *job);
    }
    sim.runFor(milliseconds(20));
    CHECK(sim.owner(next).upstreamNames() == std::vector<std::string> { "u1" });
    sim.runFor(milliseconds(480));
    REQUIRE(sim.outcomes().contains("staying"));
    CHECK(sim.outcomes().at("staying").answer.outcome == job_outcome::completed);
    CHECK(sim.runsOf("staying.0.0.0") == 1);
    sim.submit(next, sim.makeJob("next", 2, 14000, 60));
    sim.runFor(seconds(4));
    CHECK(sim.outcomes().at("both").answer.outcome == job_outcome::unfinished);
    CHECK(sim.outcomes().at("next").answer.outcome == job_outcome::completed);
    CHECK(sim.startsOn("u2") == 2);
    CHECK(sim.doubleRuns() == 0);
    CHECK(sim.overfills() == 0);
}

// Guards against a list of upstreams that looks whole after its other cell's part was left out.
TEST_CASE("upstreams that a released job may run on are dropped with their cell, and the rest counts as all")
{
    zone_cells cells;
    job_order job;
    job.cell = "a";
    job.areRunsKnown = true;
    job.earlierCellCount = 2;
    for (int i = 0; i < 8; ++i) {
        job.runsOn.emplace_back();
        job.runsOn.back().id = "u" + std::to_string(i);
        job.runsOn.back().zone = "a";
    }
    cells.removeRunsInOtherCells(job);
    CHECK(job.runsOn.size() == 8);
    CHECK(job.areRunsKnown);
    CHECK(job.earlierCellCount == 2);
    cells.onCellCount("a", 2);
    cells.removeRunsInOtherCells(job);
    CHECK(job.runsOn.size() < 8);
    CHECK_FALSE(job.runsOn.empty());
    CHECK_FALSE(job.areRunsKnown);
    CHECK(job.earlierCellCount == 0);
}
