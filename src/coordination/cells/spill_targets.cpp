// Fits the tasks of a job into the free capacity of other cells.
#include "coordination/cells/spill_targets.h"

#include "coordination/cells/zone_cells.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <tuple>

namespace jackdaw::cells {
namespace {

    // Owners send gossip every 150 ms; after 1 s of silence a cell has no owner.
    constexpr protocol::duration maxGossipAge = std::chrono::seconds(1);

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

    // Draws the cell's place among the cells for the job: the lowest of several belongs to each with a probability in proportion to
    // its weight (minimum of exponential distributions). A resent job draws the same place.
    double drawPlace(std::string_view job, std::string_view cell, std::uint64_t weight)
    {
        const std::uint64_t hash = XXH3_64bits_withSeed(cell.data(), cell.size(), XXH3_64bits(job.data(), job.size()));
        const double draw = (static_cast<double>(hash >> 11) + 1) * 0x1p-53; // above 0, at most 1
        return -std::log(draw) / std::max(static_cast<double>(weight), 1.0);
    }

} // namespace

void spill_targets::update(time_point now, const protocol::cell_claim& claim)
{
    m_cells[claim.cell] = { claim.freeCapacity, now };
}

std::string spill_targets::reserve(time_point now, std::string_view zone, const protocol::job_order& job, const cell_predicate& mayTake)
{
    const protocol::job_step& step = job.steps.front();
    if (job.steps.size() != 1 || step.need.millicores <= 0)
        return {};
    std::vector<std::tuple<bool, double, std::string>> candidates; // in the order in which they are tried
    for (const auto& [cell, known] : m_cells) {
        if (now - known.heardAt > maxGossipAge)
            continue;
        const auto& rooms = known.rooms;
        const auto room = std::find_if(rooms.begin(), rooms.end(), [&](const protocol::service_free_capacity& free) { return free.service == job.service; });
        if (room != rooms.end() && mayTake(cell))
            candidates.emplace_back(zoneOfCell(cell) != zone, drawPlace(job.id, cell, sumOf(room->millicores)), cell);
    }
    std::sort(candidates.begin(), candidates.end());
    for (const auto& [isOtherZone, place, cell] : candidates) {
        std::vector<protocol::service_free_capacity>& rooms = m_cells.at(cell).rooms;
        const auto room = std::find_if(rooms.begin(), rooms.end(), [&](const protocol::service_free_capacity& free) { return free.service == job.service; });
        if (deductTasks(room->millicores, static_cast<std::uint32_t>(step.need.millicores), step.count))
            return cell;
    }
    return {};
}

} // namespace jackdaw::cells
