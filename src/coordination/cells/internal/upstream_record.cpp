// Free capacity, lease and clock of one upstream.
#include "coordination/cells/internal/upstream_record.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdaw::cells::internal {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

    constexpr duration transit = milliseconds(20); // how far the clock estimate may be behind

    // The latest local end of a lease of this length, also if the upstream's clock is slow.
    time_point latestEnd(time_point now, duration length)
    {
        return now + duration_cast<duration>(length * (1 + upstream_record::clockDrift)) + transit;
    }

} // namespace

std::int64_t clock_estimate::now(time_point localNow) const
{
    return clockMs + duration_cast<milliseconds>(localNow - at).count();
}

resource_vector upstream_record::freeCapacity() const
{
    resource_vector freeCapacity = lastReport.capacity;
    for (const auto& [name, record] : runs) {
        if (!record.need)
            return {};
        freeCapacity -= *record.need;
    }
    return freeCapacity;
}

bool upstream_record::hasWantedRuns() const
{
    return std::any_of(runs.begin(), runs.end(), [](const auto& item) {
        const run_record& run = item.second;
        return run.state == run_state::starting || (run.state == run_state::running && !run.job.empty());
    });
}

std::ptrdiff_t upstream_record::countRuns(std::string_view task) const
{
    const auto first = runs.lower_bound({ std::string(task), 0 });
    const auto last = std::find_if(first, runs.end(), [task](const auto& item) { return item.first.task != task; });
    return std::distance(first, last);
}

void lease_bound::onPollOver(bool isNotReceived)
{
    if (!isNotReceived)
        extend(m_endByPoll);
    m_endByPoll = {};
}

std::int64_t upstream_record::extendLease(time_point now, duration length)
{
    if (!clock.isKnown())
        return 0;
    noteLease(now, length);
    return clock.now(now) + duration_cast<milliseconds>(length).count();
}

std::int64_t upstream_record::extendLeaseByPoll(time_point now, duration length)
{
    if (!clock.isKnown())
        return 0;
    lease.extendByPoll(latestEnd(now, length));
    return clock.now(now) + duration_cast<milliseconds>(length).count();
}

duration upstream_record::longestLeaseUntil(time_point now, time_point end)
{
    return duration_cast<duration>((end - now - transit) / (1 + clockDrift));
}

void upstream_record::noteLease(time_point now, duration length)
{
    lease.extend(latestEnd(now, length));
}

void upstream_record::restart(const protocol::upstream_report& report, std::uint64_t newLife)
{
    const run_time_ratio learned = ratio;
    auto unanswered = std::move(unansweredStarts);
    const time_point latestLeaseEnd = lease.end();
    const std::uint32_t raises = tokenRaises;
    const auto released = releasedAt;
    *this = upstream_record(report);
    life = newLife;
    ratio = learned;
    unansweredStarts = std::move(unanswered);
    lease.extend(latestLeaseEnd);
    tokenRaises = raises;
    releasedAt = released;
    mayHaveLateCalls = true;
}

} // namespace jackdaw::cells::internal
