// Tests of the random jobs and of the check of their answers.
#include "apps/load/job_generator.h"
#include "protocol/job_codec.h"

#include <doctest/doctest.h>

using namespace jackdaw;
using namespace jackdaw::load;
using std::chrono::milliseconds;

namespace {

workload smallLoad()
{
    workload out;
    out.arrivals.jobsPerSecond = 100;
    out.tasks = { 1, 8, milliseconds(50), milliseconds(1000), 0.1, milliseconds(3000), 4 };
    return out;
}

} // namespace

TEST_CASE("the same seed gives the same jobs, another seed others")
{
    job_generator one(smallLoad(), 7);
    job_generator same(smallLoad(), 7);
    job_generator other(smallLoad(), 8);
    bool differs = false;
    for (int i = 0; i < 100; ++i) {
        const planned_job job = one.next();
        const planned_job twin = same.next();
        CHECK(job.arrival == twin.arrival);
        CHECK(job.randomLow == twin.randomLow);
        CHECK(job.longestWork() == twin.longestWork());
        differs = differs || other.next().arrival != job.arrival;
    }
    CHECK(differs);
}

TEST_CASE("arrivals, counts and work keep to the plan")
{
    workload load = smallLoad();
    load.arrivals = { 0, 0.5, 16, milliseconds(10'000), milliseconds(1000), 4 };
    job_generator generator(load, 1);
    double work = 0;
    double inBursts = 0;
    duration last {};
    constexpr int jobs = 20'000;
    for (int i = 0; i < jobs; ++i) {
        const planned_job job = generator.next();
        REQUIRE(job.arrival >= last);
        last = job.arrival;
        REQUIRE(job.tasks.size() <= 8);
        for (const planned_task& task : job.tasks)
            work += std::chrono::duration<double>(task.work).count();
        inBursts += job.arrival % milliseconds(10'000) < milliseconds(1000) ? 1 : 0;
    }
    // Bursts of four times the rate during a tenth of the time: 4 of 13 jobs, and 1.3 times the mean rate.
    CHECK(inBursts / jobs == doctest::Approx(4.0 / 13).epsilon(0.05));
    const double seconds = std::chrono::duration<double>(last).count();
    CHECK(work / seconds == doctest::Approx(0.5 * 16 * 1.3).epsilon(0.05));
}

TEST_CASE("a request carries the plan, and only its own whole answer in order matches")
{
    const workload load = smallLoad();
    job_generator generator(load, 3);
    planned_job job = generator.next();
    while (job.tasks.size() < 2)
        job = generator.next();
    const auto submission = protocol::makeSubmissionId(protocol::unix_milliseconds(1), job.randomHigh, job.randomLow);
    const auto other = protocol::makeSubmissionId(protocol::unix_milliseconds(1), job.randomLow, job.randomHigh);
    const auto parsed = protocol::parseJobRequest(submission, toJson(makeRequest(job, load, submission)), {});
    REQUIRE(parsed);
    CHECK(parsed.value().tasks.size() == job.tasks.size());
    protocol::job_results results;
    protocol::job_results crossed;
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        results.bodies.push_back(expectedEcho(submission, i, 4));
        crossed.bodies.push_back(expectedEcho(other, i, 4));
    }
    CHECK_FALSE(findMismatch(job, load, submission, results));
    CHECK(findMismatch(job, load, submission, crossed));
    std::swap(results.bodies[0], results.bodies[1]);
    CHECK(findMismatch(job, load, submission, results));
    std::swap(results.bodies[0], results.bodies[1]);
    results.bodies.pop_back();
    CHECK(findMismatch(job, load, submission, results));
}
