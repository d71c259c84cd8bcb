// Fits the tasks of a job into the free capacity of other cells.
#include "coordination/cells/spill_targets.h"

#include <algorithm>
#include <cstdint>

namespace jackdaw::cells {
namespace {

    // Deducts the need of all tasks from the upstreams' free capacity. Returns false and changes nothing if they do not all fit.
    bool deductTasks(std::vector<std::uint32_t>& millicores, std::uint32_t need, std::uint32_t tasks)
    {
        std::vector<std::uint32_t> left = millicores;
        std::uint32_t placed = 0;
        for (std::uint32_t& free : left) {
            while (free >= need && placed < tasks) {
                free -= need;
                ++placed;
            }
        }
        if (placed < tasks)
            return false;
        millicores = std::move(left);
        return true;
    }

    std::uint64_t sumOf(const std::vector<std::uint32_t>& millicores)
    {
        std::uint64_t sum = 0;
        for (const std::uint32_t free : millicores)
            sum += free;
        return sum;
    }

} // namespace

void spill_targets::update(const protocol::cell_claim& claim)
{
    m_rooms[claim.cell] = claim.freeCapacity;
}

std::string spill_targets::reserve(const protocol::job_order& job, const cell_predicate& mayTake)
{
    const protocol::job_step& step = job.steps.front();
    if (job.steps.size() != 1 || step.need.millicores <= 0)
        return {};
    std::vector<std::pair<std::uint64_t, std::string>> candidates; // total free capacity and cell
    for (const auto& [cell, rooms] : m_rooms) {
        const auto room = std::find_if(rooms.begin(), rooms.end(), [&](const protocol::service_free_capacity& known) { return known.service == job.service; });
        if (room != rooms.end() && mayTake(cell))
            candidates.emplace_back(sumOf(room->millicores), cell);
    }
    std::sort(candidates.rbegin(), candidates.rend());
    for (const auto& [sum, cell] : candidates) {
        std::vector<protocol::service_free_capacity>& rooms = m_rooms.at(cell);
        const auto room = std::find_if(rooms.begin(), rooms.end(), [&](const protocol::service_free_capacity& known) { return known.service == job.service; });
        if (deductTasks(room->millicores, static_cast<std::uint32_t>(step.need.millicores), step.count))
            return cell;
    }
    return {};
}

} // namespace jackdaw::cells
