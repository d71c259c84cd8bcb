// Chooses the cell of another zone for a job whose own zone is evacuated.
//
// Load pattern: the whole load of a zone moves at once, several hundred jobs a second, to zones that have load of their own. Jobs are
// spread over all cells in proportion to their free capacity. The cell with the most would be overrun within one gossip interval.
#pragma once

#include "protocol/cell_messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::cells {

class evacuation_targets {
public:
    using cell_predicate = std::function<bool(std::string_view cell)>;

    // Free capacity of a cell, as last gossiped by its owner. Replaces what was known, with the jobs deducted since.
    void update(std::string_view cell, const std::vector<protocol::service_free_capacity>& freeCapacity);

    // Returns one of the cells that mayTake allows and deducts the job's first tasks from its free capacity; empty if there is no such
    // cell. Cells that have upstreams of the job's service are preferred. While no cell has free capacity they get equal shares.
    // The choice depends on the job's id, so that a resubmission is likely to find the cell that has the job.
    std::string choose(const protocol::job_order& job, const cell_predicate& mayTake);

private:
    struct cell_capacity {
        std::uint64_t known = 0; // millicores
        std::uint64_t deducted = 0;
    };

    static double weightOf(const cell_capacity& capacity);

    std::map<std::string, std::map<std::string, cell_capacity, std::less<>>, std::less<>> m_cells; // by cell and service
};

} // namespace jackdaw::cells
