// Admission, starts, reports and answers of one entry host's jobs.
#include "coordination/dispatcher.h"

#include "coordination/internal/job_record.h"
#include "coordination/internal/retry_budget.h"
#include "coordination/internal/run_time_model.h"
#include "coordination/internal/start_policy.h"
#include "coordination/internal/task_queue.h"
#include "coordination/internal/upstream_pool.h"

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>

namespace jackdaw::coordination {
namespace {

    using protocol::error_kind;
    using protocol::job_failure;
    using protocol::submission_id;

    constexpr duration leaseGrace = std::chrono::seconds(1); // an upstream's lease begins later than our send
    constexpr duration maxSettleInterval = std::chrono::seconds(5);
    constexpr duration recheckInterval = std::chrono::milliseconds(20); // of tasks that wait although slots are free
    constexpr double busyStretch = 3; // how much longer a large job may take than with all slots to itself
    constexpr double meanWorkGain = 0.01; // weight of one more task in the mean
    constexpr duration refusalRetryAfter = std::chrono::seconds(1);

    struct job_timer {
        submission_id submission;
    };

    struct settle_timer {
        protocol::task_key task;
    };

    struct retry_timer {
    };

    struct recheck_timer {
    };

    using due_timer = std::variant<job_timer, settle_timer, retry_timer, recheck_timer>;

    job_failure refuse(error_kind kind, std::string detail, duration retryAfter = refusalRetryAfter)
    {
        return { kind, std::move(detail), retryAfter };
    }

} // namespace

class dispatcher::impl {
public:
    impl(dispatcher_settings settings, action_hook onAction)
        : m_settings(settings)
        , m_onAction(std::move(onAction))
        , m_rules(std::make_shared<const rules>())
    {
    }

    std::optional<job_failure> submit(time_point now, protocol::job_request request);
    void cancel(const submission_id& submission);
    void hear(time_point heardAt, const protocol::announcement& announcement);
    void report(time_point now, task_report&& report);
    void advance(time_point now);
    std::optional<time_point> nextTimer() const;
    dispatcher_status status() const;

    // Starts what can be started.
    void startQueued(time_point at);
    void setRules(std::shared_ptr<const rules> inForce);
    // Hands the collected actions to the hook, which may call the dispatcher again.
    void flush();

    upstream_pool& upstreams() { return m_upstreams; }
    void drain() { m_draining = true; }

private:
    std::optional<job_failure> admit(const protocol::job_request& request) const;
    job_record* find(const submission_id& submission);
    task_record* findOutstanding(const protocol::task_key& key, job_record& job);

    void estimate(job_record& job) const;
    void sortIntoParts(job_record& job);
    void addPending(job_record& job, std::uint32_t index);
    void listAll(job_record& job);
    void unlistAll(job_record& job);

    void start(time_point now, const start_decision& decision);
    void relist(job_record& job, std::uint32_t part);
    duration leaseFor(const job_record& job, time_point now) const;
    void release(time_point now, job_record& job, task_record& task, task_phase next);

    void onFinished(time_point now, job_record& job, task_record& task, std::string&& body);
    void learn(time_point now, const job_record& job, const task_record& task);
    void onNotStarted(time_point now, job_record& job, const protocol::task_key& key, task_record& task);
    void onSilent(time_point now, job_record& job, const protocol::task_key& key, task_record& task);
    void onFateUnknown(time_point now, job_record& job, const protocol::task_key& key, task_record& task);
    void settle(const protocol::task_key& key, task_record& task);
    void requeue(time_point now, job_record& job, std::uint32_t index);
    void requeueDelayed(time_point now);
    void settleReplaced(time_point now);

    void fail(job_record& job, error_kind kind, std::string detail = {});
    void answer(job_record& job, protocol::job_answer answer);
    void eraseIfDone(job_record& job);
    bool isAnythingStarted(const job_record& job) const;
    bool isOnlySilent(const job_record& job) const;

    void onTimer(time_point now, const job_timer& timer);
    void onTimer(time_point now, const settle_timer& timer);
    void onTimer(time_point now, const retry_timer& timer);
    void onTimer(time_point now, const recheck_timer& timer);

    const dispatcher_settings m_settings;
    const action_hook m_onAction;
    std::shared_ptr<const rules> m_rules;

    std::unordered_map<submission_id, std::unique_ptr<job_record>> m_jobs;
    task_queue m_queue;
    team_table m_teams;
    upstream_pool m_upstreams;
    start_policy m_startPolicy;
    run_time_model m_runTimes;
    double m_meanWork = 300'000; // of started tasks; microseconds at factor 1
    std::optional<timer_id> m_recheckTimer;
    timer_queue<due_timer> m_timers;
    retry_budget m_retryBudget;
    std::deque<protocol::task_key> m_delayedRetries; // entries whose job has ended are dropped when their turn comes
    std::optional<timer_id> m_retryTimer;
    std::deque<dispatch_action> m_outbox;
    bool m_flushing = false;
    bool m_draining = false;
    std::uint64_t m_nextSequence = 1;
    time_point m_now {}; // the latest time point of any event
    dispatcher_status m_status; // the job and task counts and the totals; upstreams are counted by the pool
};

std::optional<job_failure> dispatcher::impl::submit(time_point now, protocol::job_request request)
{
    m_upstreams.expireDue(now);
    if (auto refusal = admit(request))
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
    m_teams.noteQueued(*job.team, job.queued);
    estimate(job);
    job.deadlineAt = now + (job.request.deadline > duration::zero() ? job.request.deadline : m_rules->defaultDeadline);
    job.timer = m_timers.add(job.deadlineAt, job_timer { job.request.submission });
    m_jobs.emplace(job.request.submission, std::move(owned));
    ++m_status.jobs;
    m_status.queuedTasks += job.queued;
    sortIntoParts(job);
    listAll(job);
    startQueued(now);
    return std::nullopt;
}

std::optional<job_failure> dispatcher::impl::admit(const protocol::job_request& request) const
{
    if (request.tasks.empty())
        return refuse(error_kind::malformed_request, "a job needs at least one task", duration::zero());
    if (m_jobs.contains(request.submission))
        return refuse(error_kind::submission_mismatch, "the submission is known already", duration::zero());
    if (m_draining)
        return refuse(error_kind::draining, {});
    if (m_upstreams.servingCount() == 0)
        return refuse(error_kind::no_upstream, {});
    const class_mask serving = m_upstreams.servingClasses();
    for (std::size_t i = 0; i < request.tasks.size(); ++i) {
        if ((m_upstreams.classesFor(request.tasks[i].needs) & serving) == 0)
            return refuse(error_kind::never_fits, "task " + std::to_string(i), duration::zero());
    }
    if (m_status.queuedTasks + request.tasks.size() > m_rules->maxQueuedTasks)
        return refuse(error_kind::queue_full, {});
    return std::nullopt;
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

void dispatcher::impl::estimate(job_record& job) const
{
    class_mask classes = 0;
    duration longest {};
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        const protocol::task_spec& spec = job.request.tasks[i];
        const run_time_estimate estimated = m_runTimes.estimate(job.request.client, spec.expected);
        job.tasks[i].expected = estimated.mean;
        job.tasks[i].expectedVariance = static_cast<float>(estimated.logVariance);
        job.queuedWork += estimated.mean;
        longest = std::max(longest, estimated.mean);
        classes |= m_upstreams.classesFor(spec.needs);
    }
    const upstream_pool::class_capacity capacity = m_upstreams.capacityOf(classes);
    const double longestAlone = static_cast<double>(longest.count()) * capacity.fastestFactor;
    const double workAlone = static_cast<double>(job.queuedWork.count()) / capacity.speed;
    job.target = job.arrival + duration { static_cast<std::int64_t>(std::max(longestAlone, busyStretch * workAlone)) };
}

void dispatcher::impl::sortIntoParts(job_record& job)
{
    job.parts.clear();
    for (std::size_t i = job.tasks.size(); i-- > 0;) {
        const class_mask classes = m_upstreams.classesFor(job.request.tasks[i].needs);
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

void dispatcher::impl::listAll(job_record& job)
{
    for (std::uint32_t part = 0; part < job.parts.size(); ++part)
        m_queue.add(job, part, m_rules->order);
}

void dispatcher::impl::unlistAll(job_record& job)
{
    for (std::uint32_t part = 0; part < job.parts.size(); ++part)
        m_queue.remove(job, part);
}

void dispatcher::impl::startQueued(time_point at)
{
    // Relayed announcements carry an earlier time point than events that were already handled.
    m_now = std::max(m_now, at);
    const time_point now = m_now;
    m_upstreams.expireDue(now);
    for (;;) {
        const start_conditions conditions { now, m_rules->slowUpstreamPenalty, m_meanWork, m_status.queuedTasks };
        const auto decision = m_startPolicy.choose(conditions, m_queue, m_upstreams);
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
    job.queuedWork -= task.expected;
    relist(job, decision.part);
    m_teams.noteStarted(*job.team, task.expected);
    m_upstreams.takeSlot(*task.upstream);
    const duration lease = leaseFor(job, now);
    task.phase = task_phase::sent;
    task.questions = 0;
    task.sentAt = now;
    task.leaseEnd = now + lease;
    --job.queued;
    ++job.outstanding;
    --m_status.queuedTasks;
    ++m_status.runningTasks;
    ++m_status.starts;
    m_retryBudget.noteStart(m_rules->retryBudget);
    const upstream_record& upstream = *task.upstream;
    m_outbox.emplace_back(start_task { { job.request.submission, index, task.attempt }, upstream.id, upstream.host,
        upstream.port, lease, job.request.idempotent, job.request.tasks[index].payload });
}

// Keeps the place of the part in the queue up to date with the job's remaining work.
void dispatcher::impl::relist(job_record& job, std::uint32_t part)
{
    if (!job.parts[part].pending.empty() && m_rules->order != task_order::fewest_remaining)
        return;
    m_queue.remove(job, part);
    m_queue.add(job, part, m_rules->order);
}

// No task runs past its job's deadline: the upstream stops it by itself, without a message.
duration dispatcher::impl::leaseFor(const job_record& job, time_point now) const
{
    constexpr duration shortest = std::chrono::milliseconds(1);
    return std::clamp(job.deadlineAt - now, shortest, std::max(shortest, m_settings.firstLease));
}

void dispatcher::impl::release(time_point now, job_record& job, task_record& task, task_phase next)
{
    m_teams.noteEnded(*job.team, task.expected, now - task.sentAt);
    m_upstreams.releaseSlot(*task.upstream);
    task.upstream.reset();
    m_timers.cancel(task.settleTimer);
    task.phase = next;
    --job.outstanding;
    --m_status.runningTasks;
}

void dispatcher::impl::report(time_point now, task_report&& report)
{
    if (report.state == protocol::upstream_state::leaving)
        m_upstreams.setLeaving(report.upstream);
    job_record* job = find(report.task.submission);
    task_record* task = job ? findOutstanding(report.task, *job) : nullptr;
    if (!task || task->upstream->id != report.upstream)
        return;
    switch (report.outcome) {
    case task_outcome::finished:
        onFinished(now, *job, *task, std::move(report.body));
        break;
    case task_outcome::failed:
    case task_outcome::stopped:
        job->provedStarted = true;
        release(now, *job, *task, task_phase::closed);
        fail(*job, error_kind::task_failed, "task " + std::to_string(report.task.index));
        break;
    case task_outcome::not_started:
        onNotStarted(now, *job, report.task, *task);
        break;
    case task_outcome::running:
        job->provedStarted = true;
        onSilent(now, *job, report.task, *task);
        break;
    case task_outcome::silent:
        onSilent(now, *job, report.task, *task);
        break;
    }
    eraseIfDone(*job);
    startQueued(now);
}

void dispatcher::impl::onFinished(time_point now, job_record& job, task_record& task, std::string&& body)
{
    job.provedStarted = true;
    learn(now, job, task);
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

void dispatcher::impl::learn(time_point now, const job_record& job, const task_record& task)
{
    const duration runTime = std::max(now - task.sentAt, duration { 1 });
    const auto factor = static_cast<double>(runTime.count()) / static_cast<double>(std::max(task.expected, duration { 1 }).count());
    const auto index = static_cast<std::size_t>(&task - job.tasks.data());
    const auto atFactorOne = static_cast<std::int64_t>(static_cast<double>(runTime.count()) / task.upstream->speed.factor());
    m_runTimes.note(job.request.client, job.request.tasks[index].expected, duration { atFactorOne });
    m_upstreams.noteRunTime(*task.upstream, factor, task.expectedVariance);
}

void dispatcher::impl::onNotStarted(time_point now, job_record& job, const protocol::task_key& key, task_record& task)
{
    // A new incarnation knows nothing of what the old one started, so its tombstone proves nothing.
    if (task.phase == task_phase::settling && task.upstream->replaced) {
        onFateUnknown(now, job, key, task);
        return;
    }
    task.avoidedSerial = task.upstream->serial;
    release(now, job, task, task_phase::closed);
    if (!job.answered)
        requeue(now, job, key.index);
}

// Called for the silent start, and again for each question that did not bring the fate.
void dispatcher::impl::onSilent(time_point now, job_record& job, const protocol::task_key& key, task_record& task)
{
    task.phase = task_phase::settling;
    if (job.answered)
        return; // the slot is released when the lease is over
    if (task.upstream->replaced) {
        onFateUnknown(now, job, key, task);
        return;
    }
    if (task.questions == 0) {
        settle(key, task);
        return;
    }
    if (now >= task.leaseEnd + leaseGrace) {
        onFateUnknown(now, job, key, task);
        return;
    }
    const auto doublings = std::min(task.questions - 1, 10U);
    const duration wait = std::min(m_settings.settleInterval * (1U << doublings), maxSettleInterval);
    const time_point next = std::min(now + wait, std::max(now + m_settings.settleInterval, task.leaseEnd + leaseGrace));
    m_timers.cancel(task.settleTimer);
    task.settleTimer = m_timers.add(next, settle_timer { key });
}

// The upstream can't say any more whether it ran the task.
void dispatcher::impl::onFateUnknown(time_point now, job_record& job, const protocol::task_key& key, task_record& task)
{
    const bool mayStartAgain = !job.answered && job.request.idempotent && m_rules->retryIdempotentAfterLease;
    const time_point leaseOver = task.leaseEnd + leaseGrace;
    if (mayStartAgain && now < leaseOver) {
        m_timers.cancel(task.settleTimer);
        task.settleTimer = m_timers.add(leaseOver, settle_timer { key });
        return;
    }
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
    ++task.questions;
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
    job.queuedWork += task.expected;
    m_teams.noteQueued(*job.team, 1);
    ++m_status.queuedTasks;
    m_delayedRetries.push_back({ job.request.submission, index, task.attempt });
    requeueDelayed(now);
}

void dispatcher::impl::requeueDelayed(time_point now)
{
    while (!m_delayedRetries.empty()) {
        const protocol::task_key& key = m_delayedRetries.front();
        job_record* job = find(key.submission);
        if (job && !job->answered) {
            if (!m_retryBudget.take(now))
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
        m_retryTimer = m_timers.add(std::max(m_retryBudget.nextRetry(), now + std::chrono::milliseconds(1)), retry_timer {});
}

void dispatcher::impl::cancel(const submission_id& submission)
{
    job_record* job = find(submission);
    if (!job || job->answered)
        return;
    fail(*job, isAnythingStarted(*job) ? error_kind::cancelled_after_start : error_kind::cancelled_before_start);
    eraseIfDone(*job);
}

bool dispatcher::impl::isAnythingStarted(const job_record& job) const
{
    return job.provedStarted || job.outstanding > 0;
}

bool dispatcher::impl::isOnlySilent(const job_record& job) const
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
    unlistAll(job);
    m_status.queuedTasks -= job.queued;
    job.team->queuedTasks -= job.queued;
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

void dispatcher::impl::eraseIfDone(job_record& job)
{
    if (!job.answered || job.outstanding > 0)
        return;
    m_timers.cancel(job.timer);
    --job.team->jobs;
    m_teams.forgetIfIdle(*job.team);
    m_jobs.erase(submission_id { job.request.submission });
}

void dispatcher::impl::setRules(std::shared_ptr<const rules> inForce)
{
    m_rules = std::move(inForce);
    m_teams.setRules(*m_rules);
    for (auto& [submission, job] : m_jobs) {
        if (job->answered)
            continue;
        unlistAll(*job);
        listAll(*job);
    }
}

void dispatcher::impl::hear(time_point heardAt, const protocol::announcement& announcement)
{
    const upstream_pool::change change = m_upstreams.hear(heardAt, announcement);
    if (change.newClass) {
        for (auto& [submission, job] : m_jobs) {
            if (job->answered)
                continue;
            unlistAll(*job);
            sortIntoParts(*job);
            listAll(*job);
        }
    }
    if (change.replacedOne)
        settleReplaced(heardAt);
}

// Silent tasks of a replaced incarnation will never be accounted for.
void dispatcher::impl::settleReplaced(time_point now)
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
            onFateUnknown(now, *job, key, *task);
        eraseIfDone(*job);
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
    } else if (!isAnythingStarted(job)) {
        fail(job, error_kind::deadline_passed_before_start);
    } else {
        fail(job, isOnlySilent(job) ? error_kind::timed_out : error_kind::deadline_passed_after_start);
    }
    eraseIfDone(job);
}

void dispatcher::impl::onTimer(time_point now, const settle_timer& timer)
{
    job_record& job = *find(timer.task.submission);
    task_record& task = job.tasks[timer.task.index];
    task.settleTimer.reset();
    if (!task.upstream->replaced) {
        settle(timer.task, task);
        return;
    }
    onFateUnknown(now, job, timer.task, task);
    eraseIfDone(job);
}

void dispatcher::impl::onTimer(time_point now, const retry_timer&)
{
    m_retryTimer.reset();
    requeueDelayed(now);
}

void dispatcher::impl::onTimer(time_point, const recheck_timer&)
{
    m_recheckTimer.reset(); // the queued tasks are looked at after all timers
}

std::optional<time_point> dispatcher::impl::nextTimer() const
{
    const auto own = m_timers.next();
    const auto expiry = m_upstreams.nextExpiry();
    if (!own || !expiry)
        return own ? own : expiry;
    return std::min(*own, *expiry);
}

dispatcher_status dispatcher::impl::status() const
{
    dispatcher_status result = m_status;
    result.upstreams = m_upstreams.servingCount();
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

dispatcher::dispatcher(dispatcher_settings settings, action_hook onAction)
    : m_impl(std::make_unique<impl>(settings, std::move(onAction)))
{
}

dispatcher::~dispatcher() = default;

void dispatcher::setRules(std::shared_ptr<const rules> inForce)
{
    m_impl->setRules(std::move(inForce));
}

std::optional<job_failure> dispatcher::submit(time_point now, protocol::job_request job)
{
    auto refusal = m_impl->submit(now, std::move(job));
    m_impl->flush();
    return refusal;
}

void dispatcher::cancel(time_point now, const submission_id& submission)
{
    m_impl->cancel(submission);
    m_impl->startQueued(now);
    m_impl->flush();
}

void dispatcher::hear(time_point heardAt, const protocol::announcement& announcement)
{
    m_impl->hear(heardAt, announcement);
    m_impl->startQueued(heardAt);
    m_impl->flush();
}

void dispatcher::setSlots(time_point now, const upstream_id& upstream, std::uint32_t slots)
{
    m_impl->upstreams().setSlots(upstream, slots);
    m_impl->startQueued(now);
    m_impl->flush();
}

void dispatcher::report(time_point now, task_report report)
{
    m_impl->report(now, std::move(report));
    m_impl->flush();
}

void dispatcher::drain()
{
    m_impl->drain();
}

void dispatcher::advance(time_point now)
{
    m_impl->advance(now);
    m_impl->flush();
}

std::optional<time_point> dispatcher::nextTimer() const
{
    return m_impl->nextTimer();
}

dispatcher_status dispatcher::status() const
{
    return m_impl->status();
}

} // namespace jackdaw::coordination
