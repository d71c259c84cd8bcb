// Age and plausibility of owners' delays, and the comparison between cells.
#include "coordination/cells/owner_delays.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jackdaw::cells {
namespace {

    using std::chrono::milliseconds;

    constexpr duration maxPlausibleDelay = std::chrono::seconds(60); // callers wait 1.5 s; such a host would count as silent
    constexpr duration maxAge = std::chrono::seconds(1); // the silence limit of gossip
    constexpr int objectiveShare = 5; // a delay over a fifth of the objective is high
    constexpr int delayRatio = 2; // a move is worth its cost only to an owner with at most half of the delay

    constexpr double averagingSeconds = 0.5; // half of the age at which a delay counts as none

    // Only jobs of one step are sent to other cells.
    duration objectiveOf(const protocol::job_order& job)
    {
        const std::chrono::duration<double, std::milli> scaled(job.steps.front().estimateMs * job.slackFactor);
        return std::chrono::duration_cast<duration>(scaled) + milliseconds(job.targetMs);
    }

} // namespace

void loop_delay::onTimer(time_point now, time_point due)
{
    const double sampleMs = std::max(std::chrono::duration<double, std::milli>(now - due).count(), 0.0);
    const double sinceLast = std::chrono::duration<double>(now - m_lastAt).count();
    m_averageMs += (sampleMs - m_averageMs) * (1 - std::exp(-sinceLast / averagingSeconds));
    m_lastAt = now;
}

std::uint32_t loop_delay::averageMs() const
{
    return static_cast<std::uint32_t>(m_averageMs);
}

bool owner_delays::onGossip(time_point now, std::string_view host, std::uint32_t delayMs)
{
    const duration delay = milliseconds(delayMs);
    if (delay > maxPlausibleDelay)
        return false;
    std::erase_if(m_delays, [&](const auto& item) { return item.first == host || now - item.second.heardAt > maxAge; });
    if (delay > duration::zero())
        m_delays[std::string(host)] = { delay, now };
    return true;
}

duration owner_delays::delayOf(time_point now, std::string_view host) const
{
    const auto found = m_delays.find(host);
    return found == m_delays.end() || now - found->second.heardAt > maxAge ? duration::zero() : found->second.delay;
}

bool isDelayHigh(duration delay, duration objective)
{
    return delay * objectiveShare > objective;
}

std::string findLessDelayedCell(time_point now, const protocol::job_order& job, duration homeDelay, spill_targets& targets, const std::function<std::optional<cell_delay>(std::string_view cell)>& delayOfCell)
{
    if (job.steps.size() != 1 || !isDelayHigh(homeDelay, objectiveOf(job)))
        return {};
    const auto mayTake = [&](std::string_view cell, bool isOwnZone) {
        const std::optional<cell_delay> known = delayOfCell(cell);
        return known && known->isOwnZone == isOwnZone && known->ownerDelay * delayRatio <= homeDelay;
    };
    std::string cell = targets.reserve(now, {}, job, [&](std::string_view name) { return mayTake(name, true); });
    return cell.empty() ? targets.reserve(now, {}, job, [&](std::string_view name) { return mayTake(name, false); }) : cell;
}

} // namespace jackdaw::cells
