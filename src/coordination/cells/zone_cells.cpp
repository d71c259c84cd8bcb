// The number of cells of a zone, and the hash that assigns upstreams and jobs to them.
#include "coordination/cells/zone_cells.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>

namespace jackdaw::cells {

std::string cellName(std::string_view zone, std::uint32_t number)
{
    std::string name(zone);
    return number == 0 ? name : name + cellSeparator + std::to_string(number);
}

std::string_view zoneOfCell(std::string_view cell)
{
    return cell.substr(0, cell.find(cellSeparator));
}

std::uint32_t cellsForHosts(std::size_t upstreams, std::vector<std::uint32_t> millicores)
{
    std::sort(millicores.begin(), millicores.end(), std::greater<>());
    const auto most = static_cast<std::uint32_t>(std::min<std::size_t>(millicores.size(), maxCellsPerZone));
    const double needed = static_cast<double>(upstreams) * millicoresOfFullCell / static_cast<double>(maxUpstreamsPerCell);
    std::uint32_t count = 1;
    while (count < most && needed / count > maxOwnerShare * millicores[count - 1])
        ++count;
    return count;
}

void zone_cells::onUpstreamCount(std::string_view zone, std::size_t count)
{
    onCellCount(zone, static_cast<std::uint32_t>((count + maxUpstreamsPerCell - 1) / maxUpstreamsPerCell));
}

void zone_cells::onCellCount(std::string_view zone, std::uint32_t count)
{
    std::uint32_t& known = m_counts.try_emplace(std::string(zone), 1).first->second;
    known = std::max(known, std::min(count, maxCellsPerZone));
}

std::uint32_t zone_cells::cellCount(std::string_view zone) const
{
    const auto found = m_counts.find(zone);
    return found == m_counts.end() ? 1 : found->second;
}

std::vector<std::string> zone_cells::cellsOf(std::string_view zone) const
{
    std::vector<std::string> out;
    for (std::uint32_t number = 0; number < cellCount(zone); ++number)
        out.push_back(cellName(zone, number));
    return out;
}

std::string zone_cells::cellOf(std::string_view zone, std::string_view id) const
{
    return cellName(zone, static_cast<std::uint32_t>(XXH3_64bits(id.data(), id.size()) % cellCount(zone)));
}

void zone_cells::removeRunsInOtherCells(protocol::job_order& order) const
{
    const auto removed = std::erase_if(order.runsOn, [&](const protocol::upstream_report& report) { return cellOf(report.zone, report.id) != order.cell; });
    if (removed == 0)
        return;
    order.areRunsKnown = false;
    order.earlierCellCount = 0;
}

} // namespace jackdaw::cells
