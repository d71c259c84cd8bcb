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
