// Tests of the choice of a cell for jobs of an evacuated zone.
#include "coordination/cells/evacuation_targets.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace jackdaw::cells;
using jackdaw::protocol::job_order;
using jackdaw::protocol::service_free_capacity;

namespace {

job_order makeJob(int number)
{
    job_order job;
    job.id = "job-" + std::to_string(number);
    job.service = "planning";
    job.steps = { { 2, { 4000, 64, 0 }, 60, {}, "", "", 0 }, { 8, { 4000, 64, 0 }, 60, { 0 }, "", "", 0 } };
    return job;
}

std::vector<service_free_capacity> makeCapacity(std::uint32_t upstreams, const std::string& service = "planning")
{
    return { { service, std::vector<std::uint32_t>(upstreams, 16000) } };
}

bool any(std::string_view) { return true; }

std::map<std::string, int> chooseMany(evacuation_targets& targets, int count)
{
    std::map<std::string, int> chosen;
    for (int i = 0; i < count; ++i)
        ++chosen[targets.choose(makeJob(i), any)];
    return chosen;
}

} // namespace

TEST_CASE("all jobs of an evacuated zone go to one cell")
{
    evacuation_targets targets;
    targets.update("b", makeCapacity(300));
    targets.update("c", makeCapacity(100));
    targets.update("c#1", makeCapacity(100));
    auto chosen = chooseMany(targets, 500);
    CHECK(chosen["b"] > 250);
    CHECK(chosen["b"] < 350);
    CHECK(chosen["c"] > 65);
    CHECK(chosen["c#1"] > 65);
}

TEST_CASE("a cell gets more jobs than it has room for while another one has room")
{
    evacuation_targets targets;
    targets.update("b", makeCapacity(4)); // 8 jobs
    targets.update("c", makeCapacity(400));
    auto chosen = chooseMany(targets, 300);
    CHECK(chosen["b"] <= 16);
    targets.update("b", makeCapacity(400));
    CHECK(chooseMany(targets, 300)["b"] > 100);
}

TEST_CASE("a full cell gets jobs while another one has room")
{
    evacuation_targets targets;
    targets.update("b", { { "planning", {} } });
    targets.update("c", makeCapacity(1));
    CHECK(chooseMany(targets, 50)["c"] == 50);
}

TEST_CASE("without free capacity anywhere one cell gets all jobs, or none is chosen")
{
    evacuation_targets targets;
    targets.update("b", { { "planning", {} } });
    targets.update("c", { { "planning", {} } });
    auto chosen = chooseMany(targets, 400);
    CHECK(chosen["b"] > 150);
    CHECK(chosen["c"] > 150);
    CHECK(chosen["b"] + chosen["c"] == 400);
}

TEST_CASE("a job goes to a cell that has no upstream of its service, or to a cell that may not take it")
{
    evacuation_targets targets;
    CHECK(targets.choose(makeJob(1), any).empty());
    targets.update("b", makeCapacity(100, "other"));
    CHECK(targets.choose(makeJob(1), any) == "b"); // its owner may know of more, and refuses accurately
    targets.update("c", makeCapacity(1));
    CHECK(chooseMany(targets, 50)["c"] == 50);
    targets.update("c", makeCapacity(1, "other")); // its last upstream of the service has gone
    targets.update("b", makeCapacity(1));
    CHECK(chooseMany(targets, 50)["b"] == 50);
    CHECK(targets.choose(makeJob(1), [](std::string_view) { return false; }).empty());
}

TEST_CASE("a resubmission of a job goes to another cell although the cells' capacity is the same")
{
    for (int i = 0; i < 50; ++i) {
        evacuation_targets first;
        evacuation_targets second;
        for (evacuation_targets* targets : { &first, &second }) {
            targets->update("b", makeCapacity(100));
            targets->update("c", makeCapacity(150));
        }
        CHECK(first.choose(makeJob(i), any) == second.choose(makeJob(i), any));
    }
}
