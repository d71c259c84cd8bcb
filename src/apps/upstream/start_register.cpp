// Register of started tasks.
#include "apps/upstream/start_register.h"

#include "protocol/job.h"

namespace jackdaw::upstream {

std::size_t start_register::task_name_hash::operator()(const task_name& name) const noexcept
{
    return std::hash<protocol::task_key>()({ name.submission, name.index, 0 });
}

void start_register::recordStart(const protocol::submission_id& submission, std::uint32_t index)
{
    m_submissions.insert(submission);
    if (!m_started.insert({ submission, index }).second)
        ++m_startedTwice;
}

} // namespace jackdaw::upstream
