// Free capacity of other cells, as last gossiped by their owners, for jobs that do not fit in the home cell.
//
// Load pattern: zones whose load peaks at different times, and jobs that need much of one cell at once. Jobs sent to a cell
// reduce its known capacity until its owner's next gossip, so that a burst is spread over several cells. The owners of all full cells
// hear of the same free capacity, so each draws cells in proportion to it: they would otherwise all choose the same cell. A cell
// whose owner has not been heard lately counts as full.
#pragma once

#include "protocol/cell_messages.h"
#include "protocol/time.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::cells {

using protocol::time_point;

class spill_targets {
public:
    using cell_predicate = std::function<bool(std::string_view cell)>;

    // now: when the owner's gossip was received.
    void update(time_point now, const protocol::cell_claim& claim);

    // Returns a cell that fits all tasks of the job now, among those that mayTake allows, and deducts the tasks from its capacity. Cells
    // of the given zone come first; among the others, a cell with twice the free capacity is drawn twice as often. Empty if there is
    // none, for jobs without processor demand, and for jobs with several steps: these stay in their cell, since their later steps need
    // free capacity too.
    std::string reserve(time_point now, std::string_view zone, const protocol::job_order& job, const cell_predicate& mayTake);

private:
    struct known_cell {
        std::vector<protocol::service_free_capacity> rooms;
        time_point heardAt;
    };
    std::map<std::string, known_cell, std::less<>> m_cells;
};

} // namespace jackdaw::cells
