// Choice of the upstream for one task.
#include "coordination/cells/internal/placement.h"

#include <algorithm>

namespace jackdaw::cells::internal {
namespace {

    constexpr double otherRackRatio = 2.0; // run time away from the data; the platform's bound lies between 1.5 and 2
    constexpr double speedStep = 0.15; // speeds that differ by less count as equal

    // Calls without an answer in a row; single ones are lost with connections, or carried out late, on sound upstreams.
    constexpr int silentCallsToClose = 2;

    // Samples of an upstream that weigh as much as what is known of its service.
    constexpr double priorSamples = 3;

    std::uint32_t tasksOfStep(const upstream_ledger& upstream, const task_demand& demand)
    {
        return static_cast<std::uint32_t>(std::count_if(upstream.runs.begin(), upstream.runs.end(), [&](const auto& item) {
            return item.second.job == demand.job && item.second.step == demand.stepNumber;
        }));
    }

} // namespace

bool hasLabel(const protocol::upstream_report& facts, std::string_view label)
{
    return std::find(facts.labels.begin(), facts.labels.end(), label) != facts.labels.end();
}

bool couldRun(const upstream_ledger& upstream, const task_demand& demand)
{
    const protocol::upstream_report& facts = upstream.facts;
    const bool isLabelled = demand.step->requiredLabel.empty() || hasLabel(facts, demand.step->requiredLabel);
    return facts.service == demand.service && isLabelled && demand.step->need.fitsIn(facts.capacity);
}

bool isOpen(const upstream_ledger& upstream, time_point now)
{
    return upstream.isAdopted && !upstream.facts.isLeaving && upstream.silentInRow < silentCallsToClose && now >= upstream.closedUntil;
}

double expectedRatio(const upstream_ledger& upstream, const protocol::job_step& step, double serviceRatio, time_point now)
{
    const double samples = upstream.ratio.samples();
    double ratio = (upstream.ratio.value() * samples + serviceRatio * priorSamples) / (samples + priorSamples);
    // A run that takes longer than expected shows a slow upstream before it ends.
    for (const auto& [name, record] : upstream.runs) {
        const double ageMs = std::chrono::duration<double, std::milli>(now - record.since).count();
        if (record.expectedMs > 0)
            ratio = std::max(ratio, ageMs / record.expectedMs * 0.7);
    }
    const bool isFar = !step.dataRack.empty() && !hasLabel(upstream.facts, step.dataRack);
    return isFar ? ratio * otherRackRatio : ratio;
}

upstream_ledger* chooseUpstream(upstream_book& upstreams, const task_demand& demand, double serviceRatio, time_point now)
{
    const bool mayWait = demand.fastestRun <= demand.timeLeft;
    upstream_ledger* best = nullptr;
    std::tuple<bool, std::int64_t, std::int64_t> bestCost;
    for (auto& [id, upstream] : upstreams) {
        if (!isOpen(upstream, now) || !couldRun(upstream, demand))
            continue;
        const resource_vector room = upstream.room();
        if (!demand.step->need.fitsIn(room))
            continue;
        if (demand.step->maxPerUpstream > 0 && tasksOfStep(upstream, demand) >= demand.step->maxPerUpstream)
            continue;
        const double ratio = expectedRatio(upstream, *demand.step, serviceRatio, now);
        const auto speedClass = static_cast<std::int64_t>(ratio / speedStep);
        const auto expected = std::chrono::duration<double, std::milli>(ratio * demand.step->estimateMs);
        if (mayWait && expected > demand.timeLeft)
            continue;
        const std::tuple cost(id == demand.avoid, speedClass, room.millicores);
        if (best && cost >= bestCost)
            continue;
        best = &upstream;
        bestCost = cost;
    }
    return best;
}

bool fitsIn(std::span<const std::int64_t> rooms, std::int64_t need, std::uint32_t count)
{
    if (need <= 0)
        return !rooms.empty();
    std::uint64_t places = 0;
    for (const std::int64_t room : rooms)
        places += static_cast<std::uint64_t>(std::max<std::int64_t>(room, 0) / need);
    return places >= count;
}

} // namespace jackdaw::cells::internal
