// The queued tasks in the order in which they are started: teams by ascending virtual time, and the tasks of a team in
// the order that the rules set.
#pragma once

#include "coordination/internal/job_record.h"

#include <cstdint>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace jackdaw::coordination {

// A part with queued tasks.
struct queued_part {
    std::uint64_t key = 0; // lower keys are started first
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
    // Adds the part if it has pending tasks and is not in the queue yet.
    void add(job_record& job, std::uint32_t part, task_order order);
    void remove(job_record& job, std::uint32_t part);

    // The first part among those for which an upstream is free, or null.
    const queued_part* next(const upstream_pool& pool) const;

    // Collects up to the given number of parts for which an upstream is free, round-robin over the teams by ascending
    // virtual time.
    void collect(const upstream_pool& pool, std::size_t count, std::vector<const queued_part*>& into);

    // The last part of the team queue from which next() takes the first.
    const queued_part* last(const upstream_pool& pool) const;

private:
    struct team_queue {
        team_record* team = nullptr;
        std::set<queued_part> parts;
    };

    struct class_queue {
        class_mask classes = 0;
        std::vector<team_queue> teams; // teams with queued tasks in this class queue
    };

    using cursor = std::pair<const team_queue*, std::set<queued_part>::const_iterator>;

    const team_queue* nextTeam(const upstream_pool& pool) const;
    class_queue& queueFor(class_mask classes);
    team_queue& teamQueueIn(class_queue& in, team_record& team);

    std::vector<class_queue> m_classQueues; // one for each set of capacity classes that has queued tasks
    std::vector<cursor> m_cursors; // buffer of collect()
};

} // namespace jackdaw::coordination
