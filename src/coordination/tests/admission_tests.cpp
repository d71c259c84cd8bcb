// Tests of quotas, rate limits and deadlines at admission.
#include "coordination/tests/dispatch_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <utility>

using namespace jackdaw::coordination;
using namespace jackdaw::coordination::tests;

TEST_CASE("a team's quota counts queued and running tasks, and frees up when they end")
{
    rules activeRules;
    activeRules.teams["minutes"].maxTasks = 3;
    dispatch_fixture fixture(activeRules);
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1", 1));
    CHECK_FALSE(fixture.core.submit(fixture.now, fixture.makeJob(1, 3)));
    const auto refusal = fixture.core.submit(fixture.now, fixture.makeJob(2));
    REQUIRE(refusal);
    CHECK(refusal->kind == error_kind::quota_exceeded);
    CHECK(refusal->retryAfter > 0ms);
    auto other = fixture.makeJob(3);
    other.team = "another";
    CHECK_FALSE(fixture.core.submit(fixture.now, other));
    fixture.reportLatestStart(task_outcome::finished);
    CHECK_FALSE(fixture.core.submit(fixture.now, fixture.makeJob(4)));
}

TEST_CASE("a rate limit admits a burst, then returns when to retry")
{
    rules activeRules;
    activeRules.teams["minutes"] = { 1, 0, 10, 20 };
    dispatch_fixture fixture(activeRules);
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1", 100));
    CHECK_FALSE(fixture.core.submit(fixture.now, fixture.makeJob(1, 20)));
    for (const start_task& start : std::vector(fixture.starts))
        fixture.core.report(fixture.now, { start.task, start.upstream, task_outcome::finished, "", {} });
    const auto refusal = fixture.core.submit(fixture.now, fixture.makeJob(2, 5));
    REQUIRE(refusal);
    CHECK(refusal->kind == error_kind::rate_exceeded);
    CHECK(refusal->retryAfter == 500ms);
    fixture.advanceBy(refusal->retryAfter);
    CHECK_FALSE(fixture.core.submit(fixture.now, fixture.makeJob(2, 5)));
}

TEST_CASE("a deadline that learned run times can't meet is refused, one that only declared run times can't meet is not")
{
    dispatch_fixture fixture;
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1", 1));
    const auto submitWithDeadline = [&](std::uint64_t number, duration deadline) {
        auto job = fixture.makeJob(number);
        job.deadline = deadline;
        return fixture.core.submit(fixture.now, job);
    };
    for (std::uint64_t i = 0; i < 20; ++i) {
        CHECK_FALSE(submitWithDeadline(i, i == 0 ? 60ms : 10s));
        fixture.now += 50ms;
        fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1", 1));
        fixture.reportLatestStart(task_outcome::finished);
    }
    CHECK(submitWithDeadline(100, 20ms)->kind == error_kind::deadline_unreachable);
    CHECK_FALSE(submitWithDeadline(101, 10s));
    for (std::uint64_t i = 200; i < 400; ++i)
        submitWithDeadline(i, 30s);
    auto large = fixture.makeJob(500, 10);
    large.deadline = 1s;
    const auto refusal = fixture.core.submit(fixture.now, large);
    REQUIRE(refusal);
    CHECK(refusal->kind == error_kind::deadline_unreachable);
    CHECK(refusal->retryAfter > 5s);
}

TEST_CASE("tasks with a run time near zero are not refused for their deadline when the queue is empty")
{
    dispatch_fixture fixture;
    std::mt19937 random(7);
    std::uniform_int_distribution<int> noise(0, 5000); // microseconds
    std::size_t refused = 0;
    for (std::uint64_t number = 1; number <= 10'000; ++number) {
        for (int upstream = 0; upstream < 16; ++upstream)
            fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u" + std::to_string(upstream), 64));
        auto job = fixture.makeJob(number, 8);
        job.deadline = 30s;
        for (auto& task : job.tasks)
            task.expectedRunTime = 0ms;
        refused += fixture.core.submit(fixture.now, job) ? 1 : 0;
        while (fixture.core.status().jobs > 0) {
            const auto running = std::exchange(fixture.starts, {});
            if (running.empty())
                fixture.advanceBy(1ms);
            std::vector<int> delays(running.size());
            std::generate(delays.begin(), delays.end(), [&] { return noise(random); });
            std::sort(delays.begin(), delays.end());
            const time_point sent = fixture.now;
            for (std::size_t i = 0; i < running.size(); ++i) {
                fixture.now = sent + duration { delays[i] };
                fixture.core.report(fixture.now, { running[i].task, running[i].upstream, task_outcome::finished, "", {} });
            }
        }
        fixture.advanceBy(1ms); // also after a refusal
    }
    CHECK(refused == 0);
}

TEST_CASE("run times learned from old samples refuse no job")
{
    dispatch_fixture fixture;
    for (std::uint64_t i = 0; i < 20; ++i) {
        fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1", 1));
        CHECK_FALSE(fixture.core.submit(fixture.now, fixture.makeJob(i)));
        fixture.now += 50ms;
        fixture.reportLatestStart(task_outcome::finished);
    }
    auto urgent = fixture.makeJob(100);
    urgent.deadline = 20ms;
    CHECK(fixture.core.submit(fixture.now, urgent)->kind == error_kind::deadline_unreachable);
    fixture.advanceBy(6s);
    fixture.core.applyAnnouncement(fixture.now, fixture.makeAnnouncement("u1", 1));
    CHECK_FALSE(fixture.core.submit(fixture.now, urgent));
}
