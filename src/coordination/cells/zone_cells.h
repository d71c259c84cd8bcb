// Divides the upstreams of an availability zone into cells.
//
// Load pattern: zones of more than a hundred upstreams, whose task starts and ends need more processor time than one host has.
// Such a zone has several cells, so that several hosts share the work: one for each 64 upstreams, and more where the zone's hosts
// have little processor. A small zone has a single cell with the zone's name.
#pragma once

#include "protocol/cell_messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::cells {

// Upstreams that one host can serve. At ten tasks a second on each upstream and 0.24 ms per task this takes 0.15 of a processor.
constexpr std::size_t maxUpstreamsPerCell = 64;
constexpr std::uint32_t millicoresOfFullCell = 150;

// Share of its processor that an owner may need on average. The rest is for bursts and for its other duties as an entry host.
constexpr double maxOwnerShare = 0.5;

// More cells than the zone has hosts would not spread the work any further.
constexpr std::uint32_t maxCellsPerZone = 8;

// Separates the zone's name from the cell's number; a zone's name must not contain it.
constexpr char cellSeparator = '#';

std::string cellName(std::string_view zone, std::uint32_t number);
std::string_view zoneOfCell(std::string_view cell);

// Returns the smallest number of cells at which each of the zone's strongest hosts, one for each cell, can serve its part of the
// upstreams; the largest permitted number if there is none. millicores: processor of each entry host of the zone. It is at least 1
// and at most the number of hosts and maxCellsPerZone.
std::uint32_t cellsForHosts(std::size_t upstreams, std::vector<std::uint32_t> millicores);

class zone_cells {
public:
    // This host has heard reports of count upstreams in the zone.
    void onUpstreamCount(std::string_view zone, std::size_t count);

    // Another host divides the zone into count cells.
    void onCellCount(std::string_view zone, std::uint32_t count);

    std::uint32_t cellCount(std::string_view zone) const;
    std::vector<std::string> cellsOf(std::string_view zone) const;

    // The cell of an upstream, or the home cell of a job submitted in the zone, by a hash of the id.
    std::string cellOf(std::string_view zone, std::string_view id) const;

    // Removes upstreams of other cells from those that may run the job's tasks. If there are any, the zone has been divided since, and the
    // owner of the job's cell does not see all of its runs.
    void removeRunsInOtherCells(protocol::job_order& order) const;

private:
    std::map<std::string, std::uint32_t, std::less<>> m_counts; // never decrease, so that all hosts converge on the same number
};

} // namespace jackdaw::cells
