// Tests of a cell's dispatcher whose zone is evacuated, on simulated upstreams.
#include "coordination/cells/tests/cell_simulation.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

using namespace jackdaw::cells;
using namespace jackdaw::cells::tests;
using jackdaw::protocol::job_order;
using jackdaw::protocol::job_outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto startTime = milliseconds(1000); // of begun jobs

void openCell(cell_simulation& sim, int upstreams)
{
    for (int i = 0; i < upstreams; ++i)
        sim.addUpstream("u" + std::to_string(i), 32000);
    sim.setEvacuationTarget("b");
    sim.addOwner();
    sim.runFor(milliseconds(100));
}

job_order makePatientJob(const cell_simulation& sim, const std::string& id, std::uint32_t tasks, std::uint32_t runMs)
{
    job_order job = sim.makeJob(id, tasks, 14000, runMs);
    job.targetMs = 10000;
    job.timeLeftMs = 9000;
    return job;
}

} // namespace

TEST_CASE("a job is started in an evacuated zone")
{
    cell_simulation sim(1);
    openCell(sim, 2);
    sim.setEvacuation(0, sim.now() + startTime);
    for (int i = 0; i < 5; ++i)
        sim.submit(0, sim.makeJob(std::to_string(i), 2, 14000, 60));
    sim.runFor(seconds(1));
    CHECK(sim.starts() == 0);
    for (int i = 0; i < 5; ++i) {
        REQUIRE(sim.outcomes().contains(std::to_string(i)));
        CHECK(sim.outcomes().at(std::to_string(i)).answer.outcome == job_outcome::moved);
        CHECK(sim.outcomes().at(std::to_string(i)).answer.cell == "b");
    }
}

TEST_CASE("a waiting job without started tasks stays in an evacuated zone until its deadline")
{
    cell_simulation sim(1);
    openCell(sim, 1);
    sim.submit(0, makePatientJob(sim, "first", 2, 2000));
    sim.submit(0, makePatientJob(sim, "second", 2, 100));
    sim.runFor(milliseconds(100));
    REQUIRE(sim.outcomes().empty());
    sim.setEvacuation(0, sim.now() + startTime);
    REQUIRE(sim.outcomes().contains("second"));
    CHECK(sim.outcomes().at("second").answer.outcome == job_outcome::moved);
    CHECK(sim.runsOf("second.0.0.0") == 0);
    // The running tasks end by themselves, also after the time for remaining starts.
    sim.runFor(seconds(3));
    CHECK(sim.outcomes().at("first").answer.outcome == job_outcome::completed);
    CHECK(sim.runsOf("first.0.0.0") == 1);
}

TEST_CASE("a begun job starts no further task, or starts one after the time for it")
{
    for (const std::uint32_t runMs : { 400U, 1700U }) {
        CAPTURE(runMs);
        cell_simulation sim(1);
        openCell(sim, 1);
        sim.submit(0, makePatientJob(sim, "1", 4, runMs)); // two at a time
        sim.runFor(milliseconds(100));
        REQUIRE(sim.runningTasksOf("1") == 2);
        sim.setEvacuation(0, sim.now() + startTime);
        sim.runFor(startTime + milliseconds(50));
        const std::size_t starts = sim.starts();
        CHECK(starts == (runMs == 400 ? 4 : 2));
        if (runMs == 1700) {
            REQUIRE(sim.outcomes().contains("1"));
            CHECK(sim.outcomes().at("1").answer.outcome == job_outcome::unfinished);
        }
        sim.runFor(seconds(5));
        CHECK(sim.starts() == starts);
        CHECK(sim.runningTasksOf("1") == 0);
        if (runMs == 400)
            CHECK(sim.outcomes().at("1").answer.outcome == job_outcome::completed);
    }
}

TEST_CASE("a begun job of which a host learns late starts a task")
{
    cell_simulation sim(1);
    openCell(sim, 1);
    sim.submit(0, makePatientJob(sim, "1", 4, 300));
    sim.runFor(milliseconds(100));
    sim.setEvacuation(0, sim.now());
    CHECK(sim.outcomes().at("1").answer.outcome == job_outcome::unfinished);
    sim.runFor(seconds(2));
    CHECK(sim.starts() == 2);
}

TEST_CASE("a task that fails in an evacuated zone starts again after the time for it")
{
    cell_simulation sim(1);
    openCell(sim, 1);
    sim.submit(0, makePatientJob(sim, "1", 1, 1500));
    sim.runFor(milliseconds(100));
    sim.setEvacuation(0, sim.now() + startTime);
    sim.runFor(startTime);
    REQUIRE(sim.outcomes().empty());
    sim.crash("u0");
    sim.restart("u0");
    sim.runFor(seconds(4));
    CHECK(sim.outcomes().at("1").answer.outcome == job_outcome::unfinished);
    CHECK(sim.runsOf("1.0.0.0") == 1);
}

TEST_CASE("a job whose task an earlier owner has begun moves to another zone while the task runs")
{
    cell_simulation sim(1);
    openCell(sim, 2);
    job_order job = makePatientJob(sim, "1", 1, 1500);
    sim.submit(0, job);
    sim.runFor(milliseconds(200));
    REQUIRE(sim.runningTasksOf("1") == 1);
    sim.killOwner(0);
    const std::size_t next = sim.addOwner(true);
    sim.setEvacuation(next, sim.now() + startTime);
    job.handOverCount = 1;
    sim.submit(next, job);
    CHECK(sim.outcomes().empty()); // the upstreams have not answered yet
    for (int step = 0; step < 100; ++step) {
        sim.runFor(milliseconds(10));
        if (sim.outcomes().contains("1"))
            CHECK(sim.outcomes().at("1").answer.outcome != job_outcome::moved);
    }
    sim.runFor(seconds(3));
    CHECK(sim.runsOf("1.0.0.0") == 1);
    CHECK(sim.outcomes().at("1").answer.outcome == job_outcome::completed);
}

TEST_CASE("a job that no earlier owner has begun stays in the evacuated zone after its runs are known")
{
    cell_simulation sim(1);
    openCell(sim, 2);
    sim.killOwner(0);
    const std::size_t next = sim.addOwner(true);
    sim.setEvacuation(next, sim.now() + startTime);
    job_order job = makePatientJob(sim, "1", 1, 500);
    job.handOverCount = 1;
    sim.submit(next, job);
    CHECK(sim.outcomes().empty());
    sim.runFor(seconds(4));
    REQUIRE(sim.outcomes().contains("1"));
    CHECK(sim.outcomes().at("1").answer.outcome == job_outcome::moved);
    CHECK(sim.outcomes().at("1").answer.areRunsKnown);
    CHECK(sim.starts() == 0);
}

TEST_CASE("a job waits although all zones are evacuated, or is refused without a delay for the retry")
{
    cell_simulation sim(1);
    openCell(sim, 2);
    sim.setEvacuationTarget("");
    sim.setEvacuation(0, sim.now() + startTime);
    sim.submit(0, sim.makeJob("1", 2, 14000, 60));
    REQUIRE(sim.outcomes().contains("1"));
    CHECK(sim.outcomes().at("1").answer.outcome == job_outcome::rejected);
    CHECK(sim.outcomes().at("1").answer.retryAfterMs >= 1000);
    CHECK(sim.starts() == 0);
}

TEST_CASE("other hosts are told of free capacity in an evacuated zone, or of none after the evacuation")
{
    cell_simulation sim(1);
    openCell(sim, 2);
    const auto freeUpstreams = [&] { return sim.owner(0).rooms(sim.now()).at(0).millicores.size(); };
    CHECK(freeUpstreams() == 2);
    sim.setEvacuation(0, sim.now());
    CHECK(freeUpstreams() == 0);
    sim.setEvacuation(0, {});
    CHECK(freeUpstreams() == 2);
    sim.submit(0, sim.makeJob("1", 2, 14000, 60));
    sim.runFor(seconds(1));
    CHECK(sim.outcomes().at("1").isInTime);
}

TEST_CASE("a cold upstream gets a task although an equally fast one is warm, or none after its cold time")
{
    cell_simulation sim(1);
    for (const char* id : { "u0", "u1" })
        sim.addUpstream(id, 32000);
    sim.upstream("u0").coldLeftMs = 5000;
    sim.addOwner();
    sim.runFor(milliseconds(100));
    for (int i = 0; i < 5; ++i) {
        sim.submit(0, sim.makeJob(std::to_string(i), 1, 14000, 60));
        sim.runFor(milliseconds(200));
    }
    CHECK(sim.startsOn("u0") == 0);
    CHECK(sim.startsOn("u1") == 5);
    sim.upstream("u0").coldLeftMs = 0;
    sim.runFor(seconds(6));
    sim.submit(0, sim.makeJob("later", 4, 14000, 60));
    sim.runFor(milliseconds(200));
    CHECK(sim.startsOn("u0") == 2);
}

TEST_CASE("cold upstreams get all their work at once after an evacuation, or warm ones get it in steps")
{
    for (const bool isCold : { true, false }) {
        for (const bool isEvacuated : { true, false }) {
            CAPTURE(isCold);
            CAPTURE(isEvacuated);
            cell_simulation sim(1);
            for (int i = 0; i < 4; ++i)
                sim.addUpstream("u" + std::to_string(i), 32000).coldLeftMs = isCold ? 600000 : 0;
            sim.addOwner();
            sim.runFor(milliseconds(100));
            if (isEvacuated) {
                sim.setEvacuation(0, sim.now());
                sim.setEvacuation(0, {});
            }
            sim.submit(0, makePatientJob(sim, "1", 8, 3000));
            sim.runFor(milliseconds(900));
            CHECK(sim.starts() == (isCold && isEvacuated ? 4 : 8));
            sim.runFor(milliseconds(1200));
            CHECK(sim.starts() == 8);
        }
    }
}

namespace {

// Plays the callers and origins of jobs of an evacuated zone: a moved job goes to the other zone's owner, and an unfinished one is sent
// there again 1.3 s later, as callers do.
struct evacuated_callers {
    cell_simulation& sim;
    std::size_t otherOwner = 0;
    std::map<std::string, job_order> jobs; // still with the evacuated zone
    std::map<std::string, time_point> resendAt;

    void advance()
    {
        for (auto job = jobs.begin(); job != jobs.end();) {
            const auto known = sim.outcomes().find(job->first);
            if (known == sim.outcomes().end()) {
                ++job;
                continue;
            }
            const auto& answer = known->second.answer;
            job_order order = job->second;
            if (answer.outcome == job_outcome::moved) {
                order.areRunsKnown = answer.areRunsKnown;
                sim.submit(otherOwner, order);
                job = jobs.erase(job);
            } else if (answer.outcome == job_outcome::completed) {
                job = jobs.erase(job);
            } else {
                const auto due = resendAt.try_emplace(job->first, sim.now() + milliseconds(1300)).first;
                if (sim.now() < due->second) {
                    ++job;
                    continue;
                }
                order.handOverCount = 0;
                sim.submit(otherOwner, order);
                job = jobs.erase(job);
            }
        }
    }
};

} // namespace

TEST_CASE("a task runs in two zones at once, or starts in the evacuated one after the time for it, under faults and a change of the owner")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        cell_simulation sim(seed);
        const auto below = [&](std::uint64_t bound) { return sim.random()() % bound; };
        const std::set<std::string> here { "a0", "a1", "a2" };
        const std::set<std::string> there { "b0", "b1", "b2" };
        for (const std::string& id : here)
            sim.addUpstream(id, 32000);
        for (const std::string& id : there)
            sim.addUpstream(id, 32000);
        std::size_t owner = sim.addCellOwner(here, 1);
        evacuated_callers callers { sim, sim.addCellOwner(there, 1), {}, {} };
        sim.setEvacuationTarget("b");
        sim.runFor(milliseconds(100));
        if (below(2) == 0)
            sim.upstream("a0").fault = upstream_fault::answers_lost;
        for (int i = 0; i < 6; ++i) {
            const job_order job = makePatientJob(sim, std::to_string(i), static_cast<std::uint32_t>(1 + below(4)), static_cast<std::uint32_t>(50 + below(1200)));
            callers.jobs[job.id] = job;
            sim.submit(owner, job);
            sim.runFor(milliseconds(below(200)));
        }
        const time_point startsUntil = sim.now() + startTime;
        sim.setEvacuation(owner, startsUntil);
        const bool isOwnerLost = below(2) == 0;
        const time_point lostAt = sim.now() + milliseconds(below(900));
        const time_point takenOverAt = lostAt + milliseconds(100 + below(1000));
        bool isKilled = false;
        bool isTakenOver = false;
        std::size_t startsHere = 0;
        const auto countStartsHere = [&] { return sim.startsOn("a0") + sim.startsOn("a1") + sim.startsOn("a2"); };
        for (int step = 0; step < 600; ++step) {
            sim.runFor(milliseconds(10));
            if (sim.now() <= startsUntil + milliseconds(20)) // starts on their way
                startsHere = countStartsHere();
            if (isOwnerLost && !isKilled && sim.now() >= lostAt) {
                isKilled = true;
                sim.killOwner(owner);
            }
            if (isKilled && !isTakenOver && sim.now() >= takenOverAt) {
                isTakenOver = true;
                owner = sim.addCellOwner(here, 1, true);
                sim.setEvacuation(owner, startsUntil);
                for (auto& [id, job] : callers.jobs) {
                    if (sim.outcomes().contains(id))
                        continue;
                    job.handOverCount = 1;
                    sim.submit(owner, job);
                }
            }
            callers.advance();
        }
        CHECK(sim.doubleRuns() == 0);
        CHECK(countStartsHere() == startsHere);
    }
}
