// Choice of an upstream for one task.
#include "coordination/cells/internal/placement.h"

#include <algorithm>
#include <tuple>

namespace jackdaw::cells::internal {
namespace {

    constexpr double otherRackRatio = 2.0; // run time factor away from the data; the platform's bound is between 1.5 and 2
    constexpr double speedStep = 0.15; // width of a speed class; upstreams of one class count as equally fast

    // Consecutive unanswered calls. Single calls are also lost with a connection or carried out late on healthy upstreams.
    constexpr int unansweredCallsToEject = 2;

    // About as long as a poll waits. A shorter lease would lapse before it is renewed.
    constexpr duration minLease = std::chrono::milliseconds(300);

    // Number of an upstream's own samples that weigh as much as the ratio of its service.
    constexpr double priorSamples = 3;

    // Shares of a cold upstream's capacity after an evacuation: half at once, three quarters after one step, then all. Half of the smallest
    // upstream, 16 cores, has room for a usual task of 8 cores.
    constexpr duration releaseStep = std::chrono::seconds(1);
    constexpr std::int64_t releaseShares = 4;
    constexpr std::int64_t firstReleaseShares = 2;

    // The estimate is at least this share of a running task's age / declared run time.
    constexpr double overdueShare = 0.7;

    std::uint32_t tasksOfStep(const upstream_record& upstream, const task_demand& demand)
    {
        return static_cast<std::uint32_t>(std::count_if(upstream.runs.begin(), upstream.runs.end(), [&](const auto& item) {
            return item.second.job == demand.job && item.second.step == demand.stepNumber;
        }));
    }

    bool hasSuspect(const upstream_record& upstream)
    {
        return std::any_of(upstream.runs.begin(), upstream.runs.end(), [](const auto& item) { return item.second.isSuspect; });
    }

    double withPrior(const upstream_record& upstream, double ratio, const run_time_ratio& service)
    {
        const double samples = upstream.ratio.samples();
        return (ratio * samples + service.latest() * priorSamples) / (samples + priorSamples);
    }

    // A run that takes longer than expected shows that the upstream is slow before the run ends.
    double overdueRatio(const upstream_record& upstream, duration ownDelay, time_point now)
    {
        double ratio = 0;
        for (const auto& [name, record] : upstream.runs) {
            const double ageMs = std::chrono::duration<double, std::milli>(ageOf(now, record, ownDelay)).count();
            if (record.expectedMs > 0)
                ratio = std::max(ratio, ageMs / record.expectedMs * overdueShare);
        }
        return ratio;
    }

    double withRackPenalty(double ratio, const upstream_record& upstream, const protocol::job_step& step)
    {
        const bool isFar = !step.dataRack.empty() && !hasLabel(upstream.lastReport, step.dataRack);
        return isFar ? ratio * otherRackRatio : ratio;
    }

} // namespace

bool hasLabel(const protocol::upstream_report& report, std::string_view label)
{
    return std::find(report.labels.begin(), report.labels.end(), label) != report.labels.end();
}

bool canRun(const upstream_record& upstream, const task_demand& demand)
{
    return mayEverRun(upstream, demand) && demand.step->need.fitsIn(upstream.lastReport.capacity);
}

bool mayEverRun(const upstream_record& upstream, const task_demand& demand)
{
    const protocol::upstream_report& report = upstream.lastReport;
    const bool isLabelled = demand.step->requiredLabel.empty() || hasLabel(report, demand.step->requiredLabel);
    return report.service == demand.service && isLabelled && demand.step->need.fitsIn(upstream.largestCapacity);
}

bool isAvailable(const upstream_record& upstream, time_point now)
{
    return upstream.isAdopted && upstream.isCapacityKnown && !upstream.lastReport.isLeaving && upstream.consecutiveUnanswered < unansweredCallsToEject && now >= upstream.ejectedUntil;
}

double coldRatio(const upstream_record& upstream, time_point now)
{
    return now < upstream.coldUntil ? coldSlowness : 1;
}

resource_vector usableCapacity(const upstream_record& upstream, time_point now)
{
    resource_vector free = upstream.freeCapacity();
    if (!upstream.releasedAt || now >= upstream.coldUntil)
        return free;
    const std::int64_t shares = firstReleaseShares + (now - *upstream.releasedAt) / releaseStep;
    if (shares < releaseShares)
        free.millicores -= upstream.lastReport.capacity.millicores * (releaseShares - shares) / releaseShares;
    return free;
}

bool isLeaseLongEnough(const upstream_record& upstream, time_point now)
{
    return now + minLease <= upstream.leaseLimit;
}

const run_time_ratio& serviceRatio(const service_ratios& ratios, std::string_view service)
{
    static const run_time_ratio declared;
    const auto found = ratios.find(service);
    return found == ratios.end() ? declared : found->second;
}

double expectedRatio(const upstream_record& upstream, const run_time_ratio& service, time_point now)
{
    const double cold = coldRatio(upstream, now);
    if (service.samples() == 0)
        return cold;
    const double own = upstream.ratio.samples() == 0 ? 1 : decayed(upstream.ratio.latest(), upstream.ratio.usual(), now - upstream.ratio.sampledAt());
    return decayed(withPrior(upstream, own, service), 1, now - service.sampledAt()) * cold;
}

void learnRunTime(time_point now, upstream_record& upstream, run_time_ratio& service, run_overhead& overhead, const run_record& run, std::int64_t clockMs, duration ownDelay)
{
    // What a cold upstream takes longer is not part of its usual speed.
    const double declaredMs = run.expectedMs * coldRatio(upstream, run.since);
    const double estimateMs = withPrior(upstream, upstream.ratio.latest(), service) * declaredMs;
    const auto sample = sampleRunTime(now, run, clockMs, estimateMs, ownDelay);
    overhead.add(now - run.since - std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(sample.value_or(estimateMs))), now);
    if (!sample)
        return;
    upstream.ratio.add(*sample / declaredMs, now);
    service.add(*sample / declaredMs, now);
}

available_upstreams::available_upstreams(upstream_map& upstreams, const service_ratios& ratios, duration ownDelay, time_point now)
{
    for (auto& [id, upstream] : upstreams) {
        if (!isAvailable(upstream, now))
            continue;
        const std::string_view service = upstream.lastReport.service;
        service_group& group = m_groups[service];
        const run_time_ratio& ofService = serviceRatio(ratios, service);
        const double overdue = overdueRatio(upstream, ownDelay, now);
        const double expected = std::max(expectedRatio(upstream, ofService, now), overdue);
        const double latest = std::max(withPrior(upstream, upstream.ratio.latest(), ofService) * coldRatio(upstream, now), overdue);
        const std::size_t startsLeft = maxStartsUnderWay - std::min(maxStartsUnderWay, upstream.startsUnderWay);
        const candidate known { &upstream, isLeaseLongEnough(upstream, now) ? usableCapacity(upstream, now) : resource_vector(), startsLeft, expected, latest };
        group.noteFree(known);
        group.candidates.push_back(known);
    }
}

void available_upstreams::service_group::noteFree(const candidate& known)
{
    if (known.startsLeft == 0)
        return;
    mayStartAny = true;
    largestFreeCapacity.raiseTo(known.freeCapacity);
}

const available_upstreams::service_group* available_upstreams::find(std::string_view service) const
{
    const auto found = m_groups.find(service);
    return found == m_groups.end() ? nullptr : &found->second;
}

upstream_record* available_upstreams::choose(const task_demand& demand) const
{
    const service_group* group = find(demand.service);
    if (!group)
        return nullptr;
    const protocol::job_step& step = *demand.step;
    const bool mayWait = demand.fastestRun <= demand.timeLeft;
    upstream_record* best = nullptr;
    std::tuple<bool, bool, std::int64_t, std::int64_t> bestCost;
    for (const candidate& known : group->candidates) {
        upstream_record& upstream = *known.upstream;
        if (known.startsLeft == 0 || !step.need.fitsIn(known.freeCapacity) || !canRun(upstream, demand))
            continue;
        if (step.maxPerUpstream > 0 && tasksOfStep(upstream, demand) >= step.maxPerUpstream)
            continue;
        const bool isBesideSuspect = hasSuspect(upstream);
        if (demand.isSuspect && isBesideSuspect)
            continue;
        const bool isEndangering = isBesideSuspect || (demand.isSuspect && !upstream.runs.empty());
        const double ratio = withRackPenalty(known.ratio, upstream, step);
        const auto speedClass = static_cast<std::int64_t>(withRackPenalty(known.latestRatio, upstream, step) / speedStep);
        const auto expected = std::chrono::duration<double, std::milli>(ratio * step.estimateMs);
        if (mayWait && expected > demand.timeLeft)
            continue;
        const std::tuple cost(upstream.lastReport.id == demand.avoidUpstream, isEndangering, speedClass, known.freeCapacity.millicores);
        if (best && cost >= bestCost)
            continue;
        best = &upstream;
        bestCost = cost;
    }
    return best;
}

void available_upstreams::reserve(const upstream_record& upstream, const resource_vector& need)
{
    service_group& group = m_groups.at(upstream.lastReport.service);
    group.largestFreeCapacity = {};
    group.mayStartAny = false;
    for (candidate& known : group.candidates) {
        if (known.upstream == &upstream) {
            known.freeCapacity -= need;
            --known.startsLeft;
        }
        group.noteFree(known);
    }
}

bool available_upstreams::hasCapacityFor(std::string_view service, const resource_vector& need) const
{
    const service_group* group = find(service);
    return group && group->mayStartAny && need.fitsIn(group->largestFreeCapacity);
}

bool available_upstreams::fitsAll(const task_demand& demand, std::uint32_t count) const
{
    const service_group* group = find(demand.service);
    if (!group)
        return false;
    const std::int64_t need = demand.step->need.millicores;
    std::uint64_t places = 0;
    for (const candidate& known : group->candidates) {
        if (!canRun(*known.upstream, demand))
            continue;
        if (need <= 0)
            return true;
        places += static_cast<std::uint64_t>(std::max<std::int64_t>(known.freeCapacity.millicores, 0) / need);
    }
    return places >= count;
}

double available_upstreams::fastestRatio(std::string_view service, const protocol::job_step& step) const
{
    const service_group* group = find(service);
    double fastest = 0;
    if (!group)
        return fastest;
    for (const candidate& known : group->candidates) {
        const double ratio = withRackPenalty(known.ratio, *known.upstream, step);
        fastest = fastest == 0 ? ratio : std::min(fastest, ratio);
    }
    return fastest;
}

} // namespace jackdaw::cells::internal
