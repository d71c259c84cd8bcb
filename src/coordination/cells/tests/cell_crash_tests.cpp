// Tests of a cell's dispatcher with tasks that crash the upstreams that run them.
#include "coordination/cells/tests/cell_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace jackdaw::cells;
using namespace jackdaw::cells::tests;
using jackdaw::protocol::job_order;
using jackdaw::protocol::job_outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t longWaitMs = 60000;

void openCell(cell_simulation& sim, int upstreams)
{
    for (int i = 0; i < upstreams; ++i)
        sim.addUpstream("u" + std::to_string(i), 32000);
    sim.addOwner();
    sim.runFor(milliseconds(100));
}

job_order makeLongJob(const cell_simulation& sim, const std::string& id, std::uint32_t tasks, std::uint32_t runMs)
{
    job_order job = sim.makeJob(id, tasks, 14000, runMs);
    job.timeLeftMs = longWaitMs;
    return job;
}

// The upstream that runs the task.
std::string homeOf(cell_simulation& sim, int upstreams, const std::string& task)
{
    for (int i = 0; i < upstreams; ++i) {
        std::string id = "u" + std::to_string(i);
        const auto& running = sim.upstream(id).running;
        if (std::any_of(running.begin(), running.end(), [&task](const sim_task_run& run) { return run.run.task == task; }))
            return id;
    }
    return {};
}

// Crashes the upstream and others, each time a tenth of a second after the one before.
void crashWithOthers(cell_simulation& sim, int upstreams, const std::string& id, std::size_t others)
{
    std::vector<std::string> crashed { id };
    for (int i = 0; i < upstreams && crashed.size() <= others; ++i) {
        const std::string other = "u" + std::to_string(i);
        if (other != id)
            crashed.push_back(other);
    }
    for (const std::string& name : crashed) {
        sim.crash(name);
        sim.runFor(milliseconds(100));
    }
    for (const std::string& name : crashed) {
        sim.runFor(milliseconds(100));
        sim.restart(name);
    }
}

job_outcome outcomeOf(const cell_simulation& sim, const std::string& id)
{
    REQUIRE(sim.outcomes().contains(id));
    return sim.outcomes().at(id).answer.outcome;
}

} // namespace

// Guards against one task that crashes one upstream after the other until its caller stops waiting.
TEST_CASE("a job fails once two upstreams have crashed under one of its tasks")
{
    cell_simulation sim(1);
    openCell(sim, 8);
    sim.addCrashingTask("1.0.0.0");
    sim.submit(0, makeLongJob(sim, "1", 8, 60));
    sim.runFor(seconds(20));
    CHECK(outcomeOf(sim, "1") == job_outcome::failed);
    CHECK(sim.runsOf("1.0.0.0") == 2);
    CHECK(sim.crashes() == 2);
    CHECK(sim.doubleRuns() == 0);
}

// Guards against tasks that are lost again and again because they are restarted beside the one that crashes the upstream.
TEST_CASE("tasks that ran beside one that crashes upstreams complete after one crash")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        cell_simulation sim(seed);
        openCell(sim, 6);
        for (int i = 0; i < 3; ++i)
            sim.addCrashingTask("bad" + std::to_string(i) + ".0.0.0");
        std::size_t mostCrashes = 0;
        int good = 0;
        for (int i = 0; i < 60; ++i) {
            if (i % 20 == 0)
                sim.submit(0, makeLongJob(sim, "bad" + std::to_string(i / 20), 1, 200));
            sim.submit(0, makeLongJob(sim, "good" + std::to_string(good++), 1, 150 + static_cast<std::uint32_t>(sim.random()() % 200)));
            sim.runFor(milliseconds(50 + sim.random()() % 50));
        }
        sim.runFor(seconds(20));
        for (int i = 0; i < good; ++i) {
            const std::string id = "good" + std::to_string(i);
            const job_outcome outcome = outcomeOf(sim, id);
            CHECK((outcome == job_outcome::completed || (outcome == job_outcome::rejected && sim.runsOf(id + ".0.0.0") == 0)));
            mostCrashes = std::max(mostCrashes, sim.crashesUnder(id + ".0.0.0"));
        }
        for (int i = 0; i < 3; ++i) {
            const std::string id = "bad" + std::to_string(i);
            CHECK(outcomeOf(sim, id) != job_outcome::completed);
            CHECK(sim.runsOf(id + ".0.0.0") <= 2);
        }
        CHECK(mostCrashes <= 1);
        CHECK(sim.doubleRuns() == 0);
        CHECK(sim.overfills() == 0);
    }
}

// Guards against a second crash before the first one is even known.
TEST_CASE("the task that started last before a crash waits until the crash is confirmed")
{
    cell_simulation sim(1);
    openCell(sim, 4);
    sim.submit(0, makeLongJob(sim, "first", 1, 500));
    sim.runFor(milliseconds(10));
    sim.submit(0, makeLongJob(sim, "last", 1, 500));
    sim.runFor(milliseconds(10));
    std::string home;
    for (const char* id : { "u0", "u1", "u2", "u3" }) {
        if (sim.startsOn(id) == 2)
            home = id;
    }
    REQUIRE(!home.empty());
    sim.crash(home);
    sim.runFor(milliseconds(2500));
    CHECK(sim.runsOf("last.0.0.0") == 1);
    sim.restart(home);
    sim.runFor(seconds(2));
    CHECK(sim.runsOf("last.0.0.0") == 2);
    CHECK(outcomeOf(sim, "first") == job_outcome::completed);
    CHECK(outcomeOf(sim, "last") == job_outcome::completed);
    CHECK(sim.doubleRuns() == 0);
}

// Guards against failed jobs because upstreams that still run were unreachable for longer than a lease.
TEST_CASE("a job doesn't fail because its upstreams were cut off")
{
    cell_simulation sim(1);
    openCell(sim, 3);
    sim.submit(0, makeLongJob(sim, "1", 1, 2500));
    sim.runFor(milliseconds(50));
    for (int cut = 0; cut < 4; ++cut) {
        std::string home;
        for (int i = 0; i < 3; ++i) {
            if (!sim.upstream("u" + std::to_string(i)).running.empty())
                home = "u" + std::to_string(i);
        }
        REQUIRE(!home.empty());
        sim.upstream(home).fault = upstream_fault::silent;
        sim.runFor(milliseconds(1300));
        sim.upstream(home).running.clear(); // the lease has expired there
        sim.upstream(home).fault = upstream_fault::none;
        sim.runFor(milliseconds(500));
    }
    sim.runFor(seconds(5));
    CHECK(outcomeOf(sim, "1") == job_outcome::completed);
    CHECK(sim.doubleRuns() == 0);
}

// Guards against failed jobs because several upstreams lost power at the same time.
TEST_CASE("a job doesn't fail because half of the upstreams crashed at once")
{
    cell_simulation sim(1);
    openCell(sim, 8);
    for (int i = 0; i < 4; ++i)
        sim.submit(0, makeLongJob(sim, std::to_string(i), 4, 600));
    sim.runFor(milliseconds(200));
    for (int i = 0; i < 4; ++i)
        sim.crash("u" + std::to_string(i));
    sim.runFor(seconds(3));
    for (int i = 0; i < 4; ++i)
        sim.restart("u" + std::to_string(i));
    sim.runFor(seconds(5));
    for (int i = 0; i < 4; ++i)
        CHECK(outcomeOf(sim, std::to_string(i)) == job_outcome::completed);
    CHECK(sim.doubleRuns() == 0);
}

// Guards against jobs that are answered as failed after two power losses or cuts under one of their tasks.
TEST_CASE("a job doesn't fail because many upstreams crashed at once, twice")
{
    constexpr int upstreams = 10;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        cell_simulation sim(seed);
        openCell(sim, upstreams);
        sim.submit(0, makeLongJob(sim, "long", 1, 3000));
        for (int i = 0; i < 9; ++i)
            sim.submit(0, makeLongJob(sim, "other" + std::to_string(i), 1, 2000 + static_cast<std::uint32_t>(sim.random()() % 2000)));
        for (int crash = 0; crash < 2; ++crash) {
            sim.runFor(milliseconds(500 + sim.random()() % 300));
            const std::string home = homeOf(sim, upstreams, "long.0.0.0");
            REQUIRE(!home.empty());
            crashWithOthers(sim, upstreams, home, 4);
        }
        sim.runFor(seconds(15));
        CHECK(sim.crashesUnder("long.0.0.0") == 2);
        CHECK(outcomeOf(sim, "long") == job_outcome::completed);
        for (int i = 0; i < 9; ++i)
            CHECK(outcomeOf(sim, "other" + std::to_string(i)) == job_outcome::completed);
        CHECK(sim.doubleRuns() == 0);
    }
}

// Guards against crashes that count though the task's lease had expired before, since its owner stood still.
TEST_CASE("a job doesn't fail because an upstream crashed while the owner's host stood still")
{
    constexpr int upstreams = 4;
    cell_simulation sim(1);
    openCell(sim, upstreams);
    sim.submit(0, makeLongJob(sim, "1", 1, 3000));
    sim.runFor(milliseconds(200));
    const std::string first = homeOf(sim, upstreams, "1.0.0.0");
    REQUIRE(!first.empty());
    sim.crash(first);
    sim.runFor(milliseconds(400));
    sim.restart(first);
    sim.runFor(milliseconds(500));
    const std::string second = homeOf(sim, upstreams, "1.0.0.0");
    REQUIRE(!second.empty());
    sim.freezeOwner(0);
    sim.runFor(milliseconds(1500));
    REQUIRE(sim.upstream(second).running.empty()); // the lease has expired
    sim.crash(second);
    sim.runFor(milliseconds(500));
    sim.restart(second);
    sim.runFor(milliseconds(500));
    sim.thawOwner(0);
    sim.runFor(seconds(8));
    CHECK(outcomeOf(sim, "1") == job_outcome::completed);
    CHECK(sim.runsOf("1.0.0.0") == 3);
    CHECK(sim.doubleRuns() == 0);
}

// Guards against tasks of one job that excuse each other, and then crash one upstream after the other.
TEST_CASE("a job fails after two crashes under one of its tasks though all its tasks crash upstreams at the same time")
{
    cell_simulation sim(1);
    openCell(sim, 12);
    for (int i = 0; i < 6; ++i)
        sim.addCrashingTask("1.0.0." + std::to_string(i));
    job_order job = makeLongJob(sim, "1", 6, 60);
    job.steps.front().need.millicores = 30000;
    sim.submit(0, job);
    sim.runFor(seconds(20));
    CHECK(outcomeOf(sim, "1") == job_outcome::failed);
    for (int i = 0; i < 6; ++i)
        CHECK(sim.runsOf("1.0.0." + std::to_string(i)) <= 2);
}

TEST_CASE("a resubmitted job keeps the crashes that its tasks caused")
{
    cell_simulation sim(1);
    openCell(sim, 8);
    sim.addCrashingTask("1.0.0.0");
    job_order job = sim.makeJob("1", 1, 14000, 60);
    for (std::uint64_t attempt = 1; attempt <= 10; ++attempt) {
        job.submissionNumber = attempt;
        sim.submit(0, job);
        sim.runFor(seconds(4));
    }
    CHECK(outcomeOf(sim, "1") == job_outcome::failed);
    CHECK(sim.crashesUnder("1.0.0.0") == 2);
}

// Guards against a task that crashes upstreams under each owner of the cell in turn.
TEST_CASE("a job that is handed over keeps the crashes that its tasks caused")
{
    cell_simulation sim(1);
    openCell(sim, 10);
    sim.addCrashingTask("1.0.0.0");
    job_order job = makeLongJob(sim, "1", 1, 60);
    job.targetMs = longWaitMs;
    sim.submit(0, job);
    for (std::size_t owner = 0; owner < 6; ++owner) {
        sim.runFor(milliseconds(4500));
        const std::size_t next = sim.addOwner();
        sim.runFor(milliseconds(400));
        sim.owner(owner).release(sim.now());
        sim.runFor(milliseconds(20));
        const jackdaw::protocol::order_answer& answer = sim.outcomes().at("1").answer;
        if (answer.outcome != job_outcome::released)
            break;
        job.failures = answer.failures;
        ++job.handOverCount;
        sim.submit(next, job);
    }
    sim.runFor(seconds(8));
    CHECK(outcomeOf(sim, "1") == job_outcome::failed);
    CHECK(sim.runsOf("1.0.0.0") <= 3);
}

TEST_CASE("a start that reaches an upstream after its crash does not count as lost with it")
{
    std::vector<std::string> events;
    cell_settings settings;
    settings.cell = "a";
    cell_hooks hooks;
    hooks.onDecision = [&events](const cell_decision& decision) { events.emplace_back(decision.event); };
    cell_dispatcher dispatcher(settings, hooks, {});
    time_point now;
    const auto answerPoll = [&](std::int64_t bornUnixMs) {
        for (const cell_action& action : dispatcher.takeActions()) {
            if (const auto* poll = std::get_if<poll_request>(&action))
                dispatcher.onPoll(now, *poll, { { call_outcome::done, 5000 }, bornUnixMs, {}, {} });
        }
    };
    dispatcher.onUpstreamReport(now, { "u1", 1000, 1, "planning", "10.0.0.1:80", "a", { 32000, 65536, 0 }, {}, false });
    answerPoll(1000);
    now += milliseconds(10);
    dispatcher.submit(now, cell_simulation(1).makeJob("1", 1, 14000, 60), "host");
    REQUIRE(dispatcher.counts().waitingTasks == 0);
    now += milliseconds(2);
    answerPoll(2000);
    CHECK(std::count(events.begin(), events.end(), "runs_lost") == 1);
    CHECK(std::count(events.begin(), events.end(), "task_crash_counted") == 0);
}
