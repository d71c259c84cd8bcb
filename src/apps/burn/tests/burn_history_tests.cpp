// Tests of the readings over time.
#include "apps/burn/burn_history.h"

#include "apps/shared/job_metrics.h"

#include <doctest/doctest.h>

using namespace jackdaw;
using namespace jackdaw::burn;
using ms = unix_milliseconds;

namespace {

host_reading reading(std::int64_t time, const std::string& host, double good, double total)
{
    return { ms(time), host, { { good, total } } };
}

burn_history longHistory()
{
    return burn_history(ms(1'000'000), ms(1'000'000), ms(1));
}

} // namespace

TEST_CASE("a page yields the answers within the objective's time")
{
    state::metrics page;
    apps::job_metrics jobs(page);
    jobs.record("minutes", "votes", protocol::job_results {}, std::chrono::milliseconds(90));
    jobs.record("minutes", "votes", protocol::job_results {}, std::chrono::milliseconds(400));
    jobs.record("minutes", "votes", protocol::job_failure { protocol::error_kind::task_failed, {}, {} }, {});
    jobs.record("minutes", "votes", protocol::job_failure { protocol::error_kind::cancelled_after_start, {}, {} }, {});
    jobs.record("minutes", "motions", protocol::job_results {}, std::chrono::milliseconds(1));
    const std::vector<service_objective> objectives { { "minutes", "votes", 0.9, std::chrono::milliseconds(300) }, { "absent", "x", 0.9, std::chrono::seconds(1) } };
    const auto counts = readAnswerCounts(page.toPrometheus(), objectives);
    REQUIRE(counts.size() == 2);
    CHECK(counts[0] == answer_counts { 1, 3 });
    CHECK(counts[1] == answer_counts { 0, 0 });
}

TEST_CASE("answers between two times are summed over the hosts, a missing one keeps what it had")
{
    burn_history history = longHistory();
    history.add(reading(10, "a", 100, 100));
    history.add(reading(20, "a", 108, 110));
    history.add(reading(30, "a", 118, 120));
    history.add(reading(10, "b", 0, 0));
    history.add(reading(20, "b", 5, 5));
    CHECK(history.between(0, ms(0), ms(30)) == answer_counts { 23, 25 });
    CHECK(history.between(0, ms(20), ms(30)) == answer_counts { 10, 10 });
    CHECK(history.between(0, ms(0), ms(20)) == answer_counts { 13, 15 });
    CHECK(history.lastReadings().at("b") == ms(20));
}

TEST_CASE("a host that restarted counts from zero again, and late readings are ignored")
{
    burn_history history = longHistory();
    history.add(reading(10, "a", 100, 100));
    history.add(reading(20, "a", 3, 4));
    history.add(reading(15, "a", 500, 500));
    CHECK(history.between(0, ms(0), ms(20)) == answer_counts { 3, 4 });
}

TEST_CASE("old readings are thinned without losing a count, restarts included")
{
    burn_history history(ms(10'000), ms(100), ms(50));
    double total = 0;
    for (std::int64_t time = 0; time <= 1000; ++time) {
        total = time == 333 ? 0 : total + 1;
        history.add(reading(time, "a", total, total));
    }
    CHECK(history.between(0, ms(-1), ms(1000)).total == 332 + 667);
    CHECK(history.readings().size() < 130);
    burn_history shortLived(ms(100), ms(10), ms(5));
    for (std::int64_t time = 0; time <= 1000; ++time)
        shortLived.add(reading(time, "a", 0, 0));
    CHECK(shortLived.readings().size() < 40);
}

TEST_CASE("a line of the history file is read back, and one of other objectives is refused")
{
    const std::string line = toLine(reading(123, "a:1", 2, 3), "key");
    const auto back = parseLine(line, "key");
    REQUIRE(back);
    CHECK(back.value().time == ms(123));
    CHECK(back.value().counts == std::vector<answer_counts> { { 2, 3 } });
    CHECK(parseLine(line, "other").error().kind() == protocol::error_kind::unknown_resource);
    for (const char* broken : { "", "[]", "{}", R"({"time":1,"host":"a","objectives":"key","counts":[[1]]})", R"({"time":-1,"host":"a","objectives":"key","counts":[]})" })
        CHECK_MESSAGE(!parseLine(broken, "key"), broken);
}
