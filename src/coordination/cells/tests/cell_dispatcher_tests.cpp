// Tests of a cell's dispatcher on simulated upstreams: placement, faults and takeovers.
#include "coordination/cells/tests/cell_simulation.h"

#include <doctest/doctest.h>

#include <initializer_list>
#include <optional>
#include <utility>

using namespace jackdaw::cells;
using namespace jackdaw::cells::tests;
using jackdaw::protocol::job_order;
using jackdaw::protocol::job_outcome;
using jackdaw::protocol::order_answer;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Adds upstreams of the usual size and speed, then an owner, and waits until it has adopted all upstreams.
void openCell(cell_simulation& sim, std::initializer_list<const char*> ids)
{
    for (const char* id : ids)
        sim.addUpstream(id, 32000);
    sim.addOwner();
    sim.runFor(milliseconds(100));
}

void checkSafe(const cell_simulation& sim)
{
    CHECK(sim.doubleRuns() == 0);
    CHECK(sim.overfills() == 0);
}

job_outcome outcomeOf(const cell_simulation& sim, const std::string& id)
{
    REQUIRE(sim.outcomes().contains(id));
    return sim.outcomes().at(id).answer.outcome;
}

} // namespace

TEST_CASE("a job that fits starts with all its tasks and ends in time")
{
    cell_simulation sim(1);
    openCell(sim, { "u1", "u2", "u3", "u4" });
    sim.submit(0, sim.makeJob("1", 8, 14000, 60));
    sim.runFor(seconds(1));
    CHECK(sim.outcomes().at("1").isInTime);
    checkSafe(sim);
}

TEST_CASE("fast upstreams are preferred once their speed is known")
{
    cell_simulation sim(1);
    sim.addUpstream("fast", 32000, 0.6);
    sim.addUpstream("slow", 32000, 1.6);
    openCell(sim, {});
    for (int i = 0; i < 40; ++i) {
        sim.submit(0, sim.makeJob(std::to_string(i), 1, 14000, 100));
        sim.runFor(milliseconds(300));
    }
    CHECK(sim.startsOn("fast") > 3 * sim.startsOn("slow"));
}

TEST_CASE("a job that can't be in time is rejected at once with a retry delay, and never runs")
{
    cell_simulation sim(1);
    openCell(sim, { "u1" });
    sim.submit(0, sim.makeJob("long", 2, 14000, 900));
    sim.runFor(milliseconds(50));
    sim.submit(0, sim.makeJob("late", 2, 14000, 60));
    CHECK(outcomeOf(sim, "late") == job_outcome::rejected);
    CHECK(sim.outcomes().at("late").answer.retryAfterMs >= 1000);
    sim.runFor(seconds(3));
    CHECK(sim.runsOf("late.0.0.0") == 0);
    CHECK(outcomeOf(sim, "long") == job_outcome::completed);
}

// Guards against callers that wait for nothing: the declared time alone is longer than they wait, however long the objective.
TEST_CASE("a job that takes longer than its caller waits is accepted, and ends at the deadline")
{
    cell_simulation sim(1);
    openCell(sim, { "u1" });
    job_order chain = sim.makeJob("chain", 1, 1000, 60);
    chain.steps.assign(1000, chain.steps.front());
    for (std::uint32_t step = 1; step < chain.steps.size(); ++step)
        chain.steps[step].dependsOn = { step - 1 };
    sim.submit(0, chain);
    sim.submit(0, sim.makeJob("long", 1, 1000, 5000));
    sim.runFor(milliseconds(10));
    for (const std::string id : { "chain", "long" }) {
        CAPTURE(id);
        REQUIRE(sim.outcomes().contains(id));
        CHECK(outcomeOf(sim, id) == job_outcome::rejected);
        CHECK(sim.outcomes().at(id).answer.retryAfterMs >= 1000);
        CHECK(sim.runsOf(id + ".0.0.0") == 0);
    }
    job_order patient = sim.makeJob("patient", 1, 1000, 5000);
    patient.timeLeftMs = 6000;
    sim.submit(0, patient);
    sim.runFor(seconds(6));
    CHECK(outcomeOf(sim, "patient") == job_outcome::completed);
    checkSafe(sim);
}

// Guards against a caller that waits until its deadline for a job that has not begun and can't end before it any more.
TEST_CASE("a waiting job is kept until its deadline although its time is no longer enough")
{
    cell_simulation sim(1);
    openCell(sim, { "u1" });
    job_order first = sim.makeJob("first", 1, 24000, 400);
    first.timeLeftMs = 5000;
    sim.submit(0, first, 3000); // fills the upstream for longer than declared
    sim.runFor(milliseconds(20));
    job_order waits = sim.makeJob("waits", 1, 24000, 900);
    waits.targetMs = 60000;
    waits.timeLeftMs = 2000;
    sim.submit(0, waits);
    sim.runFor(milliseconds(100));
    REQUIRE_FALSE(sim.outcomes().contains("waits"));
    sim.runFor(milliseconds(1500));
    REQUIRE(sim.outcomes().contains("waits"));
    CHECK(outcomeOf(sim, "waits") == job_outcome::rejected);
    CHECK(sim.outcomes().at("waits").took < milliseconds(1700));
    CHECK(sim.runsOf("waits.0.0.0") == 0);
    checkSafe(sim);
}

TEST_CASE("a job that can never fit on any upstream fails instead of being rejected with a retry delay")
{
    cell_simulation sim(1);
    openCell(sim, { "u1" });
    sim.submit(0, sim.makeJob("wide", 1, 64000, 60));
    CHECK(outcomeOf(sim, "wide") == job_outcome::failed);
}

TEST_CASE("a task that fails is started on another upstream while it has attempts left")
{
    cell_simulation sim(1);
    sim.addUpstream("bad", 32000).fault = upstream_fault::failing;
    openCell(sim, { "good" });
    for (int i = 0; i < 10; ++i) {
        sim.submit(0, sim.makeJob(std::to_string(i), 2, 14000, 200));
        sim.runFor(milliseconds(400));
        CHECK(outcomeOf(sim, std::to_string(i)) == job_outcome::completed);
    }
    CHECK(sim.startsOn("bad") < 8); // ejected after two consecutive failures
    checkSafe(sim);
}

TEST_CASE("runs on a crashed upstream are started elsewhere, also if it restarts with the same id")
{
    cell_simulation sim(1);
    sim.addUpstream("u1", 32000, 0.6);
    openCell(sim, { "u2" });
    sim.submit(0, sim.makeJob("1", 2, 14000, 600));
    sim.runFor(milliseconds(100));
    const std::string home = sim.startsOn("u1") > 0 ? "u1" : "u2";
    sim.crash(home);
    sim.runFor(milliseconds(200));
    sim.restart(home);
    sim.runFor(seconds(3));
    CHECK(outcomeOf(sim, "1") == job_outcome::completed);
    checkSafe(sim);
}

// Guards against leases that are renewed, on the owner's side only, by polls that never reach the upstream.
TEST_CASE("a run on a crashed upstream is started elsewhere when the lease has expired, before the upstream is back")
{
    cell_simulation sim(1);
    openCell(sim, { "u1", "u2" });
    sim.submit(0, sim.makeJob("1", 1, 14000, 60));
    sim.runFor(milliseconds(10));
    sim.submit(0, sim.makeJob("2", 1, 14000, 60));
    sim.runFor(milliseconds(10));
    const std::string home = sim.startsOn("u1") > 0 ? "u1" : "u2";
    REQUIRE(sim.startsOn(home) == 2);
    sim.crash(home);
    sim.runFor(milliseconds(1400));
    CHECK(outcomeOf(sim, "1") == job_outcome::completed);
    checkSafe(sim);
}

TEST_CASE("runs on an unreachable upstream are started elsewhere only after their lease has expired")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        cell_simulation sim(seed);
        openCell(sim, { "u1", "u2" });
        for (const char* id : { "1", "2" }) {
            job_order job = sim.makeJob(id, 1, 14000, 1500);
            job.timeLeftMs = 10000;
            sim.submit(0, job);
            sim.runFor(milliseconds(10));
        }
        const std::string home = sim.startsOn("u1") > 0 ? "u1" : "u2";
        REQUIRE(sim.startsOn(home) == 2);
        sim.runFor(milliseconds(sim.random()() % 700));
        sim.upstream(home).fault = upstream_fault::unreachable;
        sim.runFor(seconds(3));
        CHECK(outcomeOf(sim, "1") == job_outcome::completed);
        sim.upstream(home).fault = upstream_fault::none;
        sim.runFor(seconds(2));
        CHECK(outcomeOf(sim, "2") == job_outcome::completed);
        checkSafe(sim);
    }
}

TEST_CASE("an unanswered start is resolved before the task starts elsewhere")
{
    cell_simulation sim(1);
    openCell(sim, { "u1", "u2" });
    sim.upstream("u1").fault = upstream_fault::answers_lost;
    sim.upstream("u2").fault = upstream_fault::answers_lost;
    sim.submit(0, sim.makeJob("1", 4, 14000, 300));
    sim.runFor(milliseconds(400));
    sim.upstream("u1").fault = upstream_fault::none;
    sim.upstream("u2").fault = upstream_fault::none;
    sim.runFor(seconds(3));
    checkSafe(sim);
}

TEST_CASE("a fenced owner stops, and the next one takes over its running tasks")
{
    cell_simulation sim(1);
    openCell(sim, { "u1", "u2" });
    job_order job = sim.makeJob("1", 4, 14000, 600);
    sim.submit(0, job);
    sim.runFor(milliseconds(100));
    const std::size_t second = sim.addOwner();
    sim.runFor(milliseconds(350)); // the poll of the previous owner is answered within its wait
    CHECK(sim.owner(0).isFenced());
    sim.owner(0).release(sim.now());
    job.handOverCount = 1;
    sim.submit(second, job);
    sim.runFor(seconds(2));
    CHECK(outcomeOf(sim, "1") == job_outcome::completed);
    for (int i = 0; i < 4; ++i)
        CHECK(sim.runsOf("1.0.0." + std::to_string(i)) == 1);
    checkSafe(sim);
}

TEST_CASE("a job that is handed over starts no task while an upstream's runs are unknown")
{
    cell_simulation sim(1);
    openCell(sim, { "u1", "u2" });
    job_order job = sim.makeJob("1", 2, 14000, 600);
    sim.submit(0, job);
    sim.runFor(milliseconds(50));
    const std::string home = sim.startsOn("u1") > 0 ? "u1" : "u2";
    sim.upstream(home).fault = upstream_fault::answers_lost;
    const std::size_t second = sim.addOwner();
    job.handOverCount = 1;
    sim.submit(second, job);
    sim.runFor(milliseconds(500));
    sim.upstream(home).fault = upstream_fault::none;
    sim.runFor(seconds(3));
    checkSafe(sim);
}

TEST_CASE("a new owner waits for leases that the previous owner renews until it is fenced")
{
    for (int offset = 0; offset < 1000; offset += 50) {
        CAPTURE(offset);
        cell_simulation sim(1);
        openCell(sim, { "u1", "u2" });
        job_order job = sim.makeJob("1", 1, 14000, 6000);
        job.timeLeftMs = 10000;
        sim.submit(0, job);
        sim.runFor(milliseconds(50 + offset));
        const std::string home = sim.startsOn("u1") > 0 ? "u1" : "u2";
        const std::size_t second = sim.addOwner();
        sim.cutFrom(second, home);
        job.handOverCount = 1;
        sim.submit(second, job);
        bool isReleased = false;
        for (int step = 0; step < 500; ++step) {
            sim.runFor(milliseconds(10));
            if (!isReleased && sim.owner(0).isFenced()) {
                sim.owner(0).release(sim.now());
                isReleased = true;
            }
        }
        CHECK(isReleased);
        checkSafe(sim);
        CHECK(sim.runsOf("1.0.0.0") == 2);
    }
}

TEST_CASE("an owner that could not reach upstreams waits for the leases of an owner that went on meanwhile")
{
    for (int pause = 0; pause < 60; pause += 5) {
        CAPTURE(pause);
        cell_simulation sim(1);
        openCell(sim, { "u1", "u2", "u3" });
        const std::size_t second = sim.addOwner();
        sim.setOwnerCut(second, true);
        sim.runFor(seconds(4));
        job_order job = sim.makeJob("1", 2, 14000, 600);
        job.timeLeftMs = 8000;
        job.targetMs = 5000;
        sim.submit(0, job);
        sim.runFor(milliseconds(50));
        sim.owner(0).release(sim.now());
        const std::string home = sim.startsOn("u1") > 0 ? "u1" : (sim.startsOn("u2") > 0 ? "u2" : "u3");
        sim.cutFrom(second, home);
        sim.setOwnerCut(second, false);
        sim.runFor(milliseconds(pause));
        job.handOverCount = 1;
        sim.submit(second, job);
        sim.runFor(seconds(5));
        checkSafe(sim);
        CHECK(outcomeOf(sim, "1") == job_outcome::completed);
    }
}

TEST_CASE("tasks that no job claims after a takeover are stopped, and their capacity is used again")
{
    cell_simulation sim(1);
    openCell(sim, { "u1" });
    sim.submit(0, sim.makeJob("1", 2, 14000, 5000));
    sim.runFor(milliseconds(50));
    const std::size_t second = sim.addOwner();
    sim.runFor(seconds(1));
    CHECK(sim.upstream("u1").running.empty());
    sim.submit(second, sim.makeJob("2", 2, 14000, 100));
    sim.runFor(seconds(1));
    CHECK(outcomeOf(sim, "2") == job_outcome::completed);
    checkSafe(sim);
}

TEST_CASE("an order with the token of another ownership is answered as not owned")
{
    cell_settings settings;
    settings.cell = "a";
    settings.token = 7;
    cell_dispatcher dispatcher(settings, {}, {});
    const cell_simulation sim(1);
    job_order job = sim.makeJob("1", 1, 14000, 60);
    job.fencingToken = 6;
    dispatcher.submit({}, job, "host");
    const auto actions = dispatcher.takeActions();
    REQUIRE(actions.size() == 1);
    CHECK(std::get<owner_answer>(actions[0]).answer.outcome == job_outcome::not_owned);
    CHECK(dispatcher.counts().jobs == 0);
}

TEST_CASE("an upstream that is leaving gets no new tasks")
{
    cell_simulation sim(1);
    sim.addUpstream("u1", 32000).isLeaving = true;
    openCell(sim, { "u2" });
    for (int i = 0; i < 5; ++i) {
        sim.submit(0, sim.makeJob(std::to_string(i), 2, 14000, 50));
        sim.runFor(milliseconds(200));
    }
    CHECK(sim.startsOn("u1") == 0);
}

TEST_CASE("random faults never overcommit an upstream nor run a task twice at the same time")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        cell_simulation sim(seed);
        const std::vector<std::string> ids { "u1", "u2", "u3", "u4", "u5", "u6" };
        for (const std::string& id : ids)
            sim.addUpstream(id, sim.random()() % 2 == 0 ? 32000 : 48000, 0.6 + static_cast<double>(sim.random()() % 10) / 10);
        openCell(sim, {});
        std::size_t owner = 0;
        for (int i = 0; i < 200; ++i) {
            sim.submit(owner, sim.makeJob(std::to_string(i), 1 + sim.random()() % 8, 10000 + static_cast<std::int64_t>(sim.random()() % 10000), 40 + sim.random()() % 400, sim.random()() % 3));
            sim.runFor(milliseconds(sim.random()() % 60));
            sim_upstream& upstream = sim.upstream(ids[sim.random()() % ids.size()]);
            if (upstream.fault == upstream_fault::crashed)
                sim.restart(upstream.id);
            else if (sim.random()() % 8 == 0)
                sim.crash(upstream.id);
            else if (sim.random()() % 4 == 0)
                upstream.fault = static_cast<upstream_fault>(sim.random()() % 8);
            else
                upstream.fault = upstream_fault::none;
            if (sim.random()() % 50 == 0)
                owner = sim.addOwner();
        }
        sim.runFor(seconds(5));
        checkSafe(sim);
    }
}

TEST_CASE("a job waits for the capacity of tasks that are being stopped")
{
    cell_simulation sim(1);
    openCell(sim, { "u1" });
    sim.submit(0, sim.makeJob("long", 2, 14000, 900));
    sim.runFor(milliseconds(20));
    sim.owner(0).cancel(sim.now(), "long", "host");
    sim.submit(0, sim.makeJob("next", 2, 14000, 60));
    sim.runFor(seconds(1));
    CHECK(outcomeOf(sim, "next") == job_outcome::completed);
    checkSafe(sim);
}

// The callers of a host that is lost send their jobs again 1.3 s later, perhaps to another zone, which does not know of these runs.
TEST_CASE("the runs of an origin that falls silent go on until its callers are back")
{
    cell_simulation sim(1);
    openCell(sim, { "u1", "u2" });
    job_order job = sim.makeJob("1", 2, 14000, 9000);
    job.timeLeftMs = 14000;
    sim.submit(0, job);
    const auto run = [&](milliseconds length, bool isOriginAlive) {
        for (milliseconds passed { 0 }; passed < length; passed += milliseconds(50)) {
            sim.runFor(milliseconds(50));
            if (isOriginAlive)
                sim.owner(0).onOriginHeard(sim.now(), "host");
            sim.owner(0).endSilentOrigins(sim.now());
        }
    };
    run(seconds(3), true);
    CHECK(sim.upstream("u1").running.size() + sim.upstream("u2").running.size() == 2);
    sim.setOriginLost("host");
    run(milliseconds(1250), false);
    CHECK(sim.upstream("u1").running.empty());
    CHECK(sim.upstream("u2").running.empty());
    CHECK(sim.owner(0).counts().jobs == 0);
}

TEST_CASE("a second origin that waits for a job, or a job of the same origin that came later, is ended with a silent one")
{
    cell_simulation sim(1);
    openCell(sim, { "u1", "u2" });
    job_order job = sim.makeJob("1", 2, 14000, 3000);
    job.timeLeftMs = 5000;
    job.fencingToken = 1;
    sim.submit(0, job);
    sim.setOriginLost("host");
    sim.runFor(milliseconds(900));
    sim.owner(0).submit(sim.now(), job, "other");
    sim.runFor(milliseconds(200));
    sim.owner(0).endSilentOrigins(sim.now());
    CHECK(sim.owner(0).counts().jobs == 1);
    sim.runFor(milliseconds(600));
    sim.owner(0).onOriginHeard(sim.now(), "other");
    job_order later = sim.makeJob("2", 1, 14000, 60);
    sim.submit(0, later);
    sim.owner(0).endSilentOrigins(sim.now());
    CHECK(sim.owner(0).counts().jobs == 2);
    checkSafe(sim);
}

TEST_CASE("a cancellation that is sent again ends the next submission of the job, or is not answered")
{
    cell_dispatcher dispatcher({}, {}, {});
    dispatcher.onUpstreamReport({}, { "u1", 1000, 1, "planning", "10.0.0.1:80", "a", { 32000, 65536, 0 }, {}, false });
    dispatcher.takeActions();
    const cell_simulation sim(1);
    job_order job = sim.makeJob("1", 2, 14000, 900);
    const auto answers = [&] {
        std::vector<owner_answer> out;
        for (const cell_action& action : dispatcher.takeActions()) {
            if (const auto* answer = std::get_if<owner_answer>(&action))
                out.push_back(*answer);
        }
        return out;
    };
    job.handOverCount = 1;
    job.submissionNumber = 5;
    dispatcher.submit({}, job, "host");
    job.submissionNumber = 6; // the first cancellation of 5 was lost
    dispatcher.submit({}, job, "host");
    CHECK(answers().empty());
    for (const std::uint64_t number : { 5, 5, 6, 6 }) {
        CAPTURE(number);
        dispatcher.cancel({}, "1", "host", number);
        CHECK(dispatcher.counts().jobs == (number == 5 ? 1 : 0));
        const auto given = answers();
        REQUIRE_FALSE(given.empty());
        CHECK(given[0].origins == std::vector<std::string> { "host" });
        CHECK(given[0].answer.submissionNumber == number);
        CHECK(given[0].answer.outcome == job_outcome::unfinished);
    }
}

// A second caller of a job at the same host, or at another one, that waits for longer than the first.
TEST_CASE("an owner ends a job at the deadline of the caller that waits least, or names the wrong order in its answer")
{
    for (const bool isOtherHost : { false, true }) {
        CAPTURE(isOtherHost);
        cell_simulation sim(1);
        openCell(sim, { "u1" });
        job_order job = sim.makeJob("1", 2, 14000, 400);
        job.submissionNumber = 5;
        job.timeLeftMs = 700;
        sim.submit(0, job, 1200);
        sim.runFor(milliseconds(100));
        job_order later = job;
        later.submissionNumber = isOtherHost ? 3 : 6;
        later.timeLeftMs = 2000;
        sim.submit(0, later, 1200, isOtherHost ? "other" : "host");
        job.timeLeftMs = 500; // sent again, or overtaken by the later order
        sim.submit(0, job, 1200);
        sim.runFor(milliseconds(1000));
        CHECK(sim.runningTasksOf("1") == 2);
        sim.runFor(milliseconds(500));
        CHECK(outcomeOf(sim, "1") == job_outcome::completed);
        CHECK(sim.outcomes().at("1").answer.submissionNumber == later.submissionNumber);
        checkSafe(sim);
    }
}

TEST_CASE("a second host takes the end of a cancelled job for that of another order, and sends the job again")
{
    cell_dispatcher dispatcher({}, {}, {});
    const cell_simulation sim(1);
    job_order job = sim.makeJob("1", 2, 14000, 900);
    job.handOverCount = 1;
    job.submissionNumber = 5;
    dispatcher.submit({}, job, "host");
    job.handOverCount = 2;
    job.submissionNumber = 9;
    dispatcher.submit({}, job, "other");
    dispatcher.takeActions();
    REQUIRE(dispatcher.cancelForCaller({}, "1"));
    std::size_t answers = 0;
    for (const cell_action& action : dispatcher.takeActions()) {
        if (const auto* answer = std::get_if<owner_answer>(&action)) {
            ++answers;
            REQUIRE(answer->origins.size() == 1);
            CHECK(answer->answer.outcome == job_outcome::unfinished);
            CHECK(answer->answer.submissionNumber == (answer->origins[0] == "host" ? 5 : 9));
            CHECK(answer->answer.handOverCount == (answer->origins[0] == "host" ? 1 : 2));
        }
    }
    CHECK(answers == 2);
}

// After a cut heals, the job may reach the next owner before the news of an upstream that only the earlier owner knew.
TEST_CASE("the next owner starts a task that runs on an upstream of which only the releasing owner knew")
{
    using jackdaw::protocol::upstream_report;
    const jackdaw::cells::time_point now { seconds(100) };
    const auto report = [](const char* id) { return upstream_report { id, 1000, 1, "planning", std::string(id) + ":80", "a", { 16000, 65536, 0 }, {}, false }; };
    const auto adopt = [&](cell_dispatcher& owner, const char* id, std::vector<running_task> running) {
        poll_answer answer;
        answer.bornUnixMs = 1000;
        answer.call = { call_outcome::done, 5000 };
        answer.running = std::move(running);
        for (const cell_action& action : owner.takeActions()) {
            const auto* poll = std::get_if<poll_request>(&action);
            if (poll && poll->target.id == id)
                return owner.onPoll(now, *poll, answer);
        }
        FAIL("the upstream was not polled");
    };
    const auto starts = [](cell_dispatcher& owner) {
        std::vector<std::string> out;
        for (const cell_action& action : owner.takeActions()) {
            if (const auto* start = std::get_if<start_request>(&action))
                out.push_back(start->run.task + " on " + start->target.id);
        }
        return out;
    };
    const cell_simulation sim(1);
    job_order job = sim.makeJob("1", 1, 14000, 900);
    job.fencingToken = 1;
    cell_settings settings;
    settings.token = 1;
    cell_dispatcher first(settings, {}, now);
    first.onUpstreamReport(now, report("known to the first"));
    adopt(first, "known to the first", {});
    first.submit(now, job, "host");
    CHECK(starts(first) == std::vector<std::string> { "1.0.0.0 on known to the first" });
    first.release(now);
    order_answer released;
    for (const cell_action& action : first.takeActions()) {
        if (const auto* answer = std::get_if<owner_answer>(&action))
            released = answer->answer;
    }
    REQUIRE(released.outcome == job_outcome::released);

    settings.token = 2;
    cell_dispatcher second(settings, {}, now);
    second.onUpstreamReport(now, report("known to the second"));
    adopt(second, "known to the second", {});
    second.onUpstreamReport(now, report("silent"));
    job.fencingToken = 2;
    job.handOverCount = 1;
    job.runsOn = released.runsOn;
    job.areRunsKnown = released.areRunsKnown;
    second.submit(now, job, "host");
    // It adopts the upstream that the first owner named, and claims the run there.
    adopt(second, "known to the first", { { { "1.0.0.0", 1 } } });
    CHECK(starts(second).empty());
    // A job without runs need not wait for the upstream that is silent.
    job_order other = sim.makeJob("2", 1, 14000, 60);
    other.fencingToken = 2;
    other.handOverCount = 1;
    other.areRunsKnown = true;
    second.submit(now, other, "host");
    CHECK(starts(second) == std::vector<std::string> { "2.0.0.0 on known to the second" });
}

// An owner that has not heard of a later claim gets the job back when that one is given up.
TEST_CASE("an owner starts a task beside its run under a later token on an upstream that it adopted before")
{
    for (const auto& variant : { std::pair(false, "u1"), std::pair(false, "u2"), std::pair(true, "u1"), std::pair(true, "u2") }) {
        const bool isReleased = variant.first;
        const std::string home = variant.second;
        CAPTURE(isReleased);
        CAPTURE(home);
        cell_simulation sim(1);
        openCell(sim, { "u1", "u2" });
        const std::size_t later = sim.addOwner(false, home == "u1" ? "u2" : "u1");
        job_order job = sim.makeJob("1", 1, 14000, 900);
        job.targetMs = 5000;
        job.timeLeftMs = 8000;
        sim.runFor(milliseconds(20));
        sim.submit(later, job);
        sim.runFor(milliseconds(20));
        REQUIRE(sim.startsOn(home) == 1);
        if (isReleased)
            sim.owner(later).release(sim.now());
        else
            sim.killOwner(later);
        job.handOverCount = 1;
        job.earlierToken = sim.tokenOf(later);
        job.areRunsKnown = isReleased;
        if (isReleased)
            job.runsOn = { sim.makeReport(home, 10) };
        sim.submit(0, job);
        sim.runFor(milliseconds(500));
        CHECK(sim.runsOf("1.0.0.0") == 1);
        CHECK(sim.doubleRuns() == 0);
    }
}

// The host may be cut off from the control hosts when it takes the cell from an owner that still hears them.
TEST_CASE("a job that was handed over starts while the list of upstreams is older than the handover")
{
    jackdaw::cells::time_point now { seconds(100) };
    jackdaw::cells::time_point toldUntil = now - milliseconds(900);
    cell_settings settings;
    settings.token = 2;
    cell_hooks hooks;
    hooks.upstreamsHeardSince = [&] { return now - seconds(60); };
    hooks.upstreamsToldUntil = [&] { return toldUntil; };
    cell_dispatcher owner(settings, hooks, now);
    owner.onUpstreamReport(now, { "known", 1000, 1, "planning", "known:80", "a", { 16000, 65536, 0 }, {}, false });
    const auto starts = [&owner, &now] {
        std::size_t count = 0;
        for (const cell_action& action : owner.takeActions()) {
            count += std::holds_alternative<start_request>(action) ? 1 : 0;
            if (const auto* poll = std::get_if<poll_request>(&action))
                owner.onPoll(now, *poll, { { call_outcome::done, 5000 }, 1000, {}, {} });
        }
        return count;
    };
    starts();
    job_order job = cell_simulation(1).makeJob("1", 1, 14000, 900);
    job.fencingToken = 2;
    CHECK_FALSE(owner.needsUpstreamNews(now));
    job.handOverCount = 1;
    now += milliseconds(10);
    owner.submit(now, job, "host");
    CHECK(starts() == 0);
    CHECK(owner.needsUpstreamNews(now));
    now += milliseconds(10);
    toldUntil = now;
    CHECK_FALSE(owner.needsUpstreamNews(now));
    owner.advance(now);
    CHECK(starts() == 1);
}

TEST_CASE("an owner that does not know all runs itself names its upstreams as all that may run a job")
{
    const jackdaw::cells::time_point now { seconds(100) };
    cell_settings settings;
    settings.token = 1;
    cell_dispatcher owner(settings, {}, now);
    owner.onUpstreamReport(now, { "silent", 1000, 1, "planning", "silent:80", "a", { 16000, 65536, 0 }, {}, false });
    job_order job = cell_simulation(1).makeJob("1", 1, 14000, 900);
    job.fencingToken = 1;
    job.handOverCount = 1;
    job.runsOn = { { "named", 1000, 1, "planning", "named:80", "a", { 16000, 65536, 0 }, {}, false } };
    owner.submit(now, job, "host");
    owner.takeActions();
    owner.release(now);
    const auto actions = owner.takeActions();
    REQUIRE(actions.size() == 1);
    const order_answer& released = std::get<owner_answer>(actions[0]).answer;
    CHECK_FALSE(released.areRunsKnown);
    REQUIRE(released.runsOn.size() == 1);
    CHECK(released.runsOn[0].id == "named");
}

// The owner and the host of the job's caller may be one, and the caller sends the job again 1.3 s after it was lost.
TEST_CASE("the next owner keeps runs of a lost host alive until its callers are back")
{
    for (milliseconds takeover { 700 }; takeover <= milliseconds(1100); takeover += milliseconds(25)) {
        for (const auto& variant : { std::pair(false, false), std::pair(true, false), std::pair(true, true) }) {
            const bool isBusy = variant.first;
            const bool isNextLost = variant.second;
            CAPTURE(takeover.count());
            CAPTURE(isBusy);
            CAPTURE(isNextLost);
            cell_simulation sim(1);
            openCell(sim, { "u1" });
            job_order job = sim.makeJob("lost", 1, 14000, 9000);
            job.timeLeftMs = 14000;
            sim.submit(0, job);
            job_order kept = sim.makeJob("kept", 1, 14000, 9000);
            kept.timeLeftMs = 14000;
            if (isBusy)
                sim.submit(0, kept);
            sim.runFor(milliseconds(1000));
            sim.setOwnerCut(0, true);
            sim.runFor(takeover);
            const std::size_t next = sim.addOwner(true);
            if (isBusy) { // a job whose host lives: its runs have to be renewed
                kept.handOverCount = 1;
                sim.submit(next, kept);
            }
            sim.runFor(milliseconds(150));
            sim.setOwnerCut(next, isNextLost);
            sim.runFor(milliseconds(1250) - takeover - milliseconds(150));
            for (const sim_task_run& run : sim.upstream("u1").running)
                CHECK_FALSE(run.run.task.starts_with("lost"));
            if (isBusy && !isNextLost && takeover <= milliseconds(900))
                CHECK(sim.upstream("u1").running.size() == 1);
            checkSafe(sim);
        }
    }
}

TEST_CASE("a job whose order was late on its link runs on after its caller's deadline")
{
    cell_simulation sim(1);
    openCell(sim, { "u1", "u2" });
    job_order job = sim.makeJob("1", 2, 14000, 1000);
    job.fencingToken = 1;
    job.timeLeftMs = 3000; // when it was sent, 1.2 s ago
    sim.submit(0, job, 9000); // takes longer than declared
    sim.runFor(milliseconds(100));
    job.timeLeftMs = 1700; // the same order, sent again
    sim.owner(0).submit(sim.now(), job, "host");
    job.timeLeftMs = 100; // of another caller
    job.submissionNumber = 1;
    sim.owner(0).submit(sim.now(), job, "other");
    sim.runFor(milliseconds(1600));
    CHECK(sim.upstream("u1").running.size() + sim.upstream("u2").running.size() == 2);
    sim.runFor(milliseconds(200));
    CHECK(sim.upstream("u1").running.empty());
    CHECK(sim.upstream("u2").running.empty());
}

// An owner that stood still reads answers of upstreams, or the order itself, before its timers run.
TEST_CASE("a job that waits is started after its caller's deadline")
{
    const jackdaw::protocol::upstream_report report { "u1", 1000, 1, "planning", "10.0.0.1:80", "a", { 16000, 65536, 0 }, {}, false };
    const jackdaw::cells::time_point start { seconds(100) };
    const cell_simulation sim(1);
    for (const bool isReadLate : { false, true }) {
        CAPTURE(isReadLate);
        cell_dispatcher dispatcher({}, {}, start);
        dispatcher.onUpstreamReport(start, report);
        std::optional<poll_request> poll;
        for (const cell_action& action : dispatcher.takeActions()) {
            if (const auto* order = std::get_if<poll_request>(&action))
                poll = *order;
        }
        REQUIRE(poll);
        job_order job = sim.makeJob("1", 1, 14000, 900);
        job.handOverCount = 1; // it waits until the upstream is adopted
        if (isReadLate)
            jackdaw::protocol::shortenTimeLeft(job, milliseconds(1500));
        dispatcher.submit(start, job, "host");
        const auto woken = start + (isReadLate ? milliseconds(10) : milliseconds(3500));
        poll_answer answer;
        answer.bornUnixMs = 1000;
        answer.call = { call_outcome::done, 5000 };
        dispatcher.onPoll(woken, *poll, answer);
        for (const cell_action& action : dispatcher.takeActions())
            CHECK_FALSE(std::holds_alternative<start_request>(action));
        dispatcher.advance(woken);
        CHECK(dispatcher.counts().jobs == 0);
    }
}

TEST_CASE("a resubmitted job does not start a task whose earlier run has not ended")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (const auto pause : { milliseconds(0), milliseconds(10), milliseconds(60) }) {
            CAPTURE(seed);
            CAPTURE(pause.count());
            cell_simulation sim(seed);
            openCell(sim, { "u1", "u2", "u3", "u4" });
            sim.submit(0, sim.makeJob("1", 6, 14000, 900));
            sim.runFor(milliseconds(150));
            sim.owner(0).cancel(sim.now(), "1", "host");
            sim.runFor(pause);
            job_order again = sim.makeJob("1", 6, 14000, 900);
            again.submissionNumber = 2;
            sim.submit(0, again);
            sim.runFor(seconds(3));
            CHECK(outcomeOf(sim, "1") == job_outcome::completed);
            checkSafe(sim);
        }
    }
}

TEST_CASE("a resubmitted job waits for runs on upstreams whose answers are lost")
{
    for (const auto silence : { milliseconds(1400), milliseconds(1700), milliseconds(2000) }) {
        CAPTURE(silence.count());
        cell_simulation sim(1);
        openCell(sim, { "u1", "u2", "u3", "u4" });
        sim.submit(0, sim.makeJob("1", 6, 14000, 3000));
        sim.runFor(milliseconds(100));
        sim.upstream("u1").fault = upstream_fault::answers_lost;
        sim.upstream("u2").fault = upstream_fault::answers_lost;
        sim.runFor(milliseconds(50));
        sim.owner(0).cancel(sim.now(), "1", "host");
        sim.runFor(milliseconds(1300));
        job_order again = sim.makeJob("1", 6, 14000, 300);
        again.submissionNumber = 2;
        again.timeLeftMs = 5000;
        sim.submit(0, again);
        sim.runFor(silence - milliseconds(1350));
        sim.upstream("u1").fault = upstream_fault::none;
        sim.upstream("u2").fault = upstream_fault::none;
        sim.runFor(seconds(5));
        checkSafe(sim);
    }
}

TEST_CASE("random faults never run a task of a resubmitted job twice at the same time")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        cell_simulation sim(seed);
        const std::vector<std::string> ids { "u1", "u2", "u3", "u4", "u5", "u6" };
        for (const std::string& id : ids)
            sim.addUpstream(id, 48000);
        openCell(sim, {});
        std::vector<job_order> submitted;
        for (int i = 0; i < 200; ++i) {
            sim_upstream& upstream = sim.upstream(ids[sim.random()() % ids.size()]);
            const auto fault = static_cast<upstream_fault>(sim.random()() % 6); // neither crashes nor calls that are carried out late
            upstream.fault = fault == upstream_fault::delayed_calls ? upstream_fault::none : fault;
            job_order job = sim.makeJob(std::to_string(i), 1 + sim.random()() % 8, 14000, 40 + sim.random()() % 1500);
            if (!submitted.empty() && sim.random()() % 3 == 0) {
                job = submitted[sim.random()() % submitted.size()];
                sim.owner(0).cancel(sim.now(), job.id, "host");
                ++job.submissionNumber;
            }
            sim.submit(0, job);
            if (submitted.size() < 20)
                submitted.push_back(job);
            sim.runFor(milliseconds(sim.random()() % 100));
        }
        sim.runFor(seconds(5));
        checkSafe(sim);
    }
}

TEST_CASE("an upstream's silence does not keep runs alive that no job wants")
{
    cell_simulation sim(1);
    openCell(sim, { "u1" });
    sim.submit(0, sim.makeJob("1", 2, 14000, 5000));
    sim.runFor(milliseconds(100));
    sim.upstream("u1").fault = upstream_fault::stops_lost;
    sim.owner(0).cancel(sim.now(), "1", "host");
    sim.runFor(milliseconds(1500));
    CHECK(sim.upstream("u1").running.empty());
}

TEST_CASE("a start without an answer that the next life of its upstream carries out does not run beside another run")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        cell_simulation sim(seed);
        const std::vector<std::string> ids { "u1", "u2", "u3", "u4" };
        for (const std::string& id : ids)
            sim.addUpstream(id, 64000);
        openCell(sim, {});
        sim.setDelayedShare(0.4);
        for (const std::string& id : ids)
            sim.upstream(id).fault = upstream_fault::delayed_calls;
        job_order job = sim.makeJob("1", 8, 14000, 15000);
        job.timeLeftMs = 20000;
        sim.submit(0, job);
        sim.runFor(milliseconds(1000));
        for (const std::string& id : ids)
            sim.upstream(id).fault = upstream_fault::none;
        const std::string& reborn = ids[sim.random()() % ids.size()];
        sim.crash(reborn);
        sim.runFor(milliseconds(sim.random()() % 300));
        sim.restart(reborn);
        sim.runFor(seconds(14));
        checkSafe(sim);
    }
}
TEST_CASE("a job that was moved to another cell goes there again when it is resubmitted")
{
    cell_settings settings;
    settings.cell = "a";
    cell_hooks hooks;
    std::string other = "b";
    hooks.findOtherCell = [&other](const job_order&) { return other; };
    cell_dispatcher dispatcher(settings, hooks, {});
    const cell_simulation sim(1);
    const jackdaw::protocol::upstream_report report { "u1", 1000, 1, "planning", "10.0.0.1:80", "a", { 16000, 65536, 0 }, {}, false };
    dispatcher.onUpstreamReport({}, report);
    dispatcher.takeActions();
    const auto submit = [&](std::uint64_t submission, const char* origin, bool mayMove = true) {
        job_order job = sim.makeJob("1", 2, 14000, 60);
        job.submissionNumber = submission;
        job.mayMove = mayMove;
        dispatcher.submit(jackdaw::cells::time_point(seconds(submission)), job, origin);
        for (const cell_action& action : dispatcher.takeActions()) {
            if (const auto* answer = std::get_if<owner_answer>(&action))
                return answer->answer;
        }
        return jackdaw::protocol::order_answer {};
    };
    CHECK(submit(1, "host-1").cell == "b");
    other = "c";
    const auto again = submit(2, "host-2");
    CHECK(again.outcome == job_outcome::moved);
    CHECK(again.cell == "b");
    CHECK(again.submissionNumber == 2);
    CHECK(submit(3, "host-3", false).outcome != job_outcome::moved);
}

TEST_CASE("a job that an earlier owner may run is moved to a cell that does not know of its runs")
{
    cell_settings settings;
    cell_hooks hooks;
    hooks.findOtherCell = [](const job_order&) { return std::string("b"); };
    cell_dispatcher dispatcher(settings, hooks, {});
    const cell_simulation sim(1);
    dispatcher.onUpstreamReport({}, { "u1", 1000, 1, "planning", "10.0.0.1:80", "a", { 16000, 65536, 0 }, {}, false });
    job_order job = sim.makeJob("1", 2, 14000, 60);
    std::vector<job_outcome> outcomes;
    for (const std::uint32_t handOverCount : { 0, 1 }) { // the second for an origin that sent the job to an earlier owner
        job.handOverCount = handOverCount;
        dispatcher.submit({}, job, "host");
        for (const cell_action& action : dispatcher.takeActions()) {
            if (const auto* answer = std::get_if<owner_answer>(&action))
                outcomes.push_back(answer->answer.outcome);
        }
    }
    CHECK(outcomes == std::vector<job_outcome> { job_outcome::moved });
    CHECK(dispatcher.counts().jobs == 1);
}

TEST_CASE("an upstream that reports a capacity beyond all bounds ends no owner while a job waits")
{
    cell_simulation sim(1);
    openCell(sim, { "u1", "odd" });
    sim.upstream("odd").capacity = { INT64_MAX, 0, 0 };
    sim.runFor(seconds(2));
    sim.submit(0, sim.makeJob("first", 2, 14000, 200));
    CHECK_NOTHROW(sim.submit(0, sim.makeJob("second", 2, 14000, 200)));
    sim.runFor(seconds(1));
    CHECK(outcomeOf(sim, "first") == job_outcome::completed);
}

TEST_CASE("a report with a sequence too large shuts out the upstream's own reports for seconds only")
{
    cell_simulation sim(1);
    openCell(sim, { "u1" });
    jackdaw::protocol::upstream_report odd = sim.makeReport("u1", INT64_MAX);
    odd.isLeaving = true;
    sim.receiveReport(0, odd);
    sim.runFor(seconds(15));
    sim.submit(0, sim.makeJob("1", 1, 14000, 60));
    sim.runFor(seconds(1));
    CHECK(outcomeOf(sim, "1") == job_outcome::completed);
}

TEST_CASE("tasks do not run twice after a report that names another upstream's address")
{
    for (const std::int64_t later : { 0, 1 }) {
        CAPTURE(later);
        cell_simulation sim(1);
        openCell(sim, { "u1", "u2" });
        sim.submit(0, sim.makeJob("1", 2, 14000, 500));
        sim.runFor(milliseconds(50));
        for (const char* id : { "u1", "u2" }) {
            jackdaw::protocol::upstream_report odd = sim.makeReport(id, 1);
            odd.id = std::string("odd ") + id;
            odd.startedUnixMs += later;
            sim.receiveReport(0, odd);
        }
        sim.runFor(seconds(2));
        CHECK(outcomeOf(sim, "1") == job_outcome::completed);
        CHECK(sim.runsOf("1.0.0.0") == 1);
        CHECK(sim.runsOf("1.0.0.1") == 1);
        checkSafe(sim);
        CHECK(sim.owner(0).upstreamNames() == std::vector<std::string> { "u1", "u2" });
    }
}

TEST_CASE("tasks do not run twice after a report that names a later start of a running upstream")
{
    cell_simulation sim(1);
    openCell(sim, { "u1", "u2" });
    sim.submit(0, sim.makeJob("1", 2, 14000, 500));
    sim.runFor(milliseconds(50));
    for (const char* id : { "u1", "u2" }) {
        jackdaw::protocol::upstream_report odd = sim.makeReport(id, 1);
        odd.startedUnixMs = INT64_MAX;
        sim.receiveReport(0, odd);
    }
    sim.runFor(seconds(2));
    CHECK(outcomeOf(sim, "1") == job_outcome::completed);
    CHECK(sim.runsOf("1.0.0.0") == 1);
    CHECK(sim.runsOf("1.0.0.1") == 1);
    checkSafe(sim);
}

TEST_CASE("an upstream that is removed after long silence has no lease left")
{
    cell_simulation sim(1);
    openCell(sim, { "u1", "u2" });
    job_order job = sim.makeJob("1", 1, 14000, 20000);
    job.timeLeftMs = 30000;
    sim.submit(0, job);
    sim.runFor(milliseconds(100));
    const std::string home = sim.startsOn("u1") > 0 ? "u1" : "u2";
    sim.upstream(home).fault = upstream_fault::answers_lost;
    sim.upstream(home).areReportsLost = true;
    sim.runFor(seconds(16));
    checkSafe(sim);
}

TEST_CASE("a renewal that is carried out late does not let a run outlive the lease that its owner knows")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        cell_simulation sim(seed);
        openCell(sim, { "u1", "u2" });
        sim.letLateLeasesBeginOnArrival();
        job_order job = sim.makeJob("1", 1, 14000, 20000);
        job.timeLeftMs = 30000;
        sim.submit(0, job);
        sim.runFor(milliseconds(50));
        job.id = "2"; // on the same upstream; the task that started last there is not started again as long as it may have crashed it
        sim.submit(0, job);
        sim.runFor(milliseconds(50));
        const std::string home = sim.startsOn("u1") > 0 ? "u1" : "u2";
        sim.setDelayedShare(1);
        sim.upstream(home).fault = upstream_fault::delayed_calls;
        sim.runFor(milliseconds(350));
        sim.upstream(home).fault = upstream_fault::none;
        sim.runFor(milliseconds(1200 + sim.random()() % 9000));
        sim.upstream(home).fault = upstream_fault::unreachable;
        sim.runFor(seconds(10));
        checkSafe(sim);
    }
}

TEST_CASE("a job whose label only upstreams of another cell have goes there, and is never answered as failed")
{
    std::vector<std::string> capable { "b" };
    cell_hooks hooks;
    hooks.findCapableCells = [&capable](const job_order&) { return capable; };
    cell_dispatcher dispatcher({}, hooks, {});
    const cell_simulation sim(1);
    dispatcher.onUpstreamReport({}, { "u1", 1000, 1, "planning", "10.0.0.1:80", "a", { 16000, 65536, 0 }, { "here" }, false });
    dispatcher.takeActions();
    const auto submit = [&](const std::string& id, bool mayMove) {
        job_order job = sim.makeJob(id, 1, 14000, 60);
        job.steps.front().requiredLabel = "there";
        job.mayMove = mayMove;
        dispatcher.submit({}, job, "host");
        return std::get<owner_answer>(dispatcher.takeActions().front()).answer;
    };
    CHECK(submit("1", true).outcome == job_outcome::moved);
    CHECK(submit("2", true).cell == "b");
    CHECK(submit("3", false).outcome == job_outcome::rejected); // it was moved here for another reason
    capable.clear();
    CHECK(submit("4", true).outcome == job_outcome::failed);
}

TEST_CASE("jobs of very many tasks are expanded until their owner has no memory left")
{
    cell_simulation sim(1);
    openCell(sim, { "u1" });
    job_order large = sim.makeJob("large", 1, 14000, 60);
    large.steps.assign(600, large.steps.front());
    for (auto& step : large.steps)
        step.count = 10000;
    sim.submit(0, large);
    CHECK(outcomeOf(sim, "large") == job_outcome::rejected);
    CHECK(sim.outcomes().at("large").answer.retryAfterMs >= 1000);
    job_order handedOver = large;
    handedOver.id = "handed over";
    handedOver.handOverCount = 1;
    sim.submit(0, handedOver);
    CHECK(outcomeOf(sim, "handed over") == job_outcome::unfinished);
    sim.submit(0, sim.makeJob("ordinary", 2, 14000, 60));
    sim.runFor(seconds(1));
    CHECK(outcomeOf(sim, "ordinary") == job_outcome::completed);
    CHECK(sim.runsOf("large.0.0.0") == 0);
    checkSafe(sim);
}
