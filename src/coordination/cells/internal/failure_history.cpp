// Confirmed and unconfirmed crashes by task.
#include "coordination/cells/internal/failure_history.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdaw::cells::internal {
namespace {

    constexpr protocol::duration retention = std::chrono::minutes(2); // callers may resubmit a job for as long
    constexpr protocol::duration silenceRetention = std::chrono::seconds(20); // crashes are confirmed earlier

    std::string_view jobOf(std::string_view task)
    {
        return task.substr(0, task.find('.'));
    }

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

void failure_history::addSilence(time_point now, const std::string& upstream, const std::map<std::string, bool>& tasks)
{
    silence& added = m_silences[upstream];
    added = { now, {}, {}, false };
    for (const auto& [task, mayHaveEnded] : tasks) {
        added.jobs.emplace(jobOf(task));
        if (mayHaveEnded)
            added.endedTasks.insert(task);
        added.hadSuspects = added.hadSuspects || isSuspect(task);
    }
}

// Load pattern: power losses and cuts take many upstreams at once, while tasks that crash theirs do so one by one. Tasks of one
// job may do so at the same time, and so may suspects.
bool failure_history::hadOtherCause(std::string_view upstream, std::string_view task) const
{
    const auto found = m_silences.find(upstream);
    if (found == m_silences.end())
        return false;
    const silence& own = found->second;
    const auto isOther = [&](const auto& item) {
        const auto& [name, other] = item;
        const auto apart = std::max(own.since, other.since) - std::min(own.since, other.since);
        return name != upstream && apart <= sameTime && !other.hadSuspects && !other.jobs.contains(jobOf(task));
    };
    return own.endedTasks.contains(task) || std::count_if(m_silences.begin(), m_silences.end(), isOther) >= static_cast<std::ptrdiff_t>(silentOthers);
}

failure_history::confirmed_losses failure_history::confirm(time_point now, std::string_view upstream)
{
    confirmed_losses losses;
    for (const std::string& task : dismiss(upstream)) {
        if (hadOtherCause(upstream, task)) {
            losses.excused.insert(task);
            continue;
        }
        task_history& history = m_tasks[task];
        ++history.crashes;
        history.until = now + retention;
        losses.counted.insert(task);
    }
    return losses;
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
    std::erase_if(m_silences, [now](const auto& item) { return item.second.since + silenceRetention <= now; });
}

failure_history::task_map::iterator failure_history::erase(task_map::iterator item)
{
    for (auto& [upstream, tasks] : m_lostOn)
        tasks.erase(item->first);
    return m_tasks.erase(item);
}

} // namespace jackdaw::cells::internal
