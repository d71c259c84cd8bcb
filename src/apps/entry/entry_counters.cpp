// The entry host's metrics.
#include "apps/entry/entry_counters.h"

#include <string>
#include <string_view>

namespace jackdaw::entry {

namespace {

    constexpr std::array<std::string_view, static_cast<std::size_t>(message_purpose::count)> purposeNames {
        "task", "job", "retry", "settle", "stop", "forward", "claim", "heartbeat", "lease", "announce", "config"
    };

    state::counter* addJobs(state::metrics& page, std::string_view state)
    {
        return &page.addCounter("jackdaw_jobs_total", "Answers to jobs by their state.", { { "state", std::string(state) } });
    }

} // namespace

entry_counters::entry_counters(state::metrics& page)
    : m_complete(addJobs(page, "complete"))
    , m_failed(addJobs(page, "failed"))
    , m_refused(addJobs(page, "refused"))
    , m_starts(&page.addCounter("jackdaw_starts_total", "Tasks sent to an upstream."))
    , m_jobTimes(&page.addHistogram("jackdaw_job_seconds", "Time from a job's arrival to its answer."))
{
    for (std::size_t i = 0; i < purposes; ++i) {
        m_messages[i] = &page.addCounter("jackdaw_messages_total", "Messages by what they were sent for; a request and its answer are two.",
            { { "purpose", std::string(purposeNames[i]) } });
    }
    for (const protocol::error_answer& row : protocol::errorTable()) {
        m_refusals[static_cast<std::size_t>(row.kind)]
            = &page.addCounter("jackdaw_refusals_total", "Answers that are failures, by error kind.", { { "kind", std::string(row.name) } });
    }
}

void entry_counters::countAnswer(const protocol::job_answer& answer)
{
    const auto* failure = std::get_if<protocol::job_failure>(&answer);
    if (!failure) {
        m_complete->add();
        return;
    }
    m_refusals[static_cast<std::size_t>(failure->kind)]->add();
    const bool isProvedNotRun = protocol::errorAnswer(failure->kind).ran == protocol::ran_state::no;
    (isProvedNotRun ? m_refused : m_failed)->add();
}

} // namespace jackdaw::entry
