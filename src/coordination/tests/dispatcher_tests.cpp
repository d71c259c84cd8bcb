// Tests of admission, starts, reports and answers.
#include "coordination/tests/dispatch_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

using namespace jackdaw::coordination;
using namespace jackdaw::coordination::tests;

TEST_CASE("a job's answer holds every result in the order of its tasks")
{
    dispatch_fixture fixture;
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1"));
    REQUIRE_FALSE(fixture.core.submit(fixture.now, fixture.makeJob(1, 3)));
    REQUIRE(fixture.starts.size() == 3);
    for (std::size_t i = 3; i-- > 0;) {
        const start_task& start = fixture.starts[i];
        fixture.core.report(fixture.now, { start.task, start.upstream, task_outcome::finished, std::to_string(start.task.index), {} });
    }
    REQUIRE(fixture.answers.size() == 1);
    CHECK(std::get<jackdaw::protocol::job_results>(fixture.answers[0].answer).bodies == std::vector<std::string> { "0", "1", "2" });
}

TEST_CASE("a refusal names its reason, and a refused job leaves no state")
{
    rules activeRules;
    activeRules.maxQueuedTasks = 2;
    dispatch_fixture fixture(activeRules);
    CHECK(fixture.core.submit(fixture.now, fixture.makeJob(1))->kind == error_kind::no_upstream);
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1", 1));
    auto large = fixture.makeJob(2, 2);
    large.tasks[1].need.accelerators = 1;
    CHECK(fixture.core.submit(fixture.now, large)->kind == error_kind::never_fits);
    CHECK(fixture.core.submit(fixture.now, fixture.makeJob(3, 3))->kind == error_kind::queue_full);
    CHECK_FALSE(fixture.core.submit(fixture.now, fixture.makeJob(4)));
    CHECK(fixture.core.submit(fixture.now, fixture.makeJob(4))->kind == error_kind::submission_mismatch);
    fixture.core.drain();
    CHECK(fixture.core.submit(fixture.now, fixture.makeJob(5))->kind == error_kind::draining);
    CHECK(fixture.starts.size() == 1);
    fixture.reportLatestStart(task_outcome::finished);
    CHECK(fixture.answers.size() == 1);
    CHECK(fixture.core.status().jobs == 0);
}

TEST_CASE("an upstream that is leaving or expired gets no tasks")
{
    dispatch_fixture fixture;
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1", 1));
    fixture.core.submit(fixture.now, fixture.makeJob(1, 2));
    REQUIRE(fixture.starts.size() == 1);
    SUBCASE("leaving, as reported by a reply")
    {
        fixture.core.report(fixture.now, { fixture.starts[0].task, fixture.starts[0].upstream, task_outcome::finished, "", jackdaw::protocol::upstream_state::leaving });
        fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1", 1));
        CHECK(fixture.starts.size() == 1);
    }
    SUBCASE("expired while its slot was busy, and the relayed announcement of another upstream is older")
    {
        fixture.now += 4s;
        fixture.reportLatestStart(task_outcome::finished);
        CHECK(fixture.starts.size() == 1);
        fixture.core.applyAnnouncement(fixture.now - 3500ms, fixture.makeAnnouncement("u2", 1));
        CHECK(fixture.starts.size() == 1);
        CHECK(fixture.core.status().upstreams == 0);
    }
}

TEST_CASE("a task that was not started is started on another upstream")
{
    dispatch_fixture fixture;
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1"));
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u2"));
    fixture.core.submit(fixture.now, fixture.makeJob(1));
    const start_task first = fixture.starts.back();
    fixture.reportLatestStart(task_outcome::not_started);
    REQUIRE(fixture.starts.size() == 2);
    CHECK(fixture.starts[1].upstream != first.upstream);
    CHECK(fixture.starts[1].task.attempt == 1);
    fixture.core.report(fixture.now, { first.task, first.upstream, task_outcome::finished, "crossed", {} });
    CHECK(fixture.answers.empty());
    fixture.reportLatestStart(task_outcome::finished, "own");
    CHECK(std::get<jackdaw::protocol::job_results>(fixture.answers.at(0).answer).bodies.at(0) == "own");
}

TEST_CASE("an unanswered start is settled before its task is started again or its job answered")
{
    dispatch_fixture fixture;
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1"));
    auto job = fixture.makeJob(1);
    job.idempotent = true;
    fixture.core.submit(fixture.now, job);
    fixture.reportLatestStart(task_outcome::no_answer);
    REQUIRE(fixture.settles.size() == 1);
    fixture.reportLatestStart(task_outcome::no_answer);
    CHECK(fixture.settles.size() == 1);
    fixture.advanceBy(200ms);
    CHECK(fixture.settles.size() == 2);
    CHECK(fixture.starts.size() == 1);
    SUBCASE("the late answer is accepted")
    {
        fixture.reportLatestStart(task_outcome::finished, "late");
        CHECK(fixture.answers.size() == 1);
    }
    SUBCASE("the tombstone allows another start")
    {
        fixture.reportLatestStart(task_outcome::not_started);
        CHECK(fixture.starts.size() == 2);
    }
    SUBCASE("a tombstone of a later incarnation does not allow another start")
    {
        auto next = fixture.makeAnnouncement("u1");
        next.incarnation = 2;
        fixture.core.applyAnnouncement(fixture.now, next);
        CHECK(fixture.starts.size() == 1);
        REQUIRE(fixture.answers.size() == 1);
        CHECK(fixture.latestFailure() == error_kind::timed_out);
    }
    SUBCASE("no answer until the deadline")
    {
        fixture.advanceBy(20s);
        CHECK(fixture.latestFailure() == error_kind::timed_out);
    }
}

// Guards against an idempotent task that crashes one upstream after the other until its deadline.
TEST_CASE("a job fails once two upstreams have crashed under one of its idempotent tasks")
{
    rules activeRules;
    activeRules.retryIdempotentAfterLease = true;
    dispatch_fixture fixture(activeRules);
    auto job = fixture.makeJob(1);
    job.idempotent = true;
    job.deadline = 600s;
    std::uint64_t incarnation = 1;
    const auto announce = [&] {
        auto upstream = fixture.makeAnnouncement("u1");
        upstream.incarnation = incarnation;
        fixture.core.applyAnnouncement(fixture.now, upstream);
    };
    announce();
    fixture.core.submit(fixture.now, job);
    for (std::size_t crashes = 0; crashes < 10 && fixture.answers.empty(); ++crashes) {
        fixture.reportLatestStart(task_outcome::no_answer);
        ++incarnation;
        for (int i = 0; i < 40; ++i) {
            announce();
            fixture.advanceBy(1s);
        }
    }
    CHECK(fixture.starts.size() == 2);
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.latestFailure() == error_kind::timed_out);
}

TEST_CASE("deadlines and cancellations tell whether anything was started")
{
    dispatch_fixture fixture;
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1", 1));
    fixture.core.submit(fixture.now, fixture.makeJob(1));
    fixture.core.submit(fixture.now, fixture.makeJob(2));
    fixture.core.submit(fixture.now, fixture.makeJob(3));
    REQUIRE(fixture.starts.size() == 1);
    fixture.core.cancel(fixture.now, fixture.submissionId(2));
    CHECK(fixture.latestFailure() == error_kind::cancelled_before_start);
    SUBCASE("deadlines")
    {
        fixture.advanceBy(10s);
        REQUIRE(fixture.answers.size() == 3);
        CHECK(std::get<jackdaw::protocol::job_failure>(fixture.answers[1].answer).kind == error_kind::deadline_passed_after_start);
        CHECK(std::get<jackdaw::protocol::job_failure>(fixture.answers[2].answer).kind == error_kind::deadline_passed_before_start);
    }
    SUBCASE("a cancelled job's running task holds its slot")
    {
        fixture.core.cancel(fixture.now, fixture.submissionId(1));
        CHECK(fixture.latestFailure() == error_kind::cancelled_after_start);
        CHECK(fixture.starts.size() == 1);
        fixture.reportLatestStart(task_outcome::finished);
        CHECK(fixture.starts.size() == 2);
        CHECK(fixture.answers.size() == 2);
    }
}

TEST_CASE("a job whose starts all stayed unanswered is never said not to have run")
{
    rules activeRules;
    activeRules.retryIdempotentAfterLease = true;
    dispatcher_settings settings;
    settings.minLeaseLimit = 1s;
    dispatch_fixture fixture(activeRules, settings);
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1"));
    auto job = fixture.makeJob(1);
    job.idempotent = true;
    fixture.core.submit(fixture.now, job);
    REQUIRE(fixture.starts.size() == 1);
    // The upstream is cut off and expires; its task may run.
    fixture.reportLatestStart(task_outcome::no_answer);
    for (int i = 0; i < 40; ++i) {
        fixture.advanceBy(200ms);
        fixture.reportLatestStart(task_outcome::no_answer);
    }
    REQUIRE(fixture.answers.empty());
    SUBCASE("at the deadline")
    {
        fixture.advanceBy(10s);
        REQUIRE(fixture.answers.size() == 1);
        CHECK(fixture.latestFailure() != error_kind::deadline_passed_before_start);
    }
    SUBCASE("when it is cancelled")
    {
        fixture.core.cancel(fixture.now, fixture.submissionId(1));
        REQUIRE(fixture.answers.size() == 1);
        CHECK(fixture.latestFailure() != error_kind::cancelled_before_start);
    }
}

TEST_CASE("teams share the slots by weight, however many tasks they queue")
{
    rules activeRules;
    activeRules.teams["heavy"].weight = 3;
    dispatch_fixture fixture(activeRules);
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1", 1));
    for (std::uint64_t i = 0; i < 400; ++i) {
        auto job = fixture.makeJob(i);
        job.team = i < 300 ? "heavy" : "light";
        fixture.core.submit(fixture.now, job);
    }
    std::size_t light = 0;
    for (int i = 0; i < 100; ++i) {
        light += fixture.latestStartedJob() >= 300 ? 1 : 0;
        fixture.now += 50ms;
        fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1", 1));
        fixture.reportLatestStart(task_outcome::finished);
    }
    CHECK(light >= 24);
    CHECK(light <= 26);
}

TEST_CASE("tasks of one team are started in the order set by the rules")
{
    const auto secondStarted = [](task_order order) {
        rules activeRules;
        activeRules.order = order;
        dispatch_fixture fixture(activeRules);
        fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1", 1));
        fixture.core.submit(fixture.now, fixture.makeJob(1));
        fixture.core.submit(fixture.now, fixture.makeJob(2, 3));
        auto urgent = fixture.makeJob(3, 2);
        urgent.deadline = 5s;
        fixture.core.submit(fixture.now, urgent);
        fixture.core.submit(fixture.now, fixture.makeJob(4));
        fixture.reportLatestStart(task_outcome::finished);
        return fixture.latestStartedJob();
    };
    CHECK(secondStarted(task_order::fifo) == 2);
    CHECK(secondStarted(task_order::earliest_deadline) == 3);
    CHECK(secondStarted(task_order::fewest_remaining) == 4);
}

TEST_CASE("after learning the speeds, a single task starts on the fast upstream, or waits for it while the slow one is free")
{
    dispatch_fixture fixture;
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("fast", 1));
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("slow", 1));
    const auto runTimeOf = [](const start_task& start) { return start.upstream.name == "fast" ? 100ms : 800ms; };
    for (std::uint64_t i = 0; i < 40; ++i) {
        fixture.core.submit(fixture.now, fixture.makeJob(i, 2));
        auto running = std::exchange(fixture.starts, {});
        std::sort(running.begin(), running.end(), [&](const auto& a, const auto& b) { return runTimeOf(a) < runTimeOf(b); });
        while (!running.empty()) {
            fixture.now += runTimeOf(running.front());
            fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("fast", 1));
            fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("slow", 1));
            fixture.core.report(fixture.now, { running.front().task, running.front().upstream, task_outcome::finished, "", {} });
            running.erase(running.begin());
            running.insert(running.end(), fixture.starts.begin(), fixture.starts.end());
            fixture.starts.clear();
        }
    }
    fixture.core.submit(fixture.now, fixture.makeJob(100));
    REQUIRE(fixture.starts.size() == 1);
    CHECK(fixture.starts[0].upstream.name == "fast");
    fixture.core.submit(fixture.now, fixture.makeJob(101));
    CHECK(fixture.starts.size() == 1);
    fixture.now += 100ms;
    fixture.reportLatestStart(task_outcome::finished);
    REQUIRE(fixture.starts.size() == 2);
    CHECK(fixture.starts[1].upstream.name == "fast");
}

TEST_CASE("retries that wait for the retry budget are dropped with their job, also if the submission is submitted again")
{
    dispatch_fixture fixture;
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1", 100));
    fixture.core.submit(fixture.now, fixture.makeJob(1, 40));
    for (const start_task& start : std::exchange(fixture.starts, {}))
        fixture.core.report(fixture.now, { start.task, start.upstream, task_outcome::not_started, "", {} });
    CHECK(fixture.starts.size() < 40);
    fixture.core.cancel(fixture.now, fixture.submissionId(1));
    for (const start_task& start : std::exchange(fixture.starts, {}))
        fixture.core.report(fixture.now, { start.task, start.upstream, task_outcome::finished, "", {} });
    REQUIRE(fixture.core.status().runningTasks == 0);
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1", 10));
    fixture.core.submit(fixture.now, fixture.makeJob(1, 40));
    fixture.advanceBy(500ms);
    std::size_t startedAgain = 0;
    for (; startedAgain < 200 && !fixture.starts.empty(); ++startedAgain) {
        const start_task start = fixture.starts.front();
        fixture.starts.erase(fixture.starts.begin());
        CHECK(start.task.attempt == 0);
        fixture.core.report(fixture.now, { start.task, start.upstream, task_outcome::finished, "", {} });
        fixture.advanceBy(20ms);
    }
    CHECK(startedAgain == 40);
    CHECK(fixture.answers.size() == 2);
}
