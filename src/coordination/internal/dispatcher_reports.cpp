// Handles reports of tasks, settle requests, retries and answers to jobs.
#include "coordination/internal/dispatcher_impl.h"

#include <algorithm>
#include <utility>

namespace jackdaw::coordination {
namespace {

    constexpr duration leaseGrace = std::chrono::seconds(1); // an upstream's lease begins later than the start was sent
    constexpr duration minRetryWait = std::chrono::milliseconds(1);
    constexpr duration maxSettleInterval = std::chrono::seconds(5);
    constexpr std::uint32_t lostUpstreamsToGiveUp = 2; // the task is then taken for the cause of their crashes

} // namespace

void dispatcher::impl::report(time_point now, task_report&& report)
{
    if (report.state == protocol::upstream_state::leaving)
        m_upstreams.setLeaving(report.upstream);
    job_record* job = find(report.task.submission);
    task_record* task = job ? findOutstanding(report.task, *job) : nullptr;
    if (!task || task->upstream->id != report.upstream)
        return;
    // Nothing could be started before, so one freed slot allows one start at most. A success on a restricted upstream
    // may allow more than one slot.
    const bool freesOneSlot = report.outcome == task_outcome::finished && task->upstream->health.isUnrestricted();
    switch (report.outcome) {
    case task_outcome::finished:
        onFinished(now, *job, *task, std::move(report.body));
        break;
    case task_outcome::failed:
        m_upstreams.recordFailure(now, *task->upstream, m_rules->maxEjectedRatio);
        [[fallthrough]];
    case task_outcome::stopped:
        job->provedStarted = true;
        release(now, *job, *task, task_phase::closed);
        fail(*job, error_kind::task_failed, "task " + std::to_string(report.task.index));
        break;
    case task_outcome::not_started:
        onNotStarted(now, *job, report.task, *task);
        break;
    case task_outcome::running:
        onRunning(now, *job, report.task, *task);
        break;
    case task_outcome::no_answer:
        onNoAnswer(now, *job, report.task, *task);
        break;
    }
    eraseIfDone(now, *job);
    if (freesOneSlot)
        startQueued(now, 1);
    else
        startQueued(now);
}

void dispatcher::impl::onFinished(time_point now, job_record& job, task_record& task, std::string&& body)
{
    job.provedStarted = true;
    if (task.settleRequests == 0)
        recordRunTime(now, job, task);
    m_upstreams.recordSuccess(*task.upstream);
    release(now, job, task, task_phase::finished);
    if (job.answered)
        return;
    task.body = std::move(body);
    ++job.finished;
    if (job.finished < job.tasks.size())
        return;
    protocol::job_results results;
    results.bodies.reserve(job.tasks.size());
    for (task_record& each : job.tasks)
        results.bodies.push_back(std::move(each.body));
    answer(job, std::move(results));
}

void dispatcher::impl::recordRunTime(time_point now, const job_record& job, const task_record& task)
{
    const duration runTime = std::max(now - task.sentAt, duration { 1 });
    const auto factor = static_cast<double>(runTime.count()) / static_cast<double>(std::max(task.expected, duration { 1 }).count());
    const auto index = static_cast<std::size_t>(&task - job.tasks.data());
    const auto atFactorOne = static_cast<std::int64_t>(static_cast<double>(runTime.count()) / task.upstream->speed.factor());
    m_runTimes.addSample(now, job.request.client, job.request.tasks[index].expectedRunTime, duration { atFactorOne });
    m_upstreams.recordRunTime(*task.upstream, factor, task.expectedVariance);
}

void dispatcher::impl::onNotStarted(time_point now, job_record& job, const protocol::task_key& key, task_record& task)
{
    // A new incarnation does not know what its predecessor started, so its tombstone does not show that the task did
    // not run.
    if (task.phase == task_phase::settling && task.upstream->replaced) {
        onOutcomeUnknown(now, job, key, task);
        return;
    }
    if (task.phase == task_phase::sent)
        m_upstreams.recordFailure(now, *task.upstream, m_rules->maxEjectedRatio);
    task.avoidedSerial = task.upstream->serial;
    release(now, job, task, task_phase::closed);
    if (!job.answered)
        requeue(now, job, key.index);
}

// Called for an unanswered start, and again for each settle request that did not return the outcome.
void dispatcher::impl::onNoAnswer(time_point now, job_record& job, const protocol::task_key& key, task_record& task)
{
    if (task.phase == task_phase::sent)
        m_upstreams.recordFailure(now, *task.upstream, m_rules->maxEjectedRatio);
    task.phase = task_phase::settling;
    if (job.answered)
        return; // the slot is released after the lease has expired
    if (task.upstream->replaced) {
        onOutcomeUnknown(now, job, key, task);
        return;
    }
    if (task.settleRequests == 0) {
        settle(key, task);
        return;
    }
    if (now >= task.leaseEnd + leaseGrace) {
        onOutcomeUnknown(now, job, key, task);
        return;
    }
    const auto doublings = std::min(task.settleRequests - 1, 10U);
    const duration wait = std::min(m_settings.settleInterval * (1U << doublings), maxSettleInterval);
    const time_point next = std::min(now + wait, std::max(now + m_settings.settleInterval, task.leaseEnd + leaseGrace));
    m_timers.cancel(task.settleTimer);
    task.settleTimer = m_timers.add(next, settle_timer { key });
}

// Settles a straggler again when its run time has doubled. It is not started on another upstream meanwhile.
void dispatcher::impl::onRunning(time_point now, job_record& job, const protocol::task_key& key, task_record& task)
{
    job.provedStarted = true;
    if (job.answered)
        return;
    m_timers.cancel(task.settleTimer);
    task.settleTimer = m_timers.add(now + std::max(m_settings.settleInterval, now - task.sentAt), settle_timer { key });
}

// The upstream can no longer tell whether it ran the task. An idempotent task may be retried after its lease expires,
// if the rules allow it, unless upstreams keep crashing under it; any other fails its job.
void dispatcher::impl::onOutcomeUnknown(time_point now, job_record& job, const protocol::task_key& key, task_record& task)
{
    const std::uint32_t lostUpstreams = task.lostUpstreams + (task.upstream->replaced ? 1 : 0);
    const bool mayStartAgain = !job.answered && job.request.idempotent && m_rules->retryIdempotentAfterLease && lostUpstreams < lostUpstreamsToGiveUp;
    const time_point leaseOver = task.leaseEnd + leaseGrace;
    if (mayStartAgain && now < leaseOver) {
        m_timers.cancel(task.settleTimer);
        task.settleTimer = m_timers.add(leaseOver, settle_timer { key });
        return;
    }
    job.hasUnknownStart = true;
    task.lostUpstreams = lostUpstreams;
    task.avoidedSerial = task.upstream->serial;
    release(now, job, task, task_phase::closed);
    if (job.answered)
        return;
    if (mayStartAgain) {
        requeue(now, job, key.index);
        return;
    }
    fail(job, job.provedStarted ? error_kind::task_failed : error_kind::timed_out, "the fate of task " + std::to_string(key.index) + " is unknown");
}

void dispatcher::impl::settle(const protocol::task_key& key, task_record& task)
{
    ++task.settleRequests;
    ++m_status.settles;
    m_outbox.emplace_back(settle_task { key, task.upstream->id, task.upstream->host, task.upstream->port });
}

void dispatcher::impl::requeue(time_point now, job_record& job, std::uint32_t index)
{
    task_record& task = job.tasks[index];
    ++task.attempt;
    task.phase = task_phase::queued;
    task.delayed = true;
    ++job.queued;
    changeQueuedWork(job, task.expected);
    m_teams.recordQueued(*job.team, 1);
    ++m_status.queuedTasks;
    m_delayedRetries.push_back({ job.request.submission, index, task.attempt });
    requeueDelayed(now);
}

void dispatcher::impl::requeueDelayed(time_point now)
{
    while (!m_delayedRetries.empty()) {
        const protocol::task_key& key = m_delayedRetries.front();
        job_record* job = find(key.submission);
        // The submission may have ended and been submitted again as a new job, to which this entry does not refer.
        const bool isCurrent = job && key.index < job->tasks.size() && job->tasks[key.index].delayed && job->tasks[key.index].attempt == key.attempt;
        if (isCurrent && !job->answered) {
            if (!m_retryBudget.tryTake(now))
                break;
            task_record& task = job->tasks[key.index];
            task.delayed = false;
            addPending(*job, key.index);
            m_queue.add(*job, task.part, m_rules->order);
            ++m_status.retries;
        }
        m_delayedRetries.pop_front();
    }
    m_timers.cancel(m_retryTimer);
    if (!m_delayedRetries.empty())
        m_retryTimer = m_timers.add(now + std::max(m_retryBudget.timeToNextRetry(), minRetryWait), retry_timer {});
}

void dispatcher::impl::cancel(time_point now, const submission_id& submission)
{
    job_record* job = find(submission);
    if (!job || job->answered)
        return;
    fail(*job, mayHaveStarted(*job) ? error_kind::cancelled_after_start : error_kind::cancelled_before_start);
    eraseIfDone(now, *job);
}

bool dispatcher::impl::mayHaveStarted(const job_record& job) const
{
    return job.provedStarted || job.hasUnknownStart || job.outstanding > 0;
}

bool dispatcher::impl::isEveryStartUnanswered(const job_record& job) const
{
    return !job.provedStarted && std::none_of(job.tasks.begin(), job.tasks.end(), [](const task_record& task) { return task.phase == task_phase::sent; });
}

void dispatcher::impl::fail(job_record& job, error_kind kind, std::string detail)
{
    if (!job.answered)
        answer(job, job_failure { kind, std::move(detail), {} });
}

void dispatcher::impl::answer(job_record& job, protocol::job_answer answer)
{
    dequeueParts(job);
    m_status.queuedTasks -= job.queued;
    job.team->queuedTasks -= job.queued;
    changeQueuedWork(job, -job.queuedWork);
    job.queued = 0;
    job.answered = true;
    --m_status.jobs;
    m_timers.cancel(job.timer);
    if (job.outstanding > 0) {
        time_point lastLease {};
        for (task_record& task : job.tasks) {
            m_timers.cancel(task.settleTimer);
            if (task.isOutstanding())
                lastLease = std::max(lastLease, task.leaseEnd);
        }
        job.timer = m_timers.add(lastLease + leaseGrace, job_timer { job.request.submission });
    }
    m_outbox.emplace_back(answer_job { job.request.submission, std::move(answer) });
}

void dispatcher::impl::eraseIfDone(time_point now, job_record& job)
{
    if (!job.answered || job.outstanding > 0)
        return;
    m_timers.cancel(job.timer);
    --job.team->jobs;
    m_teams.removeIfIdle(now, *job.team, *m_rules);
    m_jobs.erase(submission_id { job.request.submission });
}

} // namespace jackdaw::coordination
