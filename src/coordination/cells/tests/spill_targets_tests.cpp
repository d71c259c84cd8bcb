// Tests of choosing another cell for a job.
#include "coordination/cells/spill_targets.h"

#include <doctest/doctest.h>

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

bool any(std::string_view) { return true; }

} // namespace

TEST_CASE("the cell with the most free capacity is chosen if all tasks of the job fit there")
{
    spill_targets rooms;
    rooms.update({ "b", 1, { { "planning", { 32000, 32000 } } } });
    rooms.update({ "c", 2, { { "planning", { 32000, 32000, 13000, 13000, 13000 } } } });
    CHECK(rooms.reserve(makeJob(4, 14000), any) == "c");
    CHECK(rooms.reserve(makeJob(6, 14000), any).empty());
    CHECK(rooms.reserve(makeJob(1, 33000), any).empty());
}

TEST_CASE("a burst is spread over several cells")
{
    spill_targets rooms;
    rooms.update({ "b", 1, { { "planning", { 32000, 32000 } } } });
    rooms.update({ "c", 2, { { "planning", { 32000, 32000, 32000 } } } });
    CHECK(rooms.reserve(makeJob(4, 14000), any) == "c");
    CHECK(rooms.reserve(makeJob(4, 14000), any) == "b");
    CHECK(rooms.reserve(makeJob(4, 14000), any).empty());
    rooms.update({ "b", 1, { { "planning", { 32000, 32000 } } } });
    CHECK(rooms.reserve(makeJob(4, 14000), any) == "b");
}

TEST_CASE("cells that may not be used and other services are ignored, and jobs with several steps stay")
{
    spill_targets rooms;
    rooms.update({ "b", 1, { { "planning", { 32000 } } } });
    CHECK(rooms.reserve(makeJob(1, 14000), [](std::string_view cell) { return cell != "b"; }).empty());
    job_order other = makeJob(1, 14000);
    other.service = "minutes";
    CHECK(rooms.reserve(other, any).empty());
    job_order twoSteps = makeJob(1, 14000);
    twoSteps.steps.push_back(twoSteps.steps.front());
    CHECK(rooms.reserve(twoSteps, any).empty());
}
