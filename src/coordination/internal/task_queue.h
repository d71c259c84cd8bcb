// The queued tasks, in the order in which they are started.
#pragma once

#include "coordination/internal/job_record.h"

#include <cstdint>
#include <set>
#include <vector>

namespace jackdaw::coordination {

// One part of one job with queued tasks.
struct queued_part {
    std::uint64_t key = 0; // the lowest is started first
    std::uint64_t sequence = 0;
    job_record* job = nullptr;
    std::uint32_t part = 0;

    friend bool operator<(const queued_part& a, const queued_part& b)
    {
        return std::tuple(a.key, a.sequence, a.part) < std::tuple(b.key, b.sequence, b.part);
    }
};

class task_queue {
public:
    // Lists the part if it has queued tasks and is not listed yet.
    void add(job_record& job, std::uint32_t part);
    void remove(job_record& job, std::uint32_t part);

    // The part to start from next among those that have a free upstream, or null.
    const queued_part* next(const upstream_pool& pool) const;

private:
    struct lane {
        class_mask classes = 0;
        std::set<queued_part> parts;
    };

    lane& laneFor(class_mask classes);

    std::vector<lane> m_lanes; // one for each set of capacity classes that has queued tasks
};

} // namespace jackdaw::coordination
