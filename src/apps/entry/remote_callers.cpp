// Jobs from other entry hosts.
#include "apps/entry/remote_callers.h"

namespace jackdaw::entry {

remote_callers::remote_callers(job_service& jobs, job_forwarder::send_hook send)
    : m_jobs(jobs)
    , m_send(std::move(send))
{
}

void remote_callers::onForward(std::string_view host, std::uint64_t incarnation, protocol::job_forward message)
{
    const remote_request key { std::string(host), incarnation, message.requestId };
    if (!m_waiting.try_emplace(key).second)
        return;
    const protocol::submission_id submission = message.job.submission;
    const auto ticket = m_jobs.submit(std::move(message.job), message.isDetached, message.hops, [this, key, submission](const answer_ptr& answer) {
        m_waiting.erase(key);
        m_send(key.host, protocol::job_forward_answer { key.request, submission, *answer });
    });
    // The answer may have come already.
    const auto waiting = m_waiting.find(key);
    if (waiting != m_waiting.end())
        waiting->second = ticket;
}

void remote_callers::onWithdrawal(std::string_view host, std::uint64_t incarnation, const protocol::job_withdrawal& message)
{
    const auto found = m_waiting.find({ std::string(host), incarnation, message.requestId });
    if (found == m_waiting.end())
        return;
    const job_service::ticket ticket = found->second;
    if (message.cancelsJob) {
        m_jobs.cancel(ticket.submission);
        return;
    }
    m_waiting.erase(found);
    m_jobs.abandon(ticket);
}

} // namespace jackdaw::entry
