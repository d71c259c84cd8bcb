// The queued tasks, in the order in which they are started: the team with the lowest virtual time first, and inside a
// team the order that the rules name.
#pragma once

#include "coordination/internal/job_record.h"

#include <cstdint>
#include <set>
#include <tuple>
#include <utility>
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
    void add(job_record& job, std::uint32_t part, task_order order);
    void remove(job_record& job, std::uint32_t part);

    // The part to start from next among those that have a free upstream, or null.
    const queued_part* next(const upstream_pool& pool) const;

    // Up to the given number of such parts, in turns over the teams, those of the lowest virtual time first.
    void collect(const upstream_pool& pool, std::size_t count, std::vector<const queued_part*>& into);

    // The part that the order puts last, in the list that next() takes from.
    const queued_part* last(const upstream_pool& pool) const;

private:
    struct team_queue {
        team_record* team = nullptr;
        std::set<queued_part> parts;
    };

    struct class_queue {
        class_mask classes = 0;
        std::vector<team_queue> teams; // those with queued tasks in this lane
    };

    using cursor = std::pair<const team_queue*, std::set<queued_part>::const_iterator>;

    const team_queue* nextTeam(const upstream_pool& pool) const;
    class_queue& queueFor(class_mask classes);
    team_queue& teamQueueIn(class_queue& in, team_record& team);

    std::vector<class_queue> m_classQueues; // one for each set of capacity classes that has queued tasks
    std::vector<cursor> m_cursors; // of the running collect()
};

} // namespace jackdaw::coordination
