// Lanes of queued parts, one for each set of capacity classes, so that a task that waits for a rare upstream does not
// hold up others.
#include "coordination/internal/task_queue.h"

#include <algorithm>

namespace jackdaw::coordination {

void task_queue::add(job_record& job, std::uint32_t part)
{
    job_part& entry = job.parts[part];
    if (entry.listed || entry.pending.empty())
        return;
    entry.listed = true;
    entry.listedKey = job.sequence;
    laneFor(entry.classes).parts.insert({ entry.listedKey, job.sequence, &job, part });
}

void task_queue::remove(job_record& job, std::uint32_t part)
{
    job_part& entry = job.parts[part];
    if (!entry.listed)
        return;
    entry.listed = false;
    lane& from = laneFor(entry.classes);
    from.parts.erase({ entry.listedKey, job.sequence, &job, part });
    if (!from.parts.empty())
        return;
    std::swap(from, m_lanes.back());
    m_lanes.pop_back();
}

const queued_part* task_queue::next(const upstream_pool& pool) const
{
    const queued_part* best = nullptr;
    for (const lane& candidate : m_lanes) {
        if (!pool.hasFree(candidate.classes))
            continue;
        const queued_part& first = *candidate.parts.begin();
        if (!best || first < *best)
            best = &first;
    }
    return best;
}

task_queue::lane& task_queue::laneFor(class_mask classes)
{
    const auto found = std::find_if(m_lanes.begin(), m_lanes.end(), [&](const lane& entry) { return entry.classes == classes; });
    if (found != m_lanes.end())
        return *found;
    m_lanes.push_back({ classes, {} });
    return m_lanes.back();
}

} // namespace jackdaw::coordination
