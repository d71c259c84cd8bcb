// Free capacity of other cells, as last gossiped by their owners, for jobs that do not fit in the home cell.
//
// Load pattern: zones whose load peaks at different times, and jobs that need much of one cell at once. Jobs sent to a cell
// reduce its known capacity until its owner's next gossip, so that a burst is spread over several cells.
#pragma once

#include "protocol/cell_messages.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::cells {

class spill_targets {
public:
    using cell_predicate = std::function<bool(std::string_view cell)>;

    void update(const protocol::cell_claim& claim);

    // Returns the cell with the most free capacity that fits all tasks of the job now, among those that mayTake allows, and
    // deducts the tasks from its capacity. Empty if there is none, for jobs without processor demand, and for jobs with
    // several steps: these stay in their cell, since their later steps need free capacity too.
    std::string reserve(const protocol::job_order& job, const cell_predicate& mayTake);

private:
    std::map<std::string, std::vector<protocol::service_free_capacity>, std::less<>> m_rooms; // by cell
};

} // namespace jackdaw::cells
