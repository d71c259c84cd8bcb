// Tests of the division of zones into cells.
#include "coordination/cells/zone_cells.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace jackdaw::cells;

TEST_CASE("a zone that one host can serve has one cell with the zone's name")
{
    zone_cells cells;
    CHECK(cells.cellsOf("a") == std::vector<std::string> { "a" });
    cells.onUpstreamCount("a", maxUpstreamsPerCell);
    CHECK(cells.cellsOf("a") == std::vector<std::string> { "a" });
    CHECK(cells.cellOf("a", "u1") == "a");
}

TEST_CASE("a large zone's upstreams are distributed about evenly over its cells")
{
    constexpr int upstreams = 117;
    zone_cells cells;
    cells.onUpstreamCount("a", upstreams);
    REQUIRE(cells.cellsOf("a") == std::vector<std::string> { "a", "a#1" });
    std::map<std::string, int> counts;
    for (int i = 0; i < upstreams; ++i)
        ++counts[cells.cellOf("a", "u" + std::to_string(i))];
    CHECK(counts.size() == 2);
    CHECK(counts["a"] > upstreams / 3);
    CHECK(counts["a#1"] > upstreams / 3);
    CHECK(zoneOfCell("a#1") == "a");
    CHECK(zoneOfCell("a") == "a");
}

TEST_CASE("weak hosts don't get larger cells than they can serve, and strong hosts keep theirs")
{
    const std::vector<std::uint32_t> weak(12, 120);
    CHECK(cellsForHosts(117, weak) == 5);
    CHECK(cellsForHosts(117, { 90, 90, 90, 300, 90, 90, 300, 90, 90 }) == 2);
    CHECK(cellsForHosts(117, { 300, 90, 300, 90, 300, 90 }) == 2);
    CHECK(cellsForHosts(16, { 190, 250, 620 }) == 1);
}

TEST_CASE("the count of cells is limited by the hosts and by the most cells of a zone")
{
    CHECK(cellsForHosts(117, {}) == 1);
    CHECK(cellsForHosts(117, { 90, 90, 90 }) == 3);
    CHECK(cellsForHosts(5000, std::vector<std::uint32_t>(40, 90)) == maxCellsPerZone);
    CHECK(cellsForHosts(0, { 0, 0 }) == 1);
}

TEST_CASE("hosts with different counts converge on the larger one, which never decreases")
{
    zone_cells first;
    zone_cells second;
    first.onUpstreamCount("a", 200);
    second.onUpstreamCount("a", 30);
    second.onCellCount("a", first.cellCount("a"));
    CHECK(second.cellCount("a") == 4);
    first.onUpstreamCount("a", 10);
    first.onCellCount("a", 1);
    CHECK(first.cellCount("a") == 4);
    first.onCellCount("a", 1000);
    CHECK(first.cellCount("a") == maxCellsPerZone);
    CHECK(first.cellCount("b") == 1);
}
