// What one upstream knows of the task ids it has seen. An id is accepted at most once.
#pragma once

#include "protocol/job.h"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jackdaw::upstream {

enum class task_state {
    unknown, // never started, and never will be: the id is blocked by a tombstone
    running,
    finished,
    failed,
    stopped // started, then ended without a result
};

std::string_view toText(task_state state);

struct task_record {
    task_state state = task_state::unknown;
    std::string result; // of a finished task
};

class task_ledger {
public:
    // Records of ended tasks are dropped, oldest first, when there are more than maxRecords.
    explicit task_ledger(std::size_t maxRecords);

    // Null when the id was never seen.
    const task_record* find(const protocol::task_key& key) const;

    // Records the start of a task. False when the id was seen before.
    bool begin(const protocol::task_key& key);

    // Records the end of a running task.
    void end(const protocol::task_key& key, task_state state, std::string result);

    // Leaves a tombstone when the id was never seen; the record after that.
    const task_record& settle(const protocol::task_key& key);

private:
    bool insert(const protocol::task_key& key, task_state state);
    void dropOldest();

    std::size_t m_maxRecords;
    std::unordered_map<protocol::task_key, task_record> m_records;
    std::deque<protocol::task_key> m_order; // the keys of m_records, oldest first
};

} // namespace jackdaw::upstream
