// Tests of what a job's runs live on, against what is lost when its caller leaves. Callers send their jobs again 1.3 s later,
// perhaps to another zone, which knows nothing of earlier runs: by then every run has to be over.
#include "coordination/cells/tests/cell_simulation.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <initializer_list>
#include <optional>
#include <string>

using namespace jackdaw::cells;
using namespace jackdaw::cells::tests;
using jackdaw::protocol::job_order;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds resubmissionDelay(1300);

// What may go wrong with calls to upstreams.
struct call_faults {
    const char* name;
    delayed_calls delayed;
    double delayedShare;
    bool doLateLeasesBeginOnArrival;
};

constexpr call_faults everyCallOnTime { "every call on time", { false, false, false }, 0, false };
constexpr call_faults lateRenewals { "late renewals", { false, false, true }, 0.5, true };
constexpr call_faults lateStarts { "late starts", { true, false, false }, 0.5, true };
constexpr call_faults lateStops { "late stops", { false, true, false }, 0.5, false };
constexpr call_faults lateCalls { "late calls", {}, 0.5, false };
constexpr call_faults lateCallsAndLeases { "late calls, leases from arrival", {}, 0.5, true };
constexpr call_faults mostStopsLate { "most stops late", { false, true, false }, 0.9, false };

// What is lost, in milliseconds from the moment at which the caller's connection breaks. Absent: not lost.
struct losses {
    const char* name;
    bool isOriginLost = false; // else it cancels the job
    std::optional<int> originLossNoticed {}; // its address refuses links; absent: it is silent
    std::optional<int> ownerLost {};
    std::optional<int> nextOwner {}; // claims the cell
    std::optional<int> nextOwnerLost {};
    bool isUpstreamCut = false; // from every owner, when the caller leaves
    bool isUpstreamReborn = false; // it crashes when the caller leaves, and starts again 0.5 s later
    bool isNextCutFromUpstream = false; // the next owner never reaches one of the upstreams
    std::optional<int> givenBack {}; // the owner releases the cell, and another one claims it at once
};

constexpr losses callerOnly { "caller only" };
constexpr losses originKilled { "origin killed", true, 100 };
constexpr losses originSilent { "origin silent", true };
constexpr losses ownerWithOrigin { "owner with origin, next after 0.1 s", true, {}, 0, 100 };
constexpr losses ownerWithOriginSilent { "owner with origin, next after 1.0 s", true, {}, 0, 1000 };
constexpr losses zoneLost { "owner with origin, no next owner", true, {}, 0 };
constexpr losses ownerAfterOrigin { "owner 0.3 s after a silent origin", true, {}, 300 };
constexpr losses ownerLongAfterOrigin { "owner 0.7 s after a silent origin", true, {}, 700 };
constexpr losses ownerJustBeforeNotice { "owner 1.0 s after a silent origin", true, {}, 990 };
constexpr losses ownerAfterCaller { "owner 20 ms after the caller", false, {}, 20 };
constexpr losses twoOwners { "owner with origin, next owner 0.6 s later", true, {}, 0, 100, 600 };
constexpr losses upstreamCut { "an upstream with the caller", false, {}, {}, {}, {}, true };
constexpr losses upstreamCutWithOrigin { "an upstream with a silent origin", true, {}, {}, {}, {}, true };

constexpr losses ownerWithOriginLate { "owner with origin, next after 1.25 s", true, {}, 0, 1250 };
constexpr losses upstreamUnadopted { "owner with origin, next cut from one upstream", true, {}, 0, 100, {}, false, false, true };
constexpr losses upstreamReborn { "owner with origin, an upstream restarts", true, {}, 0, 100, {}, false, true };
constexpr losses givenBackBySilentOrigin { "cell given back 0.7 s after a silent origin", true, {}, {}, {}, {}, false, false, false, 700 };
constexpr losses givenBackAndLost { "the same, the next owner lost 0.2 s later", true, {}, {}, {}, 900, false, false, false, 700 };

struct result {
    std::size_t left = 0; // runs when the caller is back
    std::size_t twice = 0; // starts beside another run, when it submits the job where it was
};

result play(std::uint64_t seed, const call_faults& faults, const losses& lost)
{
    const std::string upstreams[] = { "u1", "u2", "u3", "u4", "u5", "u6" };
    cell_simulation sim(seed);
    for (const std::string& id : upstreams) {
        sim.addUpstream(id, 48000);
        sim.upstream(id).fault = faults.delayedShare > 0 ? upstream_fault::delayed_calls : upstream_fault::none;
    }
    sim.setDelayedCalls(faults.delayed);
    sim.setDelayedShare(faults.delayedShare);
    if (faults.doLateLeasesBeginOnArrival)
        sim.letLateLeasesBeginOnArrival();
    std::size_t owner = sim.addOwner();
    sim.runFor(milliseconds(1000));

    job_order job = sim.makeJob("lost", 6, 14000, 4000);
    job.timeLeftMs = 14000;
    sim.submit(owner, job);
    int others = 0;
    const auto runFor = [&](milliseconds length) { // beside jobs of another origin, which has the upstreams renewed
        for (milliseconds passed { 0 }; passed < length; passed += milliseconds(10)) {
            if (passed.count() % 50 == 0)
                sim.submit(owner, sim.makeJob("other" + std::to_string(++others), 2, 14000, 100 + sim.random()() % 500), 0, "other host");
            sim.runFor(milliseconds(10));
        }
    };
    runFor(milliseconds(400 + sim.random()() % 1500 / 10 * 10));

    if (lost.isOriginLost)
        sim.setOriginLost("host");
    else
        sim.owner(owner).cancel(sim.now(), "lost", "host");
    if (lost.isUpstreamCut)
        sim.upstream("u1").fault = upstream_fault::unreachable;
    if (lost.isUpstreamReborn)
        sim.crash("u1");
    for (int passed = 0; passed < resubmissionDelay.count(); passed += 10) {
        if (passed == lost.originLossNoticed)
            sim.owner(owner).onOriginLost(sim.now(), "host");
        if (passed == lost.ownerLost)
            sim.killOwner(owner);
        if (passed == lost.nextOwner)
            owner = sim.addOwner(true, lost.isNextCutFromUpstream ? "u1" : "");
        if (passed == lost.givenBack) {
            sim.owner(owner).release(sim.now());
            sim.killOwner(owner);
            owner = sim.addOwner(false);
        }
        if (lost.isUpstreamReborn && passed == 500)
            sim.restart("u1");
        if (passed == lost.nextOwnerLost)
            sim.killOwner(owner);
        runFor(milliseconds(10));
    }

    result out;
    out.left = sim.runningTasksOf("lost");
    const std::size_t before = sim.doubleRuns();
    job.submissionNumber = 2;
    sim.submit(owner, job, 0, "other host");
    runFor(seconds(4));
    out.twice = sim.doubleRuns() - before;
    return out;
}

constexpr losses allLosses[] = { callerOnly, originKilled, originSilent, ownerWithOrigin, ownerWithOriginSilent, ownerWithOriginLate, zoneLost, ownerAfterOrigin, ownerLongAfterOrigin, ownerJustBeforeNotice, ownerAfterCaller, twoOwners, upstreamCut, upstreamCutWithOrigin, upstreamUnadopted, upstreamReborn, givenBackBySilentOrigin, givenBackAndLost };

// JACKDAW_LOSS_SEEDS: seeds for each pair; hundreds take minutes.
std::uint64_t seedCount()
{
    const char* const wanted = std::getenv("JACKDAW_LOSS_SEEDS");
    return wanted ? std::strtoull(wanted, nullptr, 10) : 3;
}

void checkLosses(std::initializer_list<call_faults> kinds)
{
    for (const call_faults& faults : kinds) {
        for (const losses& lost : allLosses) {
            for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
                CAPTURE(std::string(faults.name));
                CAPTURE(std::string(lost.name));
                CAPTURE(seed);
                const result found = play(seed, faults, lost);
                CHECK(found.left == 0);
                CHECK(found.twice == 0);
            }
        }
    }
}

} // namespace

// Guards against runs that are kept alive by renewals for other jobs, or by an owner that is lost soon after the run's caller.
TEST_CASE("a run goes on after its caller is back")
{
    checkLosses({ everyCallOnTime, lateStops, mostStopsLate });
}

// Guards against calls that nobody can take back once their sender is lost.
TEST_CASE("a call that is carried out late keeps a run alive or starts one when its caller is back")
{
    checkLosses({ lateRenewals, lateStarts, lateCalls, lateCallsAndLeases });
}

TEST_CASE("a task is started for an origin that has been silent for almost as long as it takes to end its jobs")
{
    cell_simulation sim(1);
    sim.addUpstream("u1", 32000);
    const std::size_t owner = sim.addOwner();
    sim.runFor(milliseconds(100));
    sim.submit(owner, sim.makeJob("first", 2, 14000, 900), 0, "other host");
    job_order job = sim.makeJob("next", 2, 14000, 900);
    job.targetMs = 5000;
    job.timeLeftMs = 6000;
    sim.submit(owner, job);
    sim.setOriginLost("host");
    sim.runFor(milliseconds(950));
    CHECK(sim.runningTasksOf("first") == 0);
    CHECK(sim.runningTasksOf("next") == 0);
    sim.setOriginLost("host", false);
    sim.runFor(milliseconds(200));
    CHECK(sim.runningTasksOf("next") == 2);
}

// Guards against lost work when a lease is limited for the sake of another run.
TEST_CASE("runs lapse beside one that was stopped, or while their origin is silent for a short time")
{
    cell_simulation sim(1);
    sim.addUpstream("u1", 32000);
    const std::size_t owner = sim.addOwner();
    sim.runFor(milliseconds(100));
    job_order kept = sim.makeJob("kept", 1, 14000, 4000);
    kept.timeLeftMs = 6000;
    sim.submit(owner, kept);
    sim.submit(owner, sim.makeJob("stopped", 1, 14000, 4000), 0, "other host");
    sim.runFor(milliseconds(500));
    sim.owner(owner).cancel(sim.now(), "stopped", "other host");
    sim.runFor(milliseconds(1500));
    sim.setOriginLost("host");
    sim.runFor(milliseconds(600));
    sim.setOriginLost("host", false);
    sim.runFor(milliseconds(1500));
    REQUIRE(sim.outcomes().contains("kept"));
    CHECK(sim.outcomes().at("kept").answer.outcome == jackdaw::protocol::job_outcome::completed);
    CHECK(sim.runsOf("kept.0.0.0") == 1);
}
