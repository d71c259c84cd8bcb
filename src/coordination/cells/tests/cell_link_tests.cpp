// Replays load on an owner whose link is the bound: bursts fill it, and every call waits behind the owner's own bytes.
#include "coordination/cells/tests/cell_simulation.h"

#include <doctest/doctest.h>

#include <string>

using namespace jackdaw::cells;
using namespace jackdaw::cells::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double bytesPerSecond = 250'000; // 2 Mbit/s
constexpr std::size_t specBytes = 1000;
constexpr int seeds = 5;

struct full_link_fixture {
    explicit full_link_fixture(std::uint64_t seed)
        : sim(seed)
    {
        for (int i = 0; i < 16; ++i)
            sim.addUpstream("u" + std::to_string(i), 64000);
        sim.setLinkRate(bytesPerSecond);
        sim.addOwner();
        sim.runFor(milliseconds(500));
    }

    // Submits jobs of five tasks at the rate. Returns the number of the first and of the next job.
    std::pair<int, int> load(double jobsPerSecond, duration length)
    {
        const int first = jobs;
        const time_point until = sim.now() + length;
        while (sim.now() < until) {
            std::exponential_distribution<double> pause(jobsPerSecond);
            sim.runFor(std::chrono::duration_cast<duration>(std::chrono::duration<double>(pause(sim.random()))));
            jackdaw::protocol::job_order job = sim.makeJob(std::to_string(jobs++), 5, 8000, 100);
            job.spec = std::string(specBytes, 'x');
            sim.submit(0, job);
        }
        return { first, jobs };
    }

    double shareInTime(std::pair<int, int> range) const
    {
        int inTime = 0;
        for (int number = range.first; number < range.second; ++number) {
            const auto outcome = sim.outcomes().find(std::to_string(number));
            inTime += outcome != sim.outcomes().end() && outcome->second.isInTime ? 1 : 0;
        }
        return static_cast<double>(inTime) / (range.second - range.first);
    }

    cell_simulation sim;
    int jobs = 0;
};

} // namespace

TEST_CASE("a burst that fills the owner's link leads to stops and connections that keep it full")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        full_link_fixture fixture(seed);
        fixture.load(14, seconds(3));
        fixture.load(70, milliseconds(600));
        fixture.load(14, seconds(2));
        const std::size_t connectionsBefore = fixture.sim.newConnections();
        const std::size_t stopsBefore = fixture.sim.stops();
        const auto after = fixture.load(14, seconds(5));
        fixture.sim.runFor(seconds(2));
        CHECK(fixture.shareInTime(after) >= 0.95);
        CHECK(fixture.sim.stops() - stopsBefore == 0);
        CHECK(fixture.sim.newConnections() - connectionsBefore == 0);
        CHECK(fixture.sim.stops() <= fixture.sim.starts() / 20);
        CHECK(fixture.sim.doubleRuns() == 0);
    }
}

TEST_CASE("a job whose starts would wait too long on the owner's link is accepted, and late")
{
    full_link_fixture fixture(1);
    const auto burst = fixture.load(100, seconds(2));
    fixture.sim.runFor(seconds(3));
    int late = 0;
    int rejected = 0;
    for (int number = burst.first; number < burst.second; ++number) {
        const sim_outcome& outcome = fixture.sim.outcomes().at(std::to_string(number));
        late += outcome.answer.outcome == jackdaw::protocol::job_outcome::completed && !outcome.isInTime ? 1 : 0;
        rejected += outcome.answer.outcome == jackdaw::protocol::job_outcome::rejected ? 1 : 0;
    }
    CHECK(rejected > 0);
    CHECK(late <= (burst.second - burst.first) / 4);
    CHECK(fixture.sim.doubleRuns() == 0);
}

TEST_CASE("an upstream that stops answering goes unnoticed on a link that is half full")
{
    double inTime = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        full_link_fixture fixture(seed);
        fixture.load(10, seconds(2));
        fixture.sim.upstream("u3").fault = upstream_fault::silent;
        const auto during = fixture.load(10, seconds(5));
        fixture.sim.runFor(seconds(2));
        inTime += fixture.shareInTime(during) / seeds;
        CHECK(fixture.sim.doubleRuns() == 0);
    }
    CHECK(inTime >= 0.9);
}
