// Records of task ids.
#include "apps/upstream/task_ledger.h"

namespace jackdaw::upstream {

using protocol::task_key;

std::string_view toText(task_state state)
{
    switch (state) {
    case task_state::running:
        return "running";
    case task_state::finished:
        return "finished";
    case task_state::failed:
        return "failed";
    case task_state::stopped:
        return "stopped";
    case task_state::unknown:
        break;
    }
    return "unknown";
}

task_ledger::task_ledger(std::size_t maxRecords)
    : m_maxRecords(maxRecords)
{
}

const task_record* task_ledger::find(const task_key& key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

bool task_ledger::begin(const task_key& key)
{
    return insert(key, task_state::running);
}

void task_ledger::end(const task_key& key, task_state state, std::string result)
{
    const auto found = m_records.find(key);
    if (found == m_records.end() || found->second.state != task_state::running)
        return;
    found->second = { state, std::move(result) };
}

const task_record& task_ledger::settle(const task_key& key)
{
    insert(key, task_state::unknown);
    return m_records.find(key)->second;
}

bool task_ledger::insert(const task_key& key, task_state state)
{
    if (!m_records.try_emplace(key, task_record { state, {} }).second)
        return false;
    m_order.push_back(key);
    if (m_records.size() > m_maxRecords)
        dropOldest();
    return true;
}

void task_ledger::dropOldest()
{
    // Running tasks are kept: they go to the end of the order.
    for (std::size_t looked = 0; looked + 1 < m_order.size(); ++looked) {
        const task_key oldest = m_order.front();
        m_order.pop_front();
        if (m_records.at(oldest).state != task_state::running) {
            m_records.erase(oldest);
            return;
        }
        m_order.push_back(oldest);
    }
}

} // namespace jackdaw::upstream
