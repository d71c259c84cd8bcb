// Tests of choosing another cell for a job.
#include "coordination/cells/spill_targets.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace jackdaw::cells;
using jackdaw::protocol::job_order;

namespace {

job_order makeJob(std::uint32_t tasks, std::int64_t millicores)
{
    job_order job;
    job.service = "planning";
    job.steps = { { tasks, { millicores, 64, 0 }, 60, {}, "", "", 0 } };
    return job;
}

constexpr time_point start { std::chrono::seconds(100) };

bool any(std::string_view) { return true; }

} // namespace

TEST_CASE("a cell is chosen that does not fit all tasks of the job")
{
    spill_targets rooms;
    rooms.update(start, { "b", 1, { { "planning", { 32000, 32000 } } } });
    rooms.update(start, { "c", 2, { { "planning", { 32000, 32000, 13000, 13000, 13000 } } } });
    rooms.update(start, { "d", 3, { { "planning", { 32000, 13000, 13000, 13000, 13000, 13000, 13000 } } } });
    const std::string first = rooms.reserve(start, "z", makeJob(4, 14000), any);
    CHECK((first == "b" || first == "c"));
    CHECK(rooms.reserve(start, "z", makeJob(6, 14000), any).empty());
    CHECK(rooms.reserve(start, "z", makeJob(1, 33000), any).empty());
}

TEST_CASE("a burst is sent to one cell only")
{
    spill_targets rooms;
    rooms.update(start, { "b", 1, { { "planning", { 32000, 32000 } } } });
    rooms.update(start, { "c", 2, { { "planning", { 32000, 32000, 32000 } } } });
    const std::string first = rooms.reserve(start, "z", makeJob(4, 14000), any);
    const std::string second = rooms.reserve(start, "z", makeJob(4, 14000), any);
    CHECK(std::set { first, second } == std::set<std::string> { "b", "c" });
    CHECK(rooms.reserve(start, "z", makeJob(4, 14000), any).empty());
    rooms.update(start, { "b", 1, { { "planning", { 32000, 32000 } } } });
    CHECK(rooms.reserve(start, "z", makeJob(4, 14000), any) == "b");
}

// Load: the owners of many full cells, which have all heard the same gossip.
TEST_CASE("all owners send their jobs to the cell with the most free capacity")
{
    std::map<std::string, int> chosen;
    constexpr int owners = 600;
    for (int i = 0; i < owners; ++i) {
        spill_targets rooms;
        rooms.update(start, { "b", 1, { { "planning", { 32000 } } } });
        rooms.update(start, { "c", 2, { { "planning", { 32000, 32000 } } } });
        rooms.update(start, { "d", 3, { { "planning", { 32000, 32000, 32000 } } } });
        job_order job = makeJob(1, 14000);
        job.id = std::to_string(i);
        ++chosen[rooms.reserve(start, "z", job, any)];
    }
    CHECK(chosen["b"] == doctest::Approx(owners / 6.0).epsilon(0.25));
    CHECK(chosen["c"] == doctest::Approx(owners / 3.0).epsilon(0.25));
    CHECK(chosen["d"] == doctest::Approx(owners / 2.0).epsilon(0.25));
}

TEST_CASE("a job leaves its zone while another cell of the zone has free capacity")
{
    spill_targets rooms;
    rooms.update(start, { "y", 1, { { "planning", { 32000, 32000, 32000, 32000 } } } });
    rooms.update(start, { "z#1", 2, { { "planning", { 32000 } } } });
    CHECK(rooms.reserve(start, "z", makeJob(2, 14000), any) == "z#1");
    CHECK(rooms.reserve(start, "z", makeJob(2, 14000), any) == "y");
}

TEST_CASE("a job is sent to a cell whose owner has not been heard for over a second")
{
    spill_targets rooms;
    rooms.update(start, { "b", 1, { { "planning", { 32000 } } } });
    CHECK(rooms.reserve(start + std::chrono::milliseconds(1001), "z", makeJob(1, 14000), any).empty());
    CHECK(rooms.reserve(start + std::chrono::milliseconds(1000), "z", makeJob(1, 14000), any) == "b");
}

TEST_CASE("cells that may not be used and other services are ignored, and jobs with several steps stay")
{
    spill_targets rooms;
    rooms.update(start, { "b", 1, { { "planning", { 32000 } } } });
    CHECK(rooms.reserve(start, "z", makeJob(1, 14000), [](std::string_view cell) { return cell != "b"; }).empty());
    job_order other = makeJob(1, 14000);
    other.service = "minutes";
    CHECK(rooms.reserve(start, "z", other, any).empty());
    job_order twoSteps = makeJob(1, 14000);
    twoSteps.steps.push_back(twoSteps.steps.front());
    CHECK(rooms.reserve(start, "z", twoSteps, any).empty());
}
