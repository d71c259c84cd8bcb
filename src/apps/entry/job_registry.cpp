// Bookkeeping of the submissions of one host.
#include "apps/entry/job_registry.h"

#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jackdaw::entry {

using protocol::duration;
using protocol::job_answer;
using protocol::submission_id;
using protocol::time_point;

namespace {

    struct waiter {
        job_registry::waiter_id id = 0;
        answer_hook hook;
    };

    struct record {
        std::uint64_t bodyHash = 0;
        registry_state state = registry_state::open; // open, retryable, answered or forgotten
        std::uint64_t generation = 0; // tells this opening from earlier ones of a retryable submission
        bool keptWithoutWaiters = false;
        answer_ptr answer; // not null exactly for answered
        std::vector<waiter> waiters; // empty unless open
    };

    // One closed job in the order of closing.
    struct closed_job {
        time_point closedAt;
        submission_id submission;
        std::uint64_t generation = 0;
    };

    void tellAll(const std::vector<waiter>& waiters, const answer_ptr& answer)
    {
        for (const waiter& one : waiters)
            one.hook(answer);
    }

    std::size_t sizeOf(const job_answer& answer)
    {
        constexpr std::size_t overhead = 64; // of one string and its place in a container, in bytes
        std::size_t bytes = overhead;
        if (const auto* results = std::get_if<protocol::job_results>(&answer)) {
            for (const std::string& body : results->bodies)
                bytes += body.size() + overhead;
        }
        return bytes;
    }

} // namespace

class job_registry::impl {
public:
    registry_limits limits;
    std::unordered_map<submission_id, record> records;
    std::deque<closed_job> withAnswer; // oldest first; may name records that were opened again
    std::deque<closed_job> closed; // oldest first; may name records that were opened again
    std::size_t openJobs = 0;
    std::size_t storedBytes = 0; // sum of sizeOf over the stored answers
    waiter_id lastWaiter = 0;
    std::uint64_t lastGeneration = 0;

    const record* find(const submission_id& submission) const
    {
        const auto found = records.find(submission);
        return found == records.end() ? nullptr : &found->second;
    }

    record* findOpen(const submission_id& submission)
    {
        const auto found = records.find(submission);
        return found == records.end() || found->second.state != registry_state::open ? nullptr : &found->second;
    }

    // The record of a closed job, unless it was opened again since.
    record* findClosed(const closed_job& job)
    {
        const auto found = records.find(job.submission);
        if (found == records.end() || found->second.generation != job.generation)
            return nullptr;
        return &found->second;
    }

    void forgetOldestAnswer()
    {
        record* oldest = findClosed(withAnswer.front());
        withAnswer.pop_front();
        if (!oldest || oldest->state != registry_state::answered)
            return;
        storedBytes -= sizeOf(*oldest->answer);
        oldest->answer.reset();
        oldest->state = registry_state::forgotten;
    }

    void removeOldestRecord()
    {
        const closed_job oldest = closed.front();
        closed.pop_front();
        if (!findClosed(oldest))
            return;
        records.erase(oldest.submission);
    }
};

job_registry::job_registry(registry_limits limits)
    : m_impl(std::make_unique<impl>())
{
    m_impl->limits = limits;
}

job_registry::~job_registry() = default;

void job_registry::setAnswerRetention(duration retention)
{
    m_impl->limits.answerRetention = retention;
}

registry_view job_registry::find(const submission_id& submission) const
{
    const record* known = m_impl->find(submission);
    return known ? registry_view { known->state, known->answer } : registry_view {};
}

registry_view job_registry::find(const submission_id& submission, std::uint64_t bodyHash) const
{
    const record* known = m_impl->find(submission);
    if (known && known->bodyHash != bodyHash)
        return { registry_state::mismatch, nullptr };
    return find(submission);
}

void job_registry::open(const submission_id& submission, std::uint64_t bodyHash)
{
    record& opened = m_impl->records[submission];
    opened = record {};
    opened.bodyHash = bodyHash;
    opened.generation = ++m_impl->lastGeneration;
    ++m_impl->openJobs;
}

job_registry::waiter_id job_registry::wait(const submission_id& submission, answer_hook hook)
{
    const waiter_id id = ++m_impl->lastWaiter;
    if (record* job = m_impl->findOpen(submission))
        job->waiters.push_back({ id, std::move(hook) });
    return id;
}

void job_registry::keepWithoutWaiters(const submission_id& submission)
{
    if (record* job = m_impl->findOpen(submission))
        job->keptWithoutWaiters = true;
}

bool job_registry::isAbandoned(const submission_id& submission) const
{
    const record* job = m_impl->findOpen(submission);
    return job && job->waiters.empty() && !job->keptWithoutWaiters;
}

void job_registry::stopWaiting(const submission_id& submission, waiter_id waiterId)
{
    if (record* job = m_impl->findOpen(submission))
        std::erase_if(job->waiters, [waiterId](const waiter& one) { return one.id == waiterId; });
}

void job_registry::answer(time_point now, const submission_id& submission, job_answer answer)
{
    record* job = m_impl->findOpen(submission);
    if (!job)
        return;
    const auto shared = std::make_shared<const job_answer>(std::move(answer));
    const closed_job closing { now, submission, job->generation };
    if (mayTryAgain(*shared)) {
        job->state = registry_state::retryable;
    } else {
        job->state = registry_state::answered;
        job->answer = shared;
        m_impl->storedBytes += sizeOf(*shared);
        m_impl->withAnswer.push_back(closing);
    }
    m_impl->closed.push_back(closing);
    --m_impl->openJobs;
    tellAll(std::exchange(job->waiters, {}), shared);
}

void job_registry::release(const submission_id& submission, job_answer answer)
{
    record* job = m_impl->findOpen(submission);
    if (!job)
        return;
    const std::vector<waiter> waiters = std::exchange(job->waiters, {});
    m_impl->records.erase(submission);
    --m_impl->openJobs;
    tellAll(waiters, std::make_shared<const job_answer>(std::move(answer)));
}

void job_registry::expire(time_point now)
{
    auto& withAnswer = m_impl->withAnswer;
    while (!withAnswer.empty()
        && (withAnswer.front().closedAt + m_impl->limits.answerRetention <= now || m_impl->storedBytes > m_impl->limits.maxStoredBytes))
        m_impl->forgetOldestAnswer();
    auto& closed = m_impl->closed;
    while (!closed.empty() && closed.front().closedAt + m_impl->limits.recordRetention <= now)
        m_impl->removeOldestRecord();
}

std::size_t job_registry::openJobs() const
{
    return m_impl->openJobs;
}

std::size_t job_registry::storedBytes() const
{
    return m_impl->storedBytes;
}

std::size_t job_registry::records() const
{
    return m_impl->records.size();
}

bool mayTryAgain(const job_answer& answer)
{
    const auto* failure = std::get_if<protocol::job_failure>(&answer);
    return failure && failure->kind != protocol::error_kind::cancelled_before_start
        && protocol::errorAnswer(failure->kind).ran == protocol::ran_state::no;
}

} // namespace jackdaw::entry
