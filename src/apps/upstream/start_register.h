// Counts the tasks that were started more than once on any upstream of this process, whatever the attempt.
#pragma once

#include "protocol/submission_id.h"

#include <cstddef>
#include <cstdint>
#include <unordered_set>

namespace jackdaw::upstream {

class start_register {
public:
    void recordStart(const protocol::submission_id& submission, std::uint32_t index);
    // Whether any task of the submission was started.
    bool hasStarted(const protocol::submission_id& submission) const { return m_submissions.contains(submission); }
    std::uint64_t startedTwice() const { return m_startedTwice; }

private:
    struct task_name {
        protocol::submission_id submission;
        std::uint32_t index = 0;
        friend bool operator==(const task_name&, const task_name&) = default;
    };
    struct task_name_hash {
        std::size_t operator()(const task_name& name) const noexcept;
    };

    std::unordered_set<task_name, task_name_hash> m_started; // kept for the life of the process, so that no start is missed
    std::unordered_set<protocol::submission_id> m_submissions; // of the tasks in m_started
    std::uint64_t m_startedTwice = 0;
};

} // namespace jackdaw::upstream
