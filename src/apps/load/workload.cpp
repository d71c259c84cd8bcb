// The users' workloads.
#include "apps/load/workload.h"

namespace jackdaw::load {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Live minutes: small jobs that people wait for, some of them several seconds long.
    workload zapisnikar()
    {
        workload out;
        out.client = "zapisnikar";
        out.teams = { "minutes", "motions", "tallies" };
        out.deadline = seconds(20);
        out.arrivals.utilization = 0.7;
        out.tasks = { 1, 16, milliseconds(50), milliseconds(1000), 0.01, milliseconds(3000), 64 };
        out.idempotentShare = 0.5;
        return out;
    }

    // Planting plans: large jobs in bursts after storms.
    workload dune()
    {
        workload out;
        out.client = "dune";
        out.teams = { "plots", "orders", "trays" };
        out.deadline = seconds(60);
        out.arrivals.utilization = 0.5;
        out.arrivals.burstInterval = seconds(10);
        out.arrivals.burstLength = seconds(1);
        out.arrivals.burstFactor = 4;
        out.tasks = { 8, 128, milliseconds(50), milliseconds(1000), 0.01, milliseconds(3000), 64 };
        out.idempotentShare = 0.5;
        return out;
    }

} // namespace

std::optional<workload> presetWorkload(std::string_view name)
{
    if (name == "zapisnikar")
        return zapisnikar();
    if (name == "dune")
        return dune();
    return std::nullopt;
}

} // namespace jackdaw::load
