// Confirmed and unconfirmed crashes by task.
#include "coordination/cells/internal/failure_history.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdaw::cells::internal {
namespace {

    constexpr protocol::duration retention = std::chrono::minutes(2); // callers may resubmit a job for as long

} // namespace

void failure_history::addLoss(time_point now, const std::string& task, const std::string& upstream, bool isLatest)
{
    task_history& history = m_tasks[task];
    if (m_lostOn[upstream].emplace(task, isLatest).second) {
        ++history.unconfirmed;
        history.unconfirmedLatest += isLatest ? 1 : 0;
    }
    history.until = now + retention;
}

void failure_history::addCrashes(time_point now, const std::string& task, std::size_t crashes)
{
    if (crashes == 0)
        return;
    task_history& history = m_tasks[task];
    history.crashes = std::max(history.crashes, crashes);
    history.until = now + retention;
}

std::set<std::string, std::less<>> failure_history::confirm(time_point now, std::string_view upstream)
{
    auto tasks = dismiss(upstream);
    for (const std::string& task : tasks) {
        task_history& history = m_tasks[task];
        ++history.crashes;
        history.until = now + retention;
    }
    return tasks;
}

std::set<std::string, std::less<>> failure_history::dismiss(std::string_view upstream)
{
    const auto found = m_lostOn.find(upstream);
    if (found == m_lostOn.end())
        return {};
    std::set<std::string, std::less<>> tasks;
    for (const auto& [task, isLatest] : found->second) {
        task_history& history = m_tasks[task];
        --history.unconfirmed;
        history.unconfirmedLatest -= isLatest ? 1 : 0;
        tasks.insert(task);
    }
    m_lostOn.erase(found);
    return tasks;
}

const failure_history::task_history* failure_history::find(std::string_view task) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() ? nullptr : &found->second;
}

std::size_t failure_history::crashes(std::string_view task) const
{
    const task_history* history = find(task);
    return history ? history->crashes : 0;
}

bool failure_history::isSuspect(std::string_view task) const
{
    const task_history* history = find(task);
    return history && history->crashes + history->unconfirmed > 0;
}

bool failure_history::isUndecided(std::string_view task) const
{
    const task_history* history = find(task);
    return history && history->unconfirmed > 0 && (history->unconfirmedLatest > 0 || history->crashes + history->unconfirmed >= crashesToGiveUp);
}

void failure_history::forget(std::string_view prefix)
{
    auto item = m_tasks.lower_bound(prefix);
    while (item != m_tasks.end() && item->first.starts_with(prefix))
        item = erase(item);
}

void failure_history::removeExpired(time_point now)
{
    for (auto item = m_tasks.begin(); item != m_tasks.end();)
        item = item->second.until <= now ? erase(item) : std::next(item);
}

failure_history::task_map::iterator failure_history::erase(task_map::iterator item)
{
    for (auto& [upstream, tasks] : m_lostOn)
        tasks.erase(item->first);
    return m_tasks.erase(item);
}

} // namespace jackdaw::cells::internal
