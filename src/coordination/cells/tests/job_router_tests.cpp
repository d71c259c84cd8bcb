// Tests of forwarding jobs to changing owners.
#include "coordination/cells/job_router.h"

#include "coordination/cells/tests/cell_simulation.h"

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <optional>
#include <vector>

using namespace jackdaw::cells;
using jackdaw::cells::tests::cell_simulation;
using jackdaw::protocol::job_order;
using jackdaw::protocol::job_outcome;
using jackdaw::protocol::makeOrderAnswer;
using jackdaw::protocol::order_answer;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct router_fixture {
    std::optional<cell_owner> owner = cell_owner { "h1", 10, false };
    job_router router { [](std::string_view) { return "a"; }, [this](std::string_view) { return owner; } };
    time_point now;

    job_order makeOrder(const std::string& id) const
    {
        job_order order;
        order.id = id;
        order.steps = { { 2, { 1000, 0, 0 }, 100, {}, "", "", 0 } };
        order.timeLeftMs = 1500;
        return order;
    }

    std::vector<forward_job> sent()
    {
        std::vector<forward_job> out;
        for (const router_action& action : router.takeActions()) {
            if (const auto* send = std::get_if<forward_job>(&action))
                out.push_back(*send);
            else if (const auto* answer = std::get_if<answer_callers>(&action))
                answers.push_back(*answer);
        }
        return out;
    }

    std::vector<answer_callers> answers;
};

} // namespace

TEST_CASE("a result goes to every caller of the job")
{
    router_fixture f;
    f.router.submit(f.now, f.makeOrder("1"), 1);
    f.router.submit(f.now, f.makeOrder("1"), 2);
    const auto sent = f.sent();
    REQUIRE(sent.size() == 1);
    f.router.onAnswer(f.now, "h1", makeOrderAnswer(sent[0].order, job_outcome::completed, ""));
    CHECK(f.sent().empty());
    REQUIRE(f.answers.size() == 1);
    CHECK(f.answers[0].callers == std::vector<caller_id> { 1, 2 });
    CHECK(f.router.size() == 0);
}

// Guards against jobs that wait for their owners' answers without being counted in this host's memory.
TEST_CASE("jobs in progress take more of the memory of their callers' host than they may")
{
    constexpr std::size_t maxBytes = 1024 * 1024;
    router_fixture f;
    job_router router([](std::string_view) { return "a"; }, [&f](std::string_view) { return f.owner; }, {}, maxBytes);
    job_order large = f.makeOrder("large");
    large.steps.front().dependsOn.assign(64 * 1024, 0); // 256 KiB
    for (caller_id caller = 1; caller <= 20; ++caller) {
        large.id = std::to_string(caller);
        router.submit(f.now, large, caller);
    }
    CHECK(router.size() == 3);
    std::size_t rejected = 0;
    for (const router_action& action : router.takeActions()) {
        if (const auto* answer = std::get_if<answer_callers>(&action))
            rejected += answer->answer.outcome == job_outcome::rejected && answer->answer.retryAfterMs > 0 ? 1 : 0;
    }
    CHECK(rejected == 17);
    router.submit(f.now, large, 21); // the same job as the last rejected one
    router.submit(f.now, f.makeOrder("small"), 22);
    CHECK(router.size() == 4);
    router.onCallerGone(f.now, 1);
    router.submit(f.now, large, 23);
    CHECK(router.size() == 4);
    for (const caller_id caller : { 2, 3, 22, 23 })
        router.onCallerGone(f.now, caller);
    CHECK(router.size() == 0);
    for (caller_id caller = 31; caller <= 33; ++caller) { // nothing of the ended ones is counted any more
        large.id = std::to_string(caller);
        router.submit(f.now, large, caller);
    }
    CHECK(router.size() == 3);
}

TEST_CASE("a job that avoids its home cell is a first submission there, and a repeated one doesn't move it")
{
    router_fixture f;
    f.router.submit(f.now, f.makeOrder("1"), 1, "b");
    f.router.submit(f.now, f.makeOrder("1"), 2);
    f.router.submit(f.now, f.makeOrder("2"), 3);
    const auto sent = f.sent();
    REQUIRE(sent.size() == 2);
    CHECK(sent[0].order.cell == "b");
    CHECK(sent[0].order.handOverCount == 0);
    CHECK(sent[1].order.cell == "a");
}

TEST_CASE("a job is handed over when the same host owns the cell under another token")
{
    router_fixture f;
    f.router.submit(f.now, f.makeOrder("1"), 1);
    CHECK(f.sent().front().order.handOverCount == 0);
    f.owner->token = 11;
    f.now += milliseconds(20);
    f.router.advance(f.now);
    const auto again = f.sent();
    REQUIRE(again.size() == 1);
    CHECK(again[0].order.handOverCount == 1);
    CHECK(again[0].order.earlierToken == 10);
    f.owner->token = 9; // the later claim was given up
    f.router.advance(f.now);
    CHECK(f.sent().at(0).order.earlierToken == 11);
    f.owner->token = 8;
    f.router.advance(f.now);
    CHECK(f.sent().at(0).order.earlierToken == 11);
}

TEST_CASE("a rejection after a handover is not reported as not run")
{
    router_fixture f;
    f.router.submit(f.now, f.makeOrder("1"), 1);
    f.sent();
    f.owner = cell_owner { "h2", 12, false };
    f.router.advance(f.now);
    const auto again = f.sent();
    f.router.onAnswer(f.now, "h2", makeOrderAnswer(again.at(0).order, job_outcome::rejected, ""));
    f.sent();
    CHECK(f.answers.at(0).answer.outcome == job_outcome::unfinished);
}

TEST_CASE("a rejection of an earlier handover does not end the current one")
{
    router_fixture f;
    f.router.submit(f.now, f.makeOrder("1"), 1);
    const auto first = f.sent();
    f.owner->token = 11;
    f.router.advance(f.now);
    f.sent();
    f.router.onAnswer(f.now, "h1", makeOrderAnswer(first.at(0).order, job_outcome::rejected, ""));
    f.sent();
    CHECK(f.answers.empty());
    CHECK(f.router.size() == 1);
}

TEST_CASE("done tasks and failures of a released job are forwarded to the next owner")
{
    router_fixture f;
    f.router.submit(f.now, f.makeOrder("1"), 1);
    const auto first = f.sent();
    order_answer released = makeOrderAnswer(first.at(0).order, job_outcome::released, "");
    released.doneTasks = { "1.0.0.0" };
    released.failures = { { "1.0.0.1", 2, 1 } };
    released.runsOn.resize(1);
    released.runsOn[0].id = "u1";
    released.areRunsKnown = true;
    f.router.onAnswer(f.now, "h1", released);
    f.owner = std::nullopt;
    f.router.advance(f.now);
    CHECK(f.sent().empty());
    CHECK(f.answers.empty());
    f.owner = cell_owner { "h2", 12, false };
    f.router.advance(f.now);
    const auto second = f.sent();
    REQUIRE(second.size() == 1);
    CHECK(second[0].host == "h2");
    CHECK(second[0].order.doneTasks == std::vector<std::string> { "1.0.0.0" });
    CHECK(second[0].order.failures == released.failures);
    CHECK(second[0].order.handOverCount == 1);
    CHECK(second[0].order.runsOn == released.runsOn);
    CHECK(second[0].order.areRunsKnown);
    f.owner = cell_owner { "h3", 13, false }; // h2 is lost
    f.router.advance(f.now);
    CHECK_FALSE(f.sent().at(0).order.areRunsKnown);
}

// Guards against a next owner that takes its cell for that of every earlier owner, although the zone has been divided since.
TEST_CASE("the next owner is not told that an earlier one divided the zone in another way")
{
    router_fixture f;
    f.owner = cell_owner { "h1", 10, false, 2 };
    f.router.submit(f.now, f.makeOrder("1"), 1);
    CHECK(f.sent().front().order.earlierCellCount == 0);
    f.owner = cell_owner { "h2", 11, false, 1 };
    f.router.advance(f.now);
    const auto second = f.sent();
    REQUIRE(second.size() == 1);
    CHECK(second[0].order.earlierCellCount == 2);
    f.router.onAnswer(f.now, "h2", makeOrderAnswer(second[0].order, job_outcome::not_owned, "")); // no task has run there
    f.owner = cell_owner { "h3", 12, false, 2 };
    f.router.advance(f.now);
    const auto third = f.sent();
    REQUIRE(third.size() == 1);
    CHECK(third[0].order.earlierCellCount == 2);
    f.router.onAnswer(f.now, "h3", makeOrderAnswer(third[0].order, job_outcome::released, ""));
    f.owner = cell_owner { "h4", 13, false, 3 };
    f.router.advance(f.now);
    CHECK(f.sent().at(0).order.earlierCellCount == 2);
    f.owner = cell_owner { "h5", 14, false, 3 };
    f.router.advance(f.now);
    CHECK(f.sent().at(0).order.earlierCellCount == 0);
    f.owner = cell_owner { "h6", 15, false, 3 };
    f.router.advance(f.now);
    const auto last = f.sent();
    REQUIRE(last.size() == 1);
    CHECK(last[0].order.handOverCount == 4);
    CHECK(last[0].order.earlierCellCount == 0);
}

TEST_CASE("without an owner a new job is rejected at once as not run")
{
    router_fixture f;
    f.owner = std::nullopt;
    f.router.submit(f.now, f.makeOrder("1"), 1);
    f.sent();
    CHECK(f.answers.at(0).answer.outcome == job_outcome::rejected);
    CHECK(f.answers.at(0).answer.retryAfterMs > 0);
}

TEST_CASE("a job that was read after its caller's deadline is sent to an owner")
{
    router_fixture f;
    job_order late = f.makeOrder("1");
    jackdaw::protocol::shortenTimeLeft(late, milliseconds(1500));
    CHECK(late.timeLeftMs == 0);
    f.router.submit(f.now, late, 1);
    CHECK(f.sent().empty());
    REQUIRE(f.answers.size() == 1);
    CHECK(f.answers[0].callers == std::vector<caller_id> { 1 });
    CHECK(f.answers[0].answer.outcome == job_outcome::rejected);
    CHECK(f.answers[0].answer.retryAfterMs > 0);
    CHECK(f.router.size() == 0);
    job_order inTime = f.makeOrder("2");
    jackdaw::protocol::shortenTimeLeft(inTime, milliseconds(600));
    f.router.submit(f.now, inTime, 2);
    const auto sent = f.sent();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].order.timeLeftMs == 860); // until the answer to a caller that waits for 900 ms
}

TEST_CASE("the owner of a job in progress is not told that the job's host is alive")
{
    router_fixture f;
    CHECK(f.router.owners().empty());
    f.router.submit(f.now, f.makeOrder("1"), 1);
    CHECK(f.router.owners() == std::set<std::string> { "h1" });
    f.router.cancel(f.now, "1");
    CHECK(f.router.owners().empty());
}

TEST_CASE("an order is lost, and isn't resent each 500 ms until its caller is answered")
{
    router_fixture f;
    job_order order = f.makeOrder("1");
    order.timeLeftMs = 2000;
    f.router.submit(f.now, order, 1);
    f.sent();
    std::size_t resent = 0;
    for (int i = 0; i < 125; ++i) { // 2.5 s
        f.now += milliseconds(20);
        f.router.advance(f.now);
        resent += f.sent().size();
        CHECK(f.answers.size() == (i < 97 ? 0 : 1)); // from 1.96 s
    }
    CHECK(resent == 3);
    CHECK(f.answers.at(0).answer.outcome == job_outcome::unfinished);
}

// The host ticks each 20 ms, and as much again is for the way to the caller: between 40 and 20 ms before the deadline.
TEST_CASE("a caller whose job doesn't end hears nothing before its deadline")
{
    for (const std::uint32_t timeLeftMs : { 60, 101, 600, 1500 }) {
        for (int phase = 0; phase < 20; ++phase) {
            CAPTURE(timeLeftMs);
            CAPTURE(phase);
            router_fixture f;
            job_order order = f.makeOrder("1");
            order.timeLeftMs = timeLeftMs;
            const time_point deadline = f.now + milliseconds(timeLeftMs);
            f.router.submit(f.now, order, 1);
            const auto sent = f.sent();
            REQUIRE(sent.size() == 1);
            // The caller may send the job again 1.3 s after the answer: its owner must not take it for one that waits for longer.
            CHECK(f.now + milliseconds(sent[0].order.timeLeftMs) == deadline - milliseconds(40));
            std::vector<router_action> last;
            for (f.now += milliseconds(phase); f.router.size() > 0 && f.now < deadline; f.now += milliseconds(20)) {
                f.router.advance(f.now);
                last = f.router.takeActions();
            }
            const time_point answeredAt = f.now - milliseconds(20);
            REQUIRE(f.router.size() == 0);
            CHECK(answeredAt >= deadline - milliseconds(40));
            CHECK(answeredAt < deadline - milliseconds(20));
            REQUIRE(last.size() == 2);
            CHECK(std::get<forward_cancel>(last[0]).submissionNumber == sent[0].order.submissionNumber);
            CHECK(std::get<answer_callers>(last[1]).answer.outcome == job_outcome::unfinished);
        }
    }
}

// A caller whose connection broke sends its job again on another one, under a configuration with another timeout.
TEST_CASE("a second caller of a job hears nothing before its own deadline, or ends the job of one that waits longer")
{
    router_fixture f;
    const time_point start = f.now;
    job_order order = f.makeOrder("1");
    order.timeLeftMs = 1000;
    f.router.submit(f.now, order, 1);
    f.now += milliseconds(200);
    order.timeLeftMs = 400;
    f.router.submit(f.now, order, 2);
    order.timeLeftMs = 1400;
    f.router.submit(f.now, order, 3);
    std::map<caller_id, std::int64_t> answeredAfter; // ms
    std::int64_t cancelledAfter = 0; // ms
    for (; f.now < start + seconds(2); f.now += milliseconds(20)) {
        f.router.advance(f.now);
        const std::int64_t after = std::chrono::duration_cast<milliseconds>(f.now - start).count();
        for (const router_action& action : f.router.takeActions()) {
            if (const auto* answer = std::get_if<answer_callers>(&action)) {
                CHECK(answer->answer.outcome == job_outcome::unfinished);
                for (const caller_id caller : answer->callers)
                    CHECK(answeredAfter.emplace(caller, after).second);
            } else if (std::holds_alternative<forward_cancel>(action) && cancelledAfter == 0) {
                cancelledAfter = after;
            }
        }
    }
    CHECK(answeredAfter[1] == 960);
    CHECK(answeredAfter[2] == 560);
    CHECK(answeredAfter[3] == 1560);
    CHECK(cancelledAfter == 1560);
}

TEST_CASE("an owner ends a job at its first caller's deadline, though a second one waits longer")
{
    router_fixture f;
    job_order order = f.makeOrder("1");
    order.timeLeftMs = 600;
    f.router.submit(f.now, order, 1);
    const auto first = f.sent();
    CHECK(first.at(0).order.timeLeftMs == 560);
    f.now += milliseconds(100);
    order.timeLeftMs = 300; // less than the first one has: nothing new for the owner
    f.router.submit(f.now, order, 2);
    CHECK(f.sent().empty());
    order.timeLeftMs = 1500;
    f.router.submit(f.now, order, 3);
    const auto second = f.sent();
    REQUIRE(second.size() == 1);
    CHECK(second[0].order.timeLeftMs == 1460);
    CHECK(second[0].order.submissionNumber > first[0].order.submissionNumber);
    // The end of the first order is none of the second, which the owner may have begun since.
    f.router.onAnswer(f.now, "h1", makeOrderAnswer(first[0].order, job_outcome::rejected, ""));
    CHECK(f.router.size() == 1);
    f.now += milliseconds(500);
    f.router.advance(f.now);
    CHECK(f.sent().at(0).order.timeLeftMs == 960);
    // Released before the second order arrived.
    order_answer released = makeOrderAnswer(first[0].order, job_outcome::released, "");
    released.doneTasks = { "1.0.0.0" };
    f.router.onAnswer(f.now, "h1", released);
    f.owner = cell_owner { "h2", 12, false };
    f.router.advance(f.now);
    const auto third = f.sent();
    REQUIRE(third.size() == 1);
    CHECK(third[0].order.timeLeftMs == 960);
    CHECK(third[0].order.doneTasks == released.doneTasks);
    f.answers.clear();
    f.router.onAnswer(f.now, "h2", makeOrderAnswer(third[0].order, job_outcome::completed, ""));
    f.sent();
    REQUIRE(f.answers.size() == 1);
    CHECK(f.answers[0].callers == std::vector<caller_id> { 3 });
}

// Of two connections of one caller the earlier one may be lost unnoticed, and the job is sent to another zone 1.3 s after the later one's end.
TEST_CASE("a job runs on for an earlier connection when its caller has given up the later one")
{
    for (const bool isDisconnected : { true, false }) {
        CAPTURE(isDisconnected);
        router_fixture f;
        job_order order = f.makeOrder("1");
        order.timeLeftMs = 5000;
        f.router.submit(f.now, order, 1);
        order.timeLeftMs = 500;
        f.router.submit(f.now, order, 2);
        f.now += milliseconds(460);
        if (isDisconnected)
            f.router.onCallerGone(f.now, 2);
        f.router.advance(f.now);
        CHECK(f.router.size() == 1);
        f.now += milliseconds(700); // 600 ms before the caller sends it again
        f.router.advance(f.now);
        CHECK(f.router.size() == 0);
    }
}

TEST_CASE("a job whose answer could not arrive in time is sent to an owner")
{
    for (const std::uint32_t timeLeftMs : { 1, 20, 40 }) {
        CAPTURE(timeLeftMs);
        router_fixture f;
        job_order order = f.makeOrder("1");
        order.timeLeftMs = timeLeftMs;
        f.router.submit(f.now, order, 1);
        CHECK(f.sent().empty());
        REQUIRE(f.answers.size() == 1);
        CHECK(f.answers[0].answer.outcome == job_outcome::rejected);
        CHECK(f.answers[0].answer.retryAfterMs > 0);
    }
}

TEST_CASE("a result that comes after the answer to its caller is lost for the next submission, or its cancellation is sent on")
{
    router_fixture f;
    f.router.submit(f.now, f.makeOrder("1"), 1);
    const auto first = f.sent();
    f.now += milliseconds(1465);
    f.router.advance(f.now);
    f.sent();
    REQUIRE(f.answers.size() == 1);
    for (const bool isBefore : { true, false }) { // the result is read before the next submission, or after it
        CAPTURE(isBefore);
        f.answers.clear();
        if (isBefore)
            f.router.onAnswer(f.now, "h1", makeOrderAnswer(first.at(0).order, job_outcome::completed, ""));
        CHECK(f.answers.empty());
        f.now += milliseconds(210);
        f.router.advance(f.now);
        CHECK(f.router.takeActions().empty());
        f.now += milliseconds(1090);
        f.router.submit(f.now, f.makeOrder("1"), 2);
        const auto second = f.sent();
        REQUIRE(second.size() == 1);
        CHECK(second[0].order.submissionNumber > first[0].order.submissionNumber);
        f.router.onAnswer(f.now, "h1", makeOrderAnswer((isBefore ? second : first)[0].order, job_outcome::completed, ""));
        f.sent();
        REQUIRE(f.answers.size() == 1);
        CHECK(f.answers[0].callers == std::vector<caller_id> { 2 });
        CHECK(f.answers[0].answer.outcome == job_outcome::completed);
    }
}

// The last task ends at any moment around the answer; order, cancellation and result are 2 ms under way.
TEST_CASE("a job that ends around its caller's deadline has two runs, or its next submission has no result")
{
    constexpr milliseconds link(2);
    for (std::uint32_t runMs = 1400; runMs <= 1540; runMs += 4) {
        CAPTURE(runMs);
        cell_simulation sim(1);
        sim.addUpstream("u1", 48000);
        sim.addOwner();
        sim.runFor(milliseconds(100));
        router_fixture f;
        f.now = sim.now();
        const time_point deadline = f.now + milliseconds(1500);
        job_order job = sim.makeJob("1", 2, 14000, 1000);
        f.router.submit(f.now, job, 1);
        job = f.sent().at(0).order;
        sim.runFor(link);
        sim.submit(0, job, runMs);
        std::optional<time_point> resultAt; // at the host
        while (f.answers.empty() && f.now < deadline) {
            f.now += milliseconds(1);
            sim.runFor(f.now - sim.now());
            if (!resultAt && sim.outcomes().contains("1"))
                resultAt = f.now + link;
            if (resultAt == f.now)
                f.router.onAnswer(f.now, "h1", sim.outcomes().at("1").answer);
            if ((f.now - deadline) % milliseconds(20) == milliseconds(0))
                f.router.advance(f.now);
            f.sent();
        }
        REQUIRE(f.answers.size() == 1);
        if (f.answers[0].answer.outcome == job_outcome::completed)
            continue;
        CHECK(f.answers[0].answer.outcome == job_outcome::unfinished);
        CHECK(runMs > 1450); // a result that is there 40 ms before the deadline is passed on
        sim.runFor(link);
        const bool hasResult = sim.outcomes().contains("1") && sim.outcomes().at("1").answer.outcome == job_outcome::completed;
        sim.owner(0).cancel(sim.now(), "1", "host", job.submissionNumber);
        sim.runFor(milliseconds(1300) - link);
        CHECK(sim.runningTasksOf("1") == 0);
        const std::size_t starts = sim.starts();
        job.submissionNumber = 2;
        sim.submit(0, job, 300);
        sim.runFor(milliseconds(600));
        CHECK(sim.outcomes().at("1").answer.outcome == job_outcome::completed);
        CHECK(sim.starts() <= starts + (hasResult ? 0 : 2));
        CHECK(sim.doubleRuns() == 0);
    }
}

TEST_CASE("the job of a caller that disconnects is cancelled at its owner")
{
    router_fixture f;
    f.router.submit(f.now, f.makeOrder("1"), 1);
    f.sent();
    f.router.onCallerGone(f.now, 1);
    bool isCancelled = false;
    for (const router_action& action : f.router.takeActions())
        isCancelled = isCancelled || std::holds_alternative<forward_cancel>(action);
    CHECK(isCancelled);
    CHECK(f.router.size() == 0);
}

// The callers' connections end with the process, and callers send their jobs again.
// An owner that gossip names no longer may still run the job and hear the job's host.
TEST_CASE("a job that was handed over is cancelled at its last owner only")
{
    router_fixture f;
    f.router.submit(f.now, f.makeOrder("1"), 1);
    f.sent();
    f.owner = cell_owner { "h2", 11, false };
    f.router.advance(f.now);
    const auto second = f.sent();
    f.router.onAnswer(f.now, "h2", makeOrderAnswer(second.at(0).order, job_outcome::released, "")); // no longer runs it
    f.owner = cell_owner { "h3", 12, false };
    f.router.advance(f.now);
    f.sent();
    f.owner = std::nullopt;
    f.router.onCallerGone(f.now, 1);
    const auto cancelledAt = [&f] {
        std::vector<std::string> hosts;
        for (const router_action& action : f.router.takeActions()) {
            if (const auto* cancel = std::get_if<forward_cancel>(&action))
                hosts.push_back(cancel->host);
        }
        return hosts;
    };
    CHECK(cancelledAt() == std::vector<std::string> { "h1", "h3" });
    order_answer answer = makeOrderAnswer(second.at(0).order, job_outcome::unfinished, "cancelled");
    f.router.onAnswer(f.now, "h1", answer);
    f.now += milliseconds(300);
    f.router.advance(f.now);
    CHECK(cancelledAt() == std::vector<std::string> { "h3" });
}

TEST_CASE("a host that leaves ends without cancelling its open jobs, and their tasks run on")
{
    router_fixture f;
    f.router.submit(f.now, f.makeOrder("1"), 1);
    f.router.submit(f.now, f.makeOrder("2"), 2);
    f.sent();
    f.router.abandonJobs(f.now);
    std::vector<std::string> cancelled;
    std::vector<caller_id> answered;
    for (const router_action& action : f.router.takeActions()) {
        if (const auto* cancel = std::get_if<forward_cancel>(&action)) {
            CHECK(cancel->host == "h1");
            cancelled.push_back(cancel->job);
        } else if (const auto* answer = std::get_if<answer_callers>(&action)) {
            CHECK(answer->answer.outcome == job_outcome::unfinished);
            answered.insert(answered.end(), answer->callers.begin(), answer->callers.end());
        }
    }
    CHECK(cancelled == std::vector<std::string> { "1", "2" });
    CHECK(answered == std::vector<caller_id> { 1, 2 });
    CHECK(f.router.size() == 0);
}

// Links fall silent and connections are reset; the caller of a job that is lost in that way sends it again 1.3 s later.
TEST_CASE("a cancellation is lost with its link, and the tasks run on")
{
    router_fixture f;
    f.router.submit(f.now, f.makeOrder("1"), 1);
    const auto sent = f.sent();
    f.router.onCallerGone(f.now, 1);
    const auto cancels = [&] {
        std::vector<forward_cancel> out;
        for (const router_action& action : f.router.takeActions()) {
            if (const auto* cancel = std::get_if<forward_cancel>(&action))
                out.push_back(*cancel);
        }
        return out;
    };
    REQUIRE(cancels().size() == 1);
    std::size_t resent = 0;
    for (int i = 0; i < 50; ++i) { // 1 s
        f.now += milliseconds(20);
        f.router.advance(f.now);
        for (const forward_cancel& cancel : cancels()) {
            ++resent;
            CHECK(cancel.host == "h1");
            CHECK(cancel.job == "1");
            CHECK(cancel.submissionNumber == sent.at(0).order.submissionNumber);
        }
    }
    CHECK(resent >= 4);
    f.router.onAnswer(f.now, "other", makeOrderAnswer(sent[0].order, job_outcome::unfinished, "cancelled"));
    f.now += milliseconds(300);
    f.router.advance(f.now);
    CHECK(cancels().size() == 1);
    f.router.onAnswer(f.now, "h1", makeOrderAnswer(sent[0].order, job_outcome::unfinished, "cancelled"));
    f.now += milliseconds(300);
    f.router.advance(f.now);
    CHECK(cancels().empty());
}

TEST_CASE("a cancellation is sent for ever to an owner that never answers")
{
    router_fixture f;
    f.router.submit(f.now, f.makeOrder("1"), 1);
    f.router.cancel(f.now, "1");
    f.sent();
    f.now += seconds(2); // the job's deadline has passed, and the owner ends it by itself
    f.router.advance(f.now);
    CHECK(f.router.takeActions().empty());
}

TEST_CASE("a resent order that is answered as not owned may have run the first time")
{
    router_fixture f;
    f.router.submit(f.now, f.makeOrder("1"), 1);
    f.sent();
    f.now += milliseconds(600);
    f.router.advance(f.now);
    const auto again = f.sent();
    REQUIRE(again.size() == 1);
    CHECK(again[0].order.fencingToken == 10);
    f.router.onAnswer(f.now, "h1", makeOrderAnswer(again[0].order, job_outcome::not_owned, ""));
    f.owner->token = 11;
    f.router.advance(f.now);
    const auto third = f.sent();
    REQUIRE(third.size() == 1);
    CHECK(third[0].order.handOverCount == 1);
    f.router.onAnswer(f.now, "h1", makeOrderAnswer(third[0].order, job_outcome::rejected, ""));
    f.sent();
    CHECK(f.answers.at(0).answer.outcome == job_outcome::unfinished);
}

TEST_CASE("an order that was sent once and answered as not owned has not run")
{
    router_fixture f;
    f.router.submit(f.now, f.makeOrder("1"), 1);
    const auto first = f.sent();
    f.router.onAnswer(f.now, "h1", makeOrderAnswer(first.at(0).order, job_outcome::not_owned, ""));
    f.owner->token = 11;
    f.router.advance(f.now);
    const auto second = f.sent();
    CHECK(second.at(0).order.handOverCount == 0);
    f.router.onAnswer(f.now, "h1", makeOrderAnswer(second[0].order, job_outcome::rejected, ""));
    f.sent();
    CHECK(f.answers.at(0).answer.outcome == job_outcome::rejected);
}

TEST_CASE("a new job of an evacuated zone goes to its home cell, or waits although no zone takes it")
{
    std::optional<std::string> target;
    job_router router([](std::string_view) { return "a"; }, [](std::string_view cell) { return cell_owner { "owner-of-" + std::string(cell), 10, false }; }, [&](const job_order&) { return target; });
    job_order order;
    order.steps = { { 2, { 1000, 0, 0 }, 100, {}, "", "", 0 } };
    order.timeLeftMs = 1500;
    const auto submit = [&](const char* id) {
        order.id = id;
        router.submit({}, order, 1);
        return router.takeActions();
    };
    CHECK(std::get<forward_job>(submit("1").at(0)).host == "owner-of-a");
    target = "b";
    const auto sent = std::get<forward_job>(submit("2").at(0));
    CHECK(sent.host == "owner-of-b");
    CHECK(sent.order.cell == "b");
    target = "";
    const auto refused = std::get<answer_callers>(submit("3").at(0));
    CHECK(refused.answer.outcome == job_outcome::rejected);
    CHECK(refused.answer.retryAfterMs >= 1000);
}

TEST_CASE("owners that know of different orders move a job to and fro until its deadline")
{
    router_fixture f;
    f.router.submit(f.now, f.makeOrder("1"), 1);
    int moves = 0;
    for (auto sent = f.sent(); !sent.empty(); sent = f.sent()) {
        order_answer moved = makeOrderAnswer(sent[0].order, job_outcome::moved, "the zone is evacuated");
        moved.cell = moves++ % 2 == 0 ? "b" : "a";
        f.router.onAnswer(f.now, "h1", moved);
        REQUIRE(moves < 100);
    }
    REQUIRE(f.answers.size() == 1);
    CHECK(f.answers[0].answer.outcome == job_outcome::rejected);
}

TEST_CASE("a job that was handed over and then moved waits in the other zone for runs that its earlier owners no longer have")
{
    router_fixture f;
    f.router.submit(f.now, f.makeOrder("1"), 1);
    const auto first = f.sent();
    order_answer released = makeOrderAnswer(first.at(0).order, job_outcome::released, "");
    released.runsOn.resize(1);
    f.router.onAnswer(f.now, "h1", released);
    f.owner = cell_owner { "h2", 20, false };
    f.router.advance(f.now);
    const auto second = f.sent();
    REQUIRE(second.size() == 1);
    CHECK(second[0].order.earlierToken == 10);
    order_answer moved = makeOrderAnswer(second[0].order, job_outcome::moved, "the zone is evacuated");
    moved.cell = "b";
    moved.areRunsKnown = true;
    f.router.onAnswer(f.now, "h2", moved);
    const auto third = f.sent();
    REQUIRE(third.size() == 1);
    CHECK(third[0].order.handOverCount == 1);
    CHECK(third[0].order.areRunsKnown);
    CHECK(third[0].order.runsOn.empty());
    CHECK(third[0].order.earlierToken == 0);
    // The caller must not be told that nothing has run: only the owners know.
    f.router.onAnswer(f.now, "h2", makeOrderAnswer(third[0].order, job_outcome::rejected, ""));
    CHECK(f.sent().empty());
    REQUIRE(f.answers.size() == 1);
    CHECK(f.answers[0].answer.outcome == job_outcome::unfinished);
}
