// Tests of owners' delays and of the choice of a cell with a less delayed owner.
#include "coordination/cells/owner_delays.h"

#include <doctest/doctest.h>

#include <map>

using namespace jackdaw;
using namespace jackdaw::cells;
using std::chrono::milliseconds;

namespace {

constexpr time_point start(std::chrono::seconds(100));

// Objective: 1.6 x 50 ms + 60 ms = 140 ms. A delay over 28 ms is high.
protocol::job_order makeJob()
{
    protocol::job_order order;
    order.id = "5c0e7a21d94b36f8";
    order.service = "s1";
    order.slackFactor = 1.6;
    order.targetMs = 60;
    protocol::job_step step;
    step.count = 2;
    step.need = { 8000, 10, 0 };
    step.estimateMs = 50;
    order.steps = { step };
    return order;
}

struct known_cells {
    spill_targets targets;
    std::map<std::string, cell_delay, std::less<>> delays;

    void add(const std::string& cell, milliseconds delay, bool isOwnZone, std::uint32_t freeMillicores = 16000)
    {
        protocol::cell_claim claim;
        claim.cell = cell;
        claim.freeCapacity = { { "s1", { freeMillicores } } };
        targets.update(start, claim);
        delays[cell] = { delay, isOwnZone };
    }

    std::string find(milliseconds homeDelay)
    {
        return findLessDelayedCell(start, makeJob(), homeDelay, targets, [this](std::string_view cell) -> std::optional<cell_delay> {
            const auto found = delays.find(cell);
            return found == delays.end() ? std::nullopt : std::optional(found->second);
        });
    }
};

} // namespace

TEST_CASE("jobs don't leave their cell while its owner's delay is at most a fifth of their objective")
{
    known_cells cells;
    cells.add("a#2", milliseconds(0), true);
    CHECK(cells.find(milliseconds(0)).empty());
    CHECK(cells.find(milliseconds(28)).empty());
    CHECK(cells.find(milliseconds(29)) == "a#2");
}

TEST_CASE("jobs of an overloaded owner don't go to one that is about as late")
{
    known_cells cells;
    cells.add("a#2", milliseconds(51), true);
    CHECK(cells.find(milliseconds(100)).empty());
    cells.add("b", milliseconds(50), false);
    CHECK(cells.find(milliseconds(100)) == "b");
}

TEST_CASE("jobs of an overloaded owner stay in the zone if they can, and fill no cell beyond its free capacity")
{
    known_cells cells;
    cells.add("a#2", milliseconds(10), true);
    cells.add("b", milliseconds(0), false, 64000);
    CHECK(cells.find(milliseconds(100)) == "a#2");
    CHECK(cells.find(milliseconds(100)) == "b");
    CHECK(cells.find(milliseconds(100)) == "b");
}

TEST_CASE("a job is not sent to a cell that may not take it, and one of several steps stays")
{
    known_cells cells;
    cells.add("a#2", milliseconds(0), true);
    cells.delays.clear();
    CHECK(cells.find(milliseconds(100)).empty());
    cells.add("a#2", milliseconds(0), true);
    protocol::job_order job = makeJob();
    job.steps.push_back(job.steps.front());
    CHECK(findLessDelayedCell(start, job, milliseconds(100), cells.targets, [](std::string_view) { return std::optional(cell_delay { {}, true }); }).empty());
}

TEST_CASE("a lasting delay is announced within a second, a single late timer hardly, and neither stays")
{
    loop_delay delay;
    time_point now = start;
    const auto pass = [&](milliseconds time, milliseconds late) {
        for (const time_point end = now + time; now < end; now += milliseconds(20))
            delay.onTimer(now, now - late);
    };
    pass(milliseconds(1000), milliseconds(0));
    CHECK(delay.averageMs() == 0);
    pass(milliseconds(20), milliseconds(100));
    CHECK(delay.averageMs() < 10);
    pass(milliseconds(1000), milliseconds(100));
    CHECK(delay.averageMs() > 80);
    CHECK(delay.averageMs() <= 100);
    pass(milliseconds(2500), milliseconds(0));
    CHECK(delay.averageMs() == 0);
    delay.onTimer(now, now + milliseconds(5));
    CHECK(delay.averageMs() == 0);
}

TEST_CASE("an old or implausible delay does not send jobs elsewhere")
{
    owner_delays delays;
    CHECK(delays.onGossip(start, "h1", 80));
    CHECK(delays.delayOf(start + milliseconds(1000), "h1") == milliseconds(80));
    CHECK(delays.delayOf(start + milliseconds(1001), "h1") == duration::zero());
    CHECK(delays.delayOf(start, "h2") == duration::zero());
    CHECK_FALSE(delays.onGossip(start, "h1", 60001));
    CHECK(delays.delayOf(start, "h1") == milliseconds(80));
    CHECK(delays.onGossip(start, "h1", 0));
    CHECK(delays.delayOf(start, "h1") == duration::zero());
}
