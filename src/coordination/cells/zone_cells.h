// How the upstreams of an availability zone are divided into cells.
//
// Load pattern: zones of more than a hundred upstreams whose starts and ends take more processor time than one host has. Such
// a zone has several cells, so that several hosts share the work; a small one has a single cell, which is named like the zone.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::cells {

// Upstreams that one host can serve: at ten tasks a second on each, and 0.24 ms for a task, 0.15 of a processor.
constexpr std::size_t maxUpstreamsPerCell = 64;

// More owners than a zone has hosts would share nothing.
constexpr std::uint32_t maxCellsPerZone = 8;

// Stands between a zone's name and the number of a cell; a zone's name must not contain it.
constexpr char cellSeparator = '#';

std::string cellName(std::string_view zone, std::uint32_t number);
std::string_view zoneOfCell(std::string_view cell);

class zone_cells {
public:
    // So many upstreams report in the zone, as far as this host has heard.
    void onUpstreamCount(std::string_view zone, std::size_t count);

    // Another host divides the zone into so many cells.
    void onCellCount(std::string_view zone, std::uint32_t count);

    std::uint32_t cellCount(std::string_view zone) const;
    std::vector<std::string> cellsOf(std::string_view zone) const;

    // The cell that an upstream, or a job of a caller in the zone, belongs to.
    std::string cellOf(std::string_view zone, std::string_view id) const;

private:
    std::map<std::string, std::uint32_t, std::less<>> m_counts; // only go up, so that all hosts come to the same number
};

} // namespace jackdaw::cells
