// Tests of the bookkeeping of submissions.
#include "apps/entry/job_registry.h"

#include <doctest/doctest.h>

#include <string>

using namespace jackdaw::entry;
using namespace jackdaw::protocol;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t hash = 7;

submission_id idOf(std::uint64_t number)
{
    return makeSubmissionId(unix_milliseconds(1'700'000'000'000), number, number);
}

job_answer complete(std::string body)
{
    return job_results { { std::move(body) } };
}

job_answer failed(error_kind kind)
{
    return job_failure { kind, {}, {} };
}

} // namespace

TEST_CASE("all who wait for a job get its answer once, and it stays stored")
{
    job_registry registry({});
    int told = 0;
    registry.open(idOf(1), hash);
    registry.wait(idOf(1), [&told](const answer_ptr&) { ++told; });
    registry.wait(idOf(1), [&told](const answer_ptr&) { ++told; });
    CHECK(registry.find(idOf(1), hash).state == registry_state::open);
    CHECK(registry.find(idOf(1), hash + 1).state == registry_state::mismatch);
    registry.answer(time_point(1s), idOf(1), complete("x"));
    registry.answer(time_point(1s), idOf(1), complete("y"));
    CHECK(told == 2);
    REQUIRE(registry.find(idOf(1), hash).state == registry_state::answered);
    CHECK(*registry.find(idOf(1), hash).answer == complete("x"));
}

TEST_CASE("a submission of which nothing was started may be tried again, a cancelled one may not")
{
    job_registry registry({});
    registry.open(idOf(1), hash);
    registry.answer(time_point(1s), idOf(1), failed(error_kind::queue_full));
    CHECK(registry.find(idOf(1), hash).state == registry_state::retryable);
    registry.open(idOf(1), hash);
    registry.answer(time_point(1s), idOf(1), failed(error_kind::cancelled_before_start));
    CHECK(registry.find(idOf(1), hash).state == registry_state::answered);
}

TEST_CASE("answers are dropped by age and by size, oldest first, and the submissions stay known")
{
    job_registry registry({ .maxStoredBytes = 2000, .answerRetention = 10s, .recordRetention = 60s });
    for (std::uint64_t i = 0; i < 3; ++i) {
        registry.open(idOf(i), hash);
        registry.answer(time_point(1s), idOf(i), complete(std::string(800, 'x')));
    }
    registry.expire(time_point(1s));
    CHECK(registry.find(idOf(0)).state == registry_state::forgotten);
    CHECK(registry.find(idOf(2)).state == registry_state::answered);
    CHECK(registry.storedBytes() <= 2000);
    registry.expire(time_point(12s));
    CHECK(registry.find(idOf(2)).state == registry_state::forgotten);
    CHECK(registry.storedBytes() == 0);
    registry.expire(time_point(70s));
    CHECK(registry.records() == 0);
}

TEST_CASE("a submission that was opened again outlives the retention of its first closing")
{
    job_registry registry({ .answerRetention = 10s, .recordRetention = 60s });
    registry.open(idOf(1), hash);
    registry.answer(time_point(1s), idOf(1), failed(error_kind::queue_full));
    registry.open(idOf(1), hash);
    registry.expire(time_point(100s));
    CHECK(registry.find(idOf(1)).state == registry_state::open);
    CHECK(registry.openJobs() == 1);
}

TEST_CASE("a job is abandoned when its last caller went away, unless it is kept")
{
    job_registry registry({});
    registry.open(idOf(1), hash);
    const auto first = registry.wait(idOf(1), [](const answer_ptr&) {});
    const auto second = registry.wait(idOf(1), [](const answer_ptr&) {});
    registry.stopWaiting(idOf(1), first);
    CHECK_FALSE(registry.isAbandoned(idOf(1)));
    registry.stopWaiting(idOf(1), second);
    CHECK(registry.isAbandoned(idOf(1)));
    registry.keepWithoutWaiters(idOf(1));
    CHECK_FALSE(registry.isAbandoned(idOf(1)));
}
