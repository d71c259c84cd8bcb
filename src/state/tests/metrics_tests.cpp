// Tests of metrics and their text form.
#include "state/metrics.h"

#include <doctest/doctest.h>

#include <stdexcept>
#include <thread>

using namespace jackdaw::state;
using std::chrono::microseconds;
using std::chrono::seconds;

namespace {

bool hasLine(const std::string& page, const std::string& line)
{
    return ("\n" + page).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("the page shows each family once, with labels escaped")
{
    metrics all;
    all.addCounter("jackdaw_jobs_total", "Jobs answered.", { { "state", "complete" } }).add(3);
    all.addCounter("jackdaw_jobs_total", "Jobs answered.", { { "state", "a \"b\"\\\n" } }).add();
    all.addGauge("jackdaw_queue", "Tasks in the queue.").set(2.5);
    CHECK(all.toPrometheus() == "# HELP jackdaw_jobs_total Jobs answered.\n"
                                "# TYPE jackdaw_jobs_total counter\n"
                                "jackdaw_jobs_total{state=\"a \\\"b\\\"\\\\\\n\"} 1\n"
                                "jackdaw_jobs_total{state=\"complete\"} 3\n"
                                "# HELP jackdaw_queue Tasks in the queue.\n"
                                "# TYPE jackdaw_queue gauge\n"
                                "jackdaw_queue 2.5\n");
}

TEST_CASE("what several threads count under one name is summed, and no count is lost")
{
    metrics all;
    constexpr std::uint64_t counts = 100'000;
    const auto work = [&all] {
        counter& own = all.addCounter("starts_total", "Starts.");
        latency_histogram& times = all.addHistogram("seconds", "Times.");
        for (std::uint64_t i = 0; i < counts; ++i) {
            own.add();
            times.record(microseconds(700));
        }
    };
    std::thread one(work);
    std::thread other(work);
    all.toPrometheus();
    one.join();
    other.join();
    const std::string page = all.toPrometheus();
    CHECK(hasLine(page, "starts_total 200000"));
    CHECK(hasLine(page, "seconds_bucket{le=\"0.0005\"} 0"));
    CHECK(hasLine(page, "seconds_bucket{le=\"0.001\"} 200000"));
    CHECK(hasLine(page, "seconds_sum 140"));
    CHECK(hasLine(page, "seconds_count 200000"));
}

TEST_CASE("a duration at a bound belongs to the bucket of that bound, and one over all bounds to the last")
{
    metrics all;
    latency_histogram& times = all.addHistogram("seconds", "Times.", { { "team", "x" } });
    times.record(microseconds(-5));
    times.record(microseconds(1000));
    times.record(microseconds(1001));
    times.record(seconds(100));
    const std::string page = all.toPrometheus();
    CHECK(hasLine(page, "seconds_bucket{team=\"x\",le=\"0.0005\"} 1"));
    CHECK(hasLine(page, "seconds_bucket{team=\"x\",le=\"0.001\"} 2"));
    CHECK(hasLine(page, "seconds_bucket{team=\"x\",le=\"0.002\"} 3"));
    CHECK(hasLine(page, "seconds_bucket{team=\"x\",le=\"60\"} 3"));
    CHECK(hasLine(page, "seconds_bucket{team=\"x\",le=\"+Inf\"} 4"));
    CHECK(hasLine(page, "seconds_count{team=\"x\"} 4"));
}

TEST_CASE("a name of another type, and names the format does not allow, are refused")
{
    metrics all;
    all.addCounter("one_total", "One.");
    CHECK_THROWS_AS(all.addGauge("one_total", "One."), std::invalid_argument);
    CHECK_THROWS_AS(all.addCounter("1x", ""), std::invalid_argument);
    CHECK_THROWS_AS(all.addCounter("x y", ""), std::invalid_argument);
    CHECK_THROWS_AS(all.addCounter("x", "", { { "le\"", "" } }), std::invalid_argument);
}
