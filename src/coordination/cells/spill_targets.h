// Room in other cells, as their owners last said it, for jobs that the own cell has no room for.
//
// Load pattern: zones whose load rises and falls at different times, and jobs that want much of one cell at once. What is sent to
// a cell is taken off its room until its owner speaks again, so that a burst does not all go to the same place.
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

    // The cell with the most room that holds all tasks of the job now, among those that may take it; empty when there is none.
    // Jobs of several steps stay where they are, since their later steps want room too.
    std::string reserve(const protocol::job_order& job, const cell_predicate& mayTake);

private:
    std::map<std::string, std::vector<protocol::service_free_capacity>, std::less<>> m_rooms; // by cell
};

} // namespace jackdaw::cells
