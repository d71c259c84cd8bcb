// Tests of the tally and of the counters it is set against.
#include "apps/load/tally.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

using namespace jackdaw;
using namespace jackdaw::load;
using protocol::error_kind;
using std::chrono::milliseconds;

TEST_CASE("messages are read by purpose and told apart from control messages")
{
    const auto counts = parseMessageCounts("# TYPE jackdaw_messages_total counter\n"
                                           "jackdaw_messages_total{purpose=\"task\"} 40\n"
                                           "jackdaw_messages_total{purpose=\"heartbeat\"} 7\n"
                                           "jackdaw_messages_total{purpose=\"task\",peer=\"x\"} 2\n"
                                           "jackdaw_starts_total 21\n");
    CHECK(counts.total() == 49);
    CHECK(counts.control() == 7);
}

TEST_CASE("refused jobs are those that are proved not to have run, and waste is what is over two for each task and job")
{
    tally counts;
    counts.recordComplete(10, { milliseconds(30), milliseconds(20) });
    counts.recordFailure(4, error_kind::queue_full);
    counts.recordFailure(4, error_kind::task_failed);
    counts.recordUnanswered(2);
    message_counts messages;
    messages.byPurpose = { { "task", 40 }, { "job", 8 }, { "retry", 5 } };
    upstream_counts upstreams;
    upstreams.startedTwice = 3;
    const auto summary = counts.summary(messages, upstreams);
    CHECK(summary.dump() == R"({"jobs":4,"complete":1,"failed":2,"refused":1,"tasks":20,"started_twice":3,"slowdown_p50":1.5,"slowdown_p99":1.5,"wasted_messages_per_task":0.25})");
    CHECK(counts.isSound());
    upstreams.started = 18;
    CHECK(counts.summary(messages, upstreams)["wasted_messages_per_task"] == 0.75);
}

TEST_CASE("broken, contradictory and untrue answers make a run unsound")
{
    tally broken;
    broken.recordBroken(1);
    CHECK_FALSE(broken.isSound());
    tally contradictory;
    contradictory.recordResubmission(true, true);
    CHECK_FALSE(contradictory.isSound());
    tally untrue;
    untrue.recordUntrueRefusals(1);
    CHECK_FALSE(untrue.isSound());
}

TEST_CASE("quantiles are those of the sorted values")
{
    CHECK(quantile({}, 0.5) == 0);
    CHECK(quantile({ 3, 1, 2 }, 0.5) == 2);
    CHECK(quantile({ 3, 1, 2 }, 0.99) == 3);
    CHECK(quantile({ 4, 3, 2, 1 }, 0.5) == 2);
}
