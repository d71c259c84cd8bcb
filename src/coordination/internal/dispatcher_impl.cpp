// Handles submissions, starts, timers and announcements.
#include "coordination/internal/dispatcher_impl.h"

#include "coordination/internal/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdaw::coordination {
namespace {

    constexpr duration minStragglerAge = std::chrono::seconds(1);
    constexpr double stragglerFactor = 4; // multiple of the 95th percentile of the run time
    constexpr duration recheckInterval = std::chrono::milliseconds(20); // for tasks that wait while slots are free
    constexpr double targetStretch = 3; // target response time of a large job over its time alone on all slots
    constexpr double meanWorkGain = 0.01; // weight of a new sample in the moving average
    constexpr duration drainRetryAfter = std::chrono::seconds(1); // short, because other hosts of the zone accept jobs

} // namespace

std::optional<job_failure> dispatcher::impl::submit(time_point now, protocol::job_request request)
{
    m_upstreams.advance(now);
    if (auto refusal = admit(now, request))
        return refusal;
    auto owned = std::make_unique<job_record>();
    job_record& job = *owned;
    job.request = std::move(request);
    job.sequence = m_nextSequence++;
    job.tasks.resize(job.request.tasks.size());
    job.arrival = now;
    job.queued = static_cast<std::uint32_t>(job.tasks.size());
    job.team = &m_teams.get(job.request.team, *m_rules);
    ++job.team->jobs;
    m_teams.recordQueued(*job.team, job.queued);
    estimateRunTimes(job);
    job.deadlineAt = now + (job.request.deadline > duration::zero() ? job.request.deadline : m_rules->defaultDeadline);
    job.timer = m_timers.add(job.deadlineAt, job_timer { job.request.submission });
    m_jobs.emplace(job.request.submission, std::move(owned));
    ++m_status.jobs;
    m_status.queuedTasks += job.queued;
    groupIntoParts(job);
    enqueueParts(job);
    startQueued(now);
    return std::nullopt;
}

std::optional<job_failure> dispatcher::impl::admit(time_point now, const protocol::job_request& request)
{
    if (request.tasks.empty())
        return job_failure { error_kind::malformed_request, "a job needs at least one task", {} };
    if (m_jobs.contains(request.submission))
        return job_failure { error_kind::submission_mismatch, "the submission is known already", {} };
    if (m_draining)
        return job_failure { error_kind::draining, {}, drainRetryAfter };
    const admission_context context { now, *m_rules, m_upstreams, m_teams, m_runTimes, m_status.queuedTasks, m_meanWork };
    if (auto refusal = checkCapacity(context, request))
        return refusal;
    team_record& team = m_teams.get(request.team, *m_rules);
    auto refusal = checkTeamLimits(context, request, team);
    if (refusal)
        m_teams.removeIfIdle(now, team, *m_rules);
    else
        team.rate.take(static_cast<double>(request.tasks.size()));
    return refusal;
}

job_record* dispatcher::impl::find(const submission_id& submission)
{
    const auto found = m_jobs.find(submission);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

task_record* dispatcher::impl::findOutstanding(const protocol::task_key& key, job_record& job)
{
    if (key.index >= job.tasks.size())
        return nullptr;
    task_record& task = job.tasks[key.index];
    return task.attempt == key.attempt && task.isOutstanding() ? &task : nullptr;
}

void dispatcher::impl::estimateRunTimes(job_record& job)
{
    class_mask classes = 0;
    duration work {};
    duration longest {};
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        const protocol::task_spec& spec = job.request.tasks[i];
        const run_time_estimate estimated = m_runTimes.estimate(job.request.client, spec.expectedRunTime);
        job.tasks[i].expected = estimated.mean;
        job.tasks[i].expectedVariance = static_cast<float>(estimated.logVariance);
        work += estimated.mean;
        longest = std::max(longest, estimated.mean);
        classes |= m_upstreams.classesFor(spec.need);
    }
    const upstream_pool::class_capacity capacity = m_upstreams.capacityOf(classes);
    const double longestAlone = static_cast<double>(longest.count()) * capacity.fastestFactor;
    job.magnitude = team_record::magnitudeOf(static_cast<double>(work.count()));
    changeQueuedWork(job, work);
    const double workAlone = static_cast<double>(work.count()) / std::max(capacity.speed, 1.0);
    job.targetEnd = job.arrival + duration { static_cast<std::int64_t>(std::max(longestAlone, targetStretch * workAlone)) };
}

void dispatcher::impl::changeQueuedWork(job_record& job, duration change)
{
    job.queuedWork += change;
    job.team->queuedWork[job.magnitude] += static_cast<double>(change.count());
}

void dispatcher::impl::groupIntoParts(job_record& job)
{
    job.parts.clear();
    for (std::size_t i = job.tasks.size(); i-- > 0;) {
        const class_mask classes = m_upstreams.classesFor(job.request.tasks[i].need);
        auto part = std::find_if(job.parts.begin(), job.parts.end(), [&](const job_part& entry) { return entry.classes == classes; });
        if (part == job.parts.end())
            part = job.parts.insert(part, job_part { classes, {} });
        task_record& task = job.tasks[i];
        task.part = static_cast<std::uint32_t>(part - job.parts.begin());
        if (task.phase == task_phase::queued && !task.delayed)
            part->pending.push_back(static_cast<std::uint32_t>(i));
    }
    for (job_part& part : job.parts)
        std::stable_sort(part.pending.begin(), part.pending.end(), [&](std::uint32_t a, std::uint32_t b) { return job.tasks[a].expected < job.tasks[b].expected; });
}

void dispatcher::impl::addPending(job_record& job, std::uint32_t index)
{
    auto& pending = job.parts[job.tasks[index].part].pending;
    const auto longer = std::upper_bound(pending.begin(), pending.end(), index, [&](std::uint32_t a, std::uint32_t b) { return job.tasks[a].expected < job.tasks[b].expected; });
    pending.insert(longer, index);
}

void dispatcher::impl::enqueueParts(job_record& job)
{
    for (std::uint32_t part = 0; part < job.parts.size(); ++part)
        m_queue.add(job, part, m_rules->order);
}

void dispatcher::impl::dequeueParts(job_record& job)
{
    for (std::uint32_t part = 0; part < job.parts.size(); ++part)
        m_queue.remove(job, part);
}

void dispatcher::impl::startQueued(time_point at, std::size_t maxStarts)
{
    // Relayed announcements can have an earlier time point than events that were already handled.
    m_now = std::max(m_now, at);
    const time_point now = m_now;
    m_upstreams.advance(now);
    for (std::size_t started = 0; started < maxStarts; ++started) {
        const start_context context { now, m_rules->slowUpstreamPenalty, m_meanWork, m_status.queuedTasks };
        const auto decision = m_startPolicy.choose(context, m_queue, m_upstreams);
        if (!decision)
            break;
        start(now, *decision);
    }
    const bool waiting = m_queue.next(m_upstreams) != nullptr;
    if (waiting && !m_recheckTimer)
        m_recheckTimer = m_timers.add(now + recheckInterval, recheck_timer {});
}

void dispatcher::impl::start(time_point now, const start_decision& decision)
{
    job_record& job = *decision.job;
    job_part& from = job.parts[decision.part];
    const auto place = from.pending.begin() + static_cast<std::ptrdiff_t>(decision.pendingIndex);
    const std::uint32_t index = *place;
    from.pending.erase(place);
    task_record& task = job.tasks[index];
    task.upstream = decision.upstream->shared_from_this();
    const auto end = static_cast<std::int64_t>(static_cast<double>(task.expected.count()) * task.upstream->speed.factor());
    job.expectedEnd = std::max(job.expectedEnd, now + duration { end });
    m_meanWork += meanWorkGain * (static_cast<double>(task.expected.count()) - m_meanWork);
    changeQueuedWork(job, -task.expected);
    updateQueueKey(job, decision.part);
    m_teams.recordStarted(*job.team, task.expected);
    m_upstreams.takeSlot(*task.upstream);
    const duration lease = leaseFor(job, task, now);
    task.phase = task_phase::sent;
    task.settleRequests = 0;
    task.sentAt = now;
    task.leaseEnd = now + lease;
    --job.queued;
    ++job.outstanding;
    --m_status.queuedTasks;
    ++m_status.runningTasks;
    ++m_status.starts;
    m_retryBudget.recordStart(m_rules->retryBudget);
    task.settleTimer = m_timers.add(now + stragglerAge(task), settle_timer { { job.request.submission, index, task.attempt } });
    const upstream_record& upstream = *task.upstream;
    m_outbox.emplace_back(start_task { { job.request.submission, index, task.attempt }, upstream.id, upstream.host,
        upstream.port, lease, job.request.idempotent, job.request.tasks[index].payload });
}

// Moves the part to its position by the job's remaining work, or removes it if no task is pending.
void dispatcher::impl::updateQueueKey(job_record& job, std::uint32_t part)
{
    if (!job.parts[part].pending.empty() && m_rules->order != task_order::fewest_remaining)
        return;
    m_queue.remove(job, part);
    m_queue.add(job, part, m_rules->order);
}

// The lease ends at the job's deadline at the latest, so the upstream stops the task without a message.
duration dispatcher::impl::leaseFor(const job_record& job, const task_record& task, time_point now) const
{
    constexpr duration shortest = std::chrono::milliseconds(1);
    const auto learned = std::chrono::round<duration>(task.expected * m_settings.leaseFactor * task.upstream->speed.factor());
    return std::clamp(job.deadlineAt - now, shortest, std::max(m_settings.minLeaseLimit, learned));
}

// The age at which a running task counts as a straggler and is settled.
duration dispatcher::impl::stragglerAge(const task_record& task) const
{
    constexpr double deviations = 1.645; // to the 95th percentile
    const double high = task.upstream->speed.factor() * std::exp(deviations * std::sqrt(task.expectedVariance));
    return std::max(minStragglerAge, std::chrono::round<duration>(task.expected * (stragglerFactor * high)));
}

void dispatcher::impl::release(time_point now, job_record& job, task_record& task, task_phase next)
{
    m_teams.recordEnded(*job.team, task.expected, now - task.sentAt);
    m_upstreams.releaseSlot(*task.upstream);
    task.upstream.reset();
    m_timers.cancel(task.settleTimer);
    task.phase = next;
    --job.outstanding;
    --m_status.runningTasks;
}

void dispatcher::impl::setRules(std::shared_ptr<const rules> activeRules)
{
    m_rules = std::move(activeRules);
    m_teams.setRules(*m_rules);
    for (auto& [submission, job] : m_jobs) {
        if (job->answered)
            continue;
        dequeueParts(*job);
        enqueueParts(*job);
    }
}

void dispatcher::impl::applyAnnouncement(time_point receivedAt, const protocol::announcement& announcement)
{
    const upstream_pool::change change = m_upstreams.applyAnnouncement(receivedAt, announcement);
    if (change.addedClass) {
        for (auto& [submission, job] : m_jobs) {
            if (job->answered)
                continue;
            dequeueParts(*job);
            groupIntoParts(*job);
            enqueueParts(*job);
        }
    }
    if (change.replacedIncarnation)
        endTasksOfReplaced(receivedAt);
}

// Treats the outcome of unanswered tasks as unknown if their upstream's incarnation was replaced: it can't report any more.
void dispatcher::impl::endTasksOfReplaced(time_point now)
{
    std::vector<protocol::task_key> lost;
    for (const auto& [submission, job] : m_jobs) {
        for (std::uint32_t index = 0; index < job->tasks.size(); ++index) {
            const task_record& task = job->tasks[index];
            if (task.phase == task_phase::settling && task.upstream->replaced)
                lost.push_back({ submission, index, task.attempt });
        }
    }
    for (const protocol::task_key& key : lost) {
        job_record* job = find(key.submission);
        if (!job)
            continue;
        if (task_record* task = findOutstanding(key, *job))
            onOutcomeUnknown(now, *job, key, *task);
        eraseIfDone(now, *job);
    }
}

void dispatcher::impl::advance(time_point now)
{
    while (const auto due = m_timers.takeDue(now))
        std::visit([&](const auto& timer) { onTimer(now, timer); }, *due);
    startQueued(now);
}

void dispatcher::impl::onTimer(time_point now, const job_timer& timer)
{
    job_record& job = *find(timer.submission);
    job.timer.reset();
    if (job.answered) {
        for (task_record& task : job.tasks) {
            if (task.isOutstanding())
                release(now, job, task, task_phase::closed);
        }
    } else if (!mayHaveStarted(job)) {
        fail(job, error_kind::deadline_passed_before_start);
    } else {
        fail(job, isEveryStartUnanswered(job) ? error_kind::timed_out : error_kind::deadline_passed_after_start);
    }
    eraseIfDone(now, job);
}

// Uses the age of a running task as a sample of its run time, of which it is a lower bound.
void dispatcher::impl::recordStraggler(time_point now, const task_record& task)
{
    const auto factor = static_cast<double>((now - task.sentAt).count()) / static_cast<double>(task.expected.count());
    if (task.phase == task_phase::sent && factor > task.upstream->speed.factor())
        m_upstreams.recordRunTime(*task.upstream, factor, task.expectedVariance);
}

void dispatcher::impl::onTimer(time_point now, const settle_timer& timer)
{
    job_record& job = *find(timer.task.submission);
    task_record& task = job.tasks[timer.task.index];
    task.settleTimer.reset();
    if (!task.upstream->replaced) {
        recordStraggler(now, task);
        settle(timer.task, task);
        return;
    }
    onOutcomeUnknown(now, job, timer.task, task);
    eraseIfDone(now, job);
}

void dispatcher::impl::onTimer(time_point now, const retry_timer&)
{
    m_retryTimer.reset();
    requeueDelayed(now);
}

void dispatcher::impl::onTimer(time_point, const recheck_timer&)
{
    m_recheckTimer.reset(); // advance() calls startQueued() after all timers
}

std::optional<time_point> dispatcher::impl::nextTimer() const
{
    const auto own = m_timers.next();
    const auto expiry = m_upstreams.nextTimer();
    if (!own || !expiry)
        return own ? own : expiry;
    return std::min(*own, *expiry);
}

dispatcher_status dispatcher::impl::status() const
{
    dispatcher_status result = m_status;
    result.upstreams = m_upstreams.servingCount();
    result.ejectedUpstreams = m_upstreams.ejectedCount();
    return result;
}

void dispatcher::impl::flush()
{
    if (m_flushing)
        return;
    m_flushing = true;
    while (!m_outbox.empty()) {
        dispatch_action action = std::move(m_outbox.front());
        m_outbox.pop_front();
        m_onAction(std::move(action));
    }
    m_flushing = false;
}

} // namespace jackdaw::coordination
