// From a caller's request to the one answer of its job.
#include "apps/entry/job_service.h"

#include "state/log.h"

#include <deque>
#include <string>
#include <utility>

namespace jackdaw::entry {

using protocol::error_kind;
using protocol::job_answer;
using protocol::job_failure;
using protocol::job_request;
using protocol::submission_id;
using protocol::time_point;
using protocol::toText;
using state::log_level;
using state::logEvent;

namespace {

    answer_ptr failure(error_kind kind, std::string detail = {})
    {
        return std::make_shared<const job_answer>(job_failure { kind, std::move(detail), {} });
    }

    void logAnswer(const submission_id& submission, const job_answer& answer)
    {
        if (!state::isLogged(log_level::info))
            return;
        const auto* failed = std::get_if<job_failure>(&answer);
        if (!failed)
            return logEvent(log_level::info, "job_complete", { { "submission", toText(submission) } });
        const protocol::error_answer& row = protocol::answerFor(failed->kind);
        logEvent(log_level::info, "job_failed",
            { { "submission", toText(submission) }, { "error", std::string(row.name) }, { "ran", std::string(toText(row.ran)) }, { "detail", failed->detail } });
    }

    // An open job that lost its last caller.
    struct abandoned_job {
        time_point cancelAt;
        submission_id submission;
    };

} // namespace

class job_service::impl {
public:
    const job_service_settings settings;
    dispatch_driver& dispatch;
    job_registry& registry;
    entry_counters& counters;
    const protocol::unix_milliseconds knownSince = protocol::unixNow(); // earlier submissions may have run before a restart
    std::deque<abandoned_job> abandoned; // in order of time
    bool isRefusing = false;

    // Why a submission that is not known here can't be taken; null when it can.
    answer_ptr reasonAgainst(const job_request& job) const
    {
        const auto created = protocol::creationTime(job.submission);
        const auto now = protocol::unixNow();
        if (created > now + settings.maxClockSkew)
            return failure(error_kind::malformed_request, "the submission id's time stamp lies in the future");
        if (isRefusing)
            return failure(error_kind::draining);
        const bool mayBeForgotten = created < knownSince || created + settings.recordRetention < now + settings.maxClockSkew;
        if (mayBeForgotten && !job.firstAttempt)
            return failure(error_kind::claim_too_old);
        return nullptr;
    }

    // What can be told at once about a submission that this host knows.
    answer_ptr knownAnswer(const registry_view& known) const
    {
        if (known.state == registry_state::answered)
            return known.answer;
        if (known.state == registry_state::forgotten)
            return failure(error_kind::claim_too_old, "the answer is no longer stored");
        if (known.state == registry_state::mismatch)
            return failure(error_kind::submission_mismatch);
        return nullptr;
    }

    void open(job_request job)
    {
        const submission_id submission = job.submission;
        logEvent(log_level::debug, "job_submitted",
            { { "submission", toText(submission) }, { "client", job.client }, { "team", job.team }, { "tasks", std::to_string(job.tasks.size()) } });
        if (auto refusal = dispatch.submit(std::move(job)))
            close(submission, std::move(*refusal));
    }

    void close(const submission_id& submission, job_answer answer)
    {
        logAnswer(submission, answer);
        counters.countAnswer(answer);
        registry.answer(protocol::steadyNow(), submission, std::move(answer));
    }

    job_service::ticket wait(const submission_id& submission, bool isDetached, answer_hook onAnswer)
    {
        if (isDetached)
            registry.keepWithoutWaiters(submission);
        return { submission, registry.wait(submission, std::move(onAnswer)) };
    }

    ticket refuse(const submission_id& submission, const answer_ptr& answer, const answer_hook& onAnswer) const
    {
        onAnswer(answer);
        return { submission, 0 };
    }
};

job_service::job_service(job_service_settings settings, dispatch_driver& dispatch, job_registry& registry, entry_counters& counters)
    : m_impl(new impl { settings, dispatch, registry, counters, protocol::unixNow(), {}, false })
{
}

job_service::~job_service() = default;

job_service::ticket job_service::submit(job_request job, bool isDetached, answer_hook onAnswer)
{
    const submission_id submission = job.submission;
    const registry_view known = m_impl->registry.find(submission, job.bodyHash);
    if (const answer_ptr answer = m_impl->knownAnswer(known))
        return m_impl->refuse(submission, answer, onAnswer);
    if (known.state == registry_state::open)
        return m_impl->wait(submission, isDetached, std::move(onAnswer));
    if (const answer_ptr refusal = known.state == registry_state::unknown ? m_impl->reasonAgainst(job) : nullptr) {
        logAnswer(submission, *refusal);
        m_impl->counters.countAnswer(*refusal);
        return m_impl->refuse(submission, refusal, onAnswer);
    }
    m_impl->registry.open(submission, job.bodyHash);
    const ticket caller = m_impl->wait(submission, isDetached, std::move(onAnswer));
    m_impl->open(std::move(job));
    return caller;
}

void job_service::abandon(const ticket& caller)
{
    m_impl->registry.stopWaiting(caller.submission, caller.waiter);
    if (m_impl->registry.isAbandoned(caller.submission))
        m_impl->abandoned.push_back({ protocol::steadyNow() + m_impl->settings.abandonAfter, caller.submission });
}

registry_view job_service::find(const submission_id& submission) const
{
    return m_impl->registry.find(submission);
}

bool job_service::cancel(const submission_id& submission)
{
    if (m_impl->registry.find(submission).state != registry_state::open)
        return false;
    logEvent(log_level::info, "job_cancelled", { { "submission", toText(submission) } });
    m_impl->dispatch.cancel(submission);
    return true;
}

void job_service::onAnswer(coordination::answer_job action)
{
    m_impl->close(action.submission, std::move(action.answer));
}

void job_service::refuseNewJobs()
{
    m_impl->isRefusing = true;
    m_impl->dispatch.drain();
}

void job_service::tick()
{
    const time_point now = protocol::steadyNow();
    auto& abandoned = m_impl->abandoned;
    while (!abandoned.empty() && abandoned.front().cancelAt <= now) {
        const submission_id submission = abandoned.front().submission;
        abandoned.pop_front();
        if (m_impl->registry.isAbandoned(submission))
            cancel(submission);
    }
    m_impl->registry.expire(now);
}

std::size_t job_service::openJobs() const
{
    return m_impl->registry.openJobs();
}

} // namespace jackdaw::entry
