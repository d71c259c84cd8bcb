// Keeps a queue for each set of capacity classes, so that a task that waits for a scarce class of upstreams does not
// block others.
#include "coordination/internal/task_queue.h"

#include <algorithm>

namespace jackdaw::coordination {
namespace {

    std::uint64_t keyOf(const job_record& job, task_order order)
    {
        switch (order) {
        case task_order::earliest_deadline:
            return static_cast<std::uint64_t>(job.deadlineAt.time_since_epoch().count());
        case task_order::fewest_remaining:
            return static_cast<std::uint64_t>(job.queuedWork.count());
        case task_order::fifo:
            break;
        }
        return job.sequence;
    }

} // namespace

void task_queue::add(job_record& job, std::uint32_t part, task_order order)
{
    job_part& entry = job.parts[part];
    if (entry.enqueued || entry.pending.empty())
        return;
    entry.enqueued = true;
    entry.queueKey = keyOf(job, order);
    teamQueueIn(queueFor(entry.classes), *job.team).parts.insert({ entry.queueKey, job.sequence, &job, part });
}

void task_queue::remove(job_record& job, std::uint32_t part)
{
    job_part& entry = job.parts[part];
    if (!entry.enqueued)
        return;
    entry.enqueued = false;
    class_queue& from = queueFor(entry.classes);
    team_queue& queue = teamQueueIn(from, *job.team);
    queue.parts.erase({ entry.queueKey, job.sequence, &job, part });
    if (!queue.parts.empty())
        return;
    std::swap(queue, from.teams.back());
    from.teams.pop_back();
    if (!from.teams.empty())
        return;
    std::swap(from, m_classQueues.back());
    m_classQueues.pop_back();
}

const task_queue::team_queue* task_queue::nextTeam(const upstream_pool& pool) const
{
    const team_queue* best = nullptr;
    for (const class_queue& candidate : m_classQueues) {
        if (!pool.hasFree(candidate.classes))
            continue;
        for (const team_queue& queue : candidate.teams) {
            if (!best || queue.team->virtualTime < best->team->virtualTime)
                best = &queue;
        }
    }
    return best;
}

const queued_part* task_queue::next(const upstream_pool& pool) const
{
    const team_queue* queue = nextTeam(pool);
    return queue ? &*queue->parts.begin() : nullptr;
}

const queued_part* task_queue::last(const upstream_pool& pool) const
{
    const team_queue* queue = nextTeam(pool);
    return queue ? &*queue->parts.rbegin() : nullptr;
}

void task_queue::collect(const upstream_pool& pool, std::size_t count, std::vector<const queued_part*>& into)
{
    m_cursors.clear();
    for (const class_queue& candidate : m_classQueues) {
        if (!pool.hasFree(candidate.classes))
            continue;
        for (const team_queue& queue : candidate.teams)
            m_cursors.emplace_back(&queue, queue.parts.begin());
    }
    std::sort(m_cursors.begin(), m_cursors.end(), [](const cursor& a, const cursor& b) { return a.first->team->virtualTime < b.first->team->virtualTime; });
    into.clear();
    for (bool more = true; more && into.size() < count;) {
        more = false;
        for (auto& [queue, part] : m_cursors) {
            if (part == queue->parts.end() || into.size() >= count)
                continue;
            into.push_back(&*part++);
            more = true;
        }
    }
}

task_queue::class_queue& task_queue::queueFor(class_mask classes)
{
    const auto found = std::find_if(m_classQueues.begin(), m_classQueues.end(), [&](const class_queue& entry) { return entry.classes == classes; });
    if (found != m_classQueues.end())
        return *found;
    m_classQueues.push_back({ classes, {} });
    return m_classQueues.back();
}

task_queue::team_queue& task_queue::teamQueueIn(class_queue& in, team_record& team)
{
    const auto found = std::find_if(in.teams.begin(), in.teams.end(), [&](const team_queue& entry) { return entry.team == &team; });
    if (found != in.teams.end())
        return *found;
    in.teams.push_back({ &team, {} });
    return in.teams.back();
}

} // namespace jackdaw::coordination
