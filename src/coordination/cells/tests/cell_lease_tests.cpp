// Tests of what an owner knows of its upstreams' leases, against upstreams that are reached only in part. A lease that is taken for
// over while the upstream still holds it lets a task run twice.
#include "coordination/cells/tests/cell_simulation.h"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

using namespace jackdaw::cells;
using namespace jackdaw::cells::tests;
using jackdaw::protocol::job_order;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void submitLong(cell_simulation& sim, const std::string& id, std::uint32_t tasks, std::uint32_t runMs)
{
    job_order job = sim.makeJob(id, tasks, 9000, runMs);
    job.timeLeftMs = 3 * runMs;
    sim.submit(0, job);
}

} // namespace

// The run of a job whose caller has left limits the lease, so that the poll and the start end it at the same time.
TEST_CASE("a poll that found no connection does not undo the renewal by a start that was sent after it")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        cell_simulation sim(seed);
        sim.addUpstream("u1", 48000).labels = { "only here" };
        sim.addOwner();
        sim.runFor(milliseconds(100));
        submitLong(sim, "stays", 4, 2600);
        sim.runFor(milliseconds(50));
        submitLong(sim, "left", 1, 2600); // the later one: suspected of a crash, it is held back instead of the others
        sim.runFor(milliseconds(200));
        sim.addUpstream("u2", 48000);
        sim.runFor(milliseconds(200 + sim.random()() % 300));
        REQUIRE(sim.upstream("u1").running.size() == 5);
        sim.upstream("u1").fault = upstream_fault::cut_one_way;
        sim.runFor(milliseconds(10));
        sim.owner(0).cancel(sim.now(), "left", "host");
        sim.runFor(milliseconds(180 + sim.random()() % 340)); // the first poll without a connection is sent in this time
        job_order job = sim.makeJob("short", 1, 1000, 50);
        job.steps.front().requiredLabel = "only here";
        job.targetMs = 1500;
        sim.submit(0, job);
        sim.runFor(seconds(4));
        CHECK(sim.doubleRuns() == 0);
    }
}

TEST_CASE("no order of polls, starts, losses and late calls lets an owner start a task whose run still has a lease")
{
    constexpr std::array faults { upstream_fault::none, upstream_fault::answers_lost, upstream_fault::cut_one_way, upstream_fault::unreachable, upstream_fault::stops_lost, upstream_fault::delayed_calls };
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        cell_simulation sim(seed);
        const std::vector<std::string> ids { "u1", "u2", "u3" };
        for (const std::string& id : ids)
            sim.addUpstream(id, 48000);
        sim.addOwner();
        sim.runFor(milliseconds(100));
        for (int i = 0; i < 120; ++i) {
            sim.upstream(ids[sim.random()() % ids.size()]).fault = faults[sim.random()() % faults.size()];
            const std::string id = std::to_string(i);
            submitLong(sim, id, 1 + sim.random()() % 3, 50 + sim.random()() % 2500);
            sim.runFor(milliseconds(sim.random()() % 100));
            if (sim.random()() % 3 == 0)
                sim.owner(0).cancel(sim.now(), std::to_string(sim.random()() % (i + 1)), "host");
        }
        sim.runFor(seconds(14));
        CHECK(sim.doubleRuns() == 0);
        CHECK(sim.overfills() == 0);
    }
}

namespace {

// What happens while an upstream's answers are lost, beside a job whose caller has left and a start that renews the lease.
enum class event_in_cut {
    none,
    owner_releases,
    owner_killed,
    upstream_restarts,
    stops_lost, // from before the cut on
    polls_late // also those of the owner before the next one
};

// The next owner gets the job as its origin forwards it: with what the earlier owner has told, if it has released the job.
void handOver(cell_simulation& sim, job_order job, bool isReleased)
{
    const std::size_t before = 0;
    if (isReleased)
        sim.owner(before).release(sim.now());
    job.handOverCount = 1;
    job.earlierToken = sim.tokenOf(before);
    job.earlierCellCount = 1;
    job.areRunsKnown = false;
    for (const cell_action& action : sim.owner(before).takeActions()) {
        const auto* released = std::get_if<owner_answer>(&action);
        if (!released || released->answer.id != job.id)
            continue;
        job.doneTasks = released->answer.doneTasks;
        job.runsOn = released->answer.runsOn;
        job.areRunsKnown = released->answer.areRunsKnown;
    }
    sim.killOwner(before);
    const std::size_t next = sim.addOwner(!isReleased);
    sim.runFor(milliseconds(5));
    sim.submit(next, job);
}

void playCut(std::uint64_t seed, event_in_cut event)
{
    cell_simulation sim(seed);
    sim.addUpstream("u1", 48000).labels = { "only here" };
    sim.addOwner();
    sim.runFor(milliseconds(100));
    job_order stays = sim.makeJob("stays", 4, 9000, 2600);
    stays.timeLeftMs = 3 * 2600;
    sim.submit(0, stays);
    sim.runFor(milliseconds(50));
    submitLong(sim, "left", 1, 2600);
    sim.runFor(milliseconds(200));
    sim.addUpstream("u2", 48000);
    sim.addUpstream("u3", 48000);
    sim.runFor(milliseconds(200 + sim.random()() % 300));
    REQUIRE(sim.upstream("u1").running.size() == 5);
    if (event == event_in_cut::polls_late) {
        sim.setDelayedCalls({ false, false, true });
        sim.setDelayedShare(0.5);
        sim.upstream("u1").fault = upstream_fault::delayed_calls;
    } else if (event == event_in_cut::stops_lost) {
        sim.upstream("u1").fault = upstream_fault::stops_lost;
    } else {
        sim.upstream("u1").fault = upstream_fault::cut_one_way;
    }
    sim.runFor(milliseconds(sim.random()() % 200));
    sim.owner(0).cancel(sim.now(), "left", "host");
    if (event == event_in_cut::stops_lost) {
        sim.runFor(milliseconds(sim.random()() % 300));
        sim.upstream("u1").fault = upstream_fault::cut_one_way;
    }
    sim.runFor(milliseconds(sim.random()() % 700));
    job_order job = sim.makeJob("short", 1, 1000, 50);
    job.steps.front().requiredLabel = "only here";
    job.targetMs = 1500;
    sim.submit(0, job);
    sim.runFor(milliseconds(sim.random()() % 400));
    if (event == event_in_cut::owner_releases || event == event_in_cut::owner_killed || event == event_in_cut::polls_late)
        handOver(sim, stays, event != event_in_cut::owner_killed);
    if (event == event_in_cut::upstream_restarts) {
        sim.crash("u1");
        sim.runFor(milliseconds(sim.random()() % 600));
        sim.restart("u1");
        sim.upstream("u1").fault = upstream_fault::cut_one_way;
    }
    sim.runFor(milliseconds(500 + sim.random()() % 2000));
    sim.upstream("u1").fault = upstream_fault::none;
    sim.runFor(seconds(14));
    CHECK(sim.doubleRuns() == 0);
    CHECK(sim.overfills() == 0);
}

} // namespace

// Guards against a lease that one event of a cut lets the owner, or the next one, take for over while the upstream still holds it.
TEST_CASE("a cut in one direction with another event in it lets a task run twice")
{
    for (const event_in_cut event : { event_in_cut::none, event_in_cut::owner_releases, event_in_cut::owner_killed, event_in_cut::upstream_restarts, event_in_cut::stops_lost, event_in_cut::polls_late }) {
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            CAPTURE(static_cast<int>(event));
            CAPTURE(seed);
            playCut(seed, event);
        }
    }
}
