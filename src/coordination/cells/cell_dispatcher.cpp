// Scheduling of waiting jobs, task starts and their answers, and timers.
#include "coordination/cells/cell_dispatcher.h"

#include "coordination/cells/internal/cell_admission.h"
#include "coordination/cells/internal/cell_dispatcher_impl.h"
#include "coordination/cells/internal/run_time_sample.h"

#include <algorithm>
#include <utility>

namespace jackdaw::cells {

using internal::run_state;
using internal::task_state;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

    constexpr duration busyInterval = milliseconds(20); // about an eighth of the shortest objective seen, 156 ms
    constexpr duration idleInterval = milliseconds(250); // without jobs and runs: idle upstreams are polled once a second
    constexpr duration expiryInterval = idleInterval; // entries that expire after seconds are kept this much longer at most
    constexpr duration fencingMargin = milliseconds(300); // for a fenced owner's poll to be answered and its next timer to run
    // A few run times of a short task. Doubled with each consecutive refusal.
    constexpr duration refusalEjection = milliseconds(200);
    // A start that waits longer than its job may take is late; a second one may still be of use. Beyond the longer bound a lease
    // of 1 s is nearly over.
    constexpr duration minAnswerLimit = milliseconds(150);
    constexpr duration maxAnswerLimit = milliseconds(600);
    constexpr int maxRefusalDoublings = 4; // gives 1.6 s, about as long as an upstream takes to report again
    // Skips the run numbers that an owner before the previous one may have used.
    constexpr std::uint32_t supersededRunIncrement = 16;

    // A longer lease could not be granted, since its end must come before callers that have just left are back.
    constexpr duration longestSilenceBeforeStart = milliseconds(300);

    cell_settings withLeaseInTime(cell_settings settings)
    {
        settings.maxLease = std::min(settings.maxLease, settings.resubmissionDelay - longestSilenceBeforeStart);
        return settings;
    }

} // namespace

cell_dispatcher::impl::impl(cell_settings wanted, cell_hooks wantedHooks, time_point now)
    : settings(withLeaseInTime(std::move(wanted)))
    , hooks(std::move(wantedHooks))
    , ownedSince(now)
{
}

void cell_dispatcher::impl::note(std::string_view event, std::string_view subject, std::string inputs) const
{
    if (hooks.onDecision)
        hooks.onDecision({ event, std::string(subject), std::move(inputs) });
}

// An owner that is cut off from the other hosts goes on starting tasks and renewing leases until it hands its jobs over, or until its
// next poll of an upstream adopted here.
bool cell_dispatcher::impl::areEarlierLeasesOver(time_point now, time_point handedOverAt) const
{
    const auto longestLease = duration_cast<duration>(settings.maxLease * (1 + upstream_record::clockDrift));
    return now - std::max(handedOverAt, firstAdoptedAt) >= idlePollInterval + fencingMargin + longestLease;
}

// Whether the runs that earlier owners of this cell may have started for a job handed over at the given time are known: all upstreams
// are adopted, or every lease of earlier owners has expired.
bool cell_dispatcher::impl::isTakeoverComplete(time_point now, time_point handedOverAt) const
{
    if (areEarlierLeasesOver(now, handedOverAt))
        return true;
    const bool isListOld = hooks.upstreamsToldUntil && hooks.upstreamsToldUntil() < handedOverAt;
    const bool hasHeardAll = !isListOld && (!hooks.upstreamsHeardSince || now - hooks.upstreamsHeardSince() >= 2 * settings.reportInterval);
    return hasHeardAll && !upstreams.empty() && std::all_of(upstreams.begin(), upstreams.end(), [](const auto& item) { return item.second.isAdopted; });
}

void cell_dispatcher::impl::logTakeover(time_point now)
{
    if (isTakeoverLogged || !isTakeoverComplete(now, ownedSince))
        return;
    isTakeoverLogged = true;
    const auto adopted = std::count_if(upstreams.begin(), upstreams.end(), [](const auto& item) { return item.second.isAdopted; });
    note("takeover_complete", settings.cell, "after_ms=" + std::to_string(duration_cast<milliseconds>(now - ownedSince).count()) + " adopted=" + std::to_string(adopted) + " known=" + std::to_string(upstreams.size()));
}

bool cell_dispatcher::impl::canEverRun(const cell_job& job) const
{
    return std::all_of(job.order.steps.begin(), job.order.steps.end(), [&](const protocol::job_step& step) {
        const internal::task_demand demand { &step, job.order.service, job.order.id, 0, {}, {}, {}, false };
        return std::any_of(upstreams.begin(), upstreams.end(), [&](const auto& item) { return internal::mayEverRun(item.second, demand); });
    });
}

bool cell_dispatcher::impl::fitsNow(const cell_job& job, const internal::available_upstreams& available) const
{
    const bool hasEarlierJob = std::any_of(jobs.begin(), jobs.end(), [&](const auto& item) {
        return item.second.get() != &job && item.second->waitingTasks() > 0 && item.second->rank() < job.rank();
    });
    if (hasEarlierJob)
        return false;
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        if (!job.isReady(number))
            continue;
        const internal::task_demand demand { &job.order.steps[number], job.order.service, job.order.id, static_cast<std::uint32_t>(number), {}, {}, {}, false };
        if (!available.fitsAll(demand, job.steps[number].waiting))
            return false;
    }
    return true;
}

duration cell_dispatcher::impl::estimateWait(time_point now, const cell_job& job) const
{
    std::size_t ahead = job.waitingTasks();
    for (const auto& [id, other] : jobs) {
        if (other.get() != &job && other->rank() < job.rank())
            ahead += other->waitingTasks();
    }
    std::vector<duration> untilEnds;
    std::size_t freePlaces = 0;
    const duration ownDelay = calls.expectedWait(now);
    for (const auto& [id, upstream] : upstreams) {
        if (!internal::isAvailable(upstream, now) || upstream.lastReport.service != job.order.service)
            continue;
        const double ratio = internal::expectedRatio(upstream, internal::serviceRatio(serviceRatios, job.order.service), now);
        for (const auto& [name, record] : upstream.runs) {
            if (record.state == run_state::stopping) {
                untilEnds.push_back(settings.stopTime);
                continue;
            }
            const duration expected = duration_cast<duration>(std::chrono::duration<double, std::milli>(record.expectedMs * ratio));
            untilEnds.push_back(std::max(expected - internal::ageOf(now, record, ownDelay), expected / 8));
        }
        // Free capacity for one task counts as a run that ends now. Places beyond the number of waiting tasks change nothing.
        const protocol::job_step& shape = job.order.steps.front();
        if (shape.need.millicores > 0)
            freePlaces += std::min(static_cast<std::size_t>(std::max<std::int64_t>(upstream.freeCapacity().millicores / shape.need.millicores, 0)), ahead - freePlaces);
    }
    untilEnds.insert(untilEnds.end(), freePlaces, duration::zero());
    return internal::expectedWait(std::move(untilEnds), ahead);
}

duration cell_dispatcher::impl::fastestRun(const cell_job& job, const internal::available_upstreams& available)
{
    return fastestRun(job, available, job.declaredCriticalPath());
}

duration cell_dispatcher::impl::fastestRun(const cell_job& job, const internal::available_upstreams& available, duration declared)
{
    const double fastest = available.fastestRatio(job.order.service, job.order.steps.front());
    return duration_cast<duration>(declared * (fastest == 0 ? 1 : fastest));
}

void cell_dispatcher::impl::dispatch(time_point now)
{
    if (isFenced)
        return;
    dispatchWaiting(now);
    dispatchHeld(now);
}

// Input that was read late may call for starts before the next check of deadlines.
// The lease that an upstream has already holds for a new run as well, so that much time must be left before the job's callers could be
// back: with a lease of 1 s, an origin must have been heard within 0.2 s.
bool cell_dispatcher::impl::mayStart(time_point now, const cell_job& job) const
{
    const bool isLeaseInTime = upstream_record::longestLeaseUntil(now, keptUntil(job)) >= settings.maxLease;
    return now < job.deadline && isLeaseInTime && mayStartWhileEvacuated(now, job) && areEarlierRunsKnown(now, job);
}

// Load pattern: hundreds of waiting jobs, and a task that ends every millisecond. A heap orders only as many jobs as there is
// free capacity for.
void cell_dispatcher::impl::dispatchWaiting(time_point now)
{
    std::vector<cell_job*> waiting;
    for (const auto& [id, job] : jobs) {
        if (job->isAdmitted && job->waitingTasks() > 0)
            waiting.push_back(job.get());
    }
    if (waiting.empty())
        return;
    for (auto& [id, upstream] : upstreams) {
        if (!internal::isLeaseLongEnough(upstream, now))
            upstream.leaseLimit = leaseLimitOf(upstream); // runs may have ended since
    }
    internal::available_upstreams available(upstreams, serviceRatios, calls.expectedWait(now), now);
    std::erase_if(waiting, [&available](const cell_job* job) { return !canStartAny(*job, available); });
    const auto hasLaterRank = [](const cell_job* left, const cell_job* right) { return right->rank() < left->rank(); };
    std::make_heap(waiting.begin(), waiting.end(), hasLaterRank);
    while (!waiting.empty()) {
        std::pop_heap(waiting.begin(), waiting.end(), hasLaterRank);
        cell_job& first = *waiting.back();
        waiting.pop_back();
        if (!mayStart(now, first) || !canStartAny(first, available))
            continue;
        dispatchJob(now, first, available);
        std::erase_if(waiting, [&available](const cell_job* job) { return !canStartAny(*job, available); });
        std::make_heap(waiting.begin(), waiting.end(), hasLaterRank);
    }
}

// False if none of the job's ready tasks fits on any available upstream.
bool cell_dispatcher::impl::canStartAny(const cell_job& job, const internal::available_upstreams& available)
{
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        if (job.steps[number].waiting > 0 && available.hasCapacityFor(job.order.service, job.order.steps[number].need) && job.isReady(number))
            return true;
    }
    return false;
}

// Starts waiting tasks of the job's ready steps, up to the first task for which no upstream is chosen.
void cell_dispatcher::impl::dispatchJob(time_point now, cell_job& job, internal::available_upstreams& available)
{
    const duration fastest = fastestRun(job, available);
    const duration timeLeft = job.objectiveEnd - now - overhead.expected(now);
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        internal::cell_step& step = job.steps[number];
        const protocol::job_step& shape = job.order.steps[number];
        if (step.waiting == 0 || !job.isReady(number))
            continue;
        for (std::size_t index = 0; index < step.tasks.size(); ++index) {
            if (step.tasks[index].state != task_state::waiting)
                continue;
            const internal::task_demand demand { &shape, job.order.service, job.order.id, static_cast<std::uint32_t>(number), step.tasks[index].lastUpstream, fastest, timeLeft, false };
            internal::upstream_record* upstream = available.choose(demand);
            if (!upstream)
                return;
            start(now, job, number, index, *upstream);
            available.reserve(*upstream, shape.need);
        }
    }
    if (job.waitingTasks() == 0)
        note("job_started", job.order.id, "waited_ms=" + std::to_string(duration_cast<milliseconds>(now - job.submittedAt).count()) + " hand_over=" + std::to_string(job.order.handOverCount) + " until_objective_ms=" + std::to_string(duration_cast<milliseconds>(job.objectiveEnd - now).count()));
}

void cell_dispatcher::impl::start(time_point now, cell_job& job, std::size_t step, std::size_t index, upstream_record& upstream)
{
    internal::cell_task& task = job.steps[step].tasks[index];
    const protocol::job_step& shape = job.order.steps[step];
    run_record record;
    record.job = job.order.id;
    record.step = static_cast<std::uint32_t>(step);
    record.index = static_cast<std::uint32_t>(index);
    record.need = shape.need;
    record.expectedMs = shape.estimateMs;
    record.since = now;
    record.answerLimit = std::clamp(job.objectiveEnd - job.submittedAt, minAnswerLimit, maxAnswerLimit);
    record.isSuspect = failures.isSuspect(job.taskName(step, index));
    const run_id name { job.taskName(step, index), ++task.lastRun };
    task.lastUpstream = upstream.lastReport.id;
    job.setState(step, index, task_state::active);
    job.hasBegun = true;
    record.token = nextToken(now, upstream);
    upstream.runs[name] = record;
    upstream.isAtStartBound = ++upstream.startsUnderWay >= internal::maxStartsUnderWay;
    actions.emplace_back(start_request { upstream.target(), name, job.spec, upstream.extendLease(now, leaseFor(now, upstream)), record.token, now, settings.maxLease });
    calls.onSent(now);
    repairs.onStart();
    if (!upstream.isPollPending)
        poll(now, upstream);
}

bool cell_dispatcher::impl::endStart(upstream_record& upstream)
{
    --upstream.startsUnderWay;
    if (!upstream.isAtStartBound || upstream.startsUnderWay > internal::maxStartsUnderWay / 2)
        return false;
    upstream.isAtStartBound = false;
    return true;
}

cell_dispatcher::cell_dispatcher(cell_settings settings, cell_hooks hooks, time_point now)
    : m_impl(std::make_unique<impl>(std::move(settings), std::move(hooks), now))
{
}
cell_dispatcher::~cell_dispatcher() = default;

void cell_dispatcher::onStart(time_point now, const start_request& order, const call_answer& answer)
{
    m_impl->calls.onEnded(now, order.sentAt, isAnswer(answer.outcome));
    internal::upstream_record* const answering = m_impl->findAnsweringUpstream(now, order.target, order.token, answer);
    if (!answering)
        return;
    const bool mayStartMore = m_impl->endStart(*answering);
    m_impl->applyStartAnswer(now, *answering, order, answer);
    if (mayStartMore)
        m_impl->dispatch(now);
}

void cell_dispatcher::impl::applyStartAnswer(time_point now, upstream_record& upstream, const start_request& order, const call_answer& answer)
{
    if (answer.outcome == call_outcome::silent)
        noteUnanswered(upstream, order.token);
    const auto run = upstream.runs.find(order.run);
    if (run == upstream.runs.end())
        return; // the run has ended in the meantime
    run_record& record = run->second;
    if (answer.outcome == call_outcome::done) {
        recordAnswer(now, upstream, answer);
        upstream.consecutiveRefusals = 0;
        record.hasBegun = true;
        record.startClockMs = answer.clockMs;
        upstream.unansweredStarts.erase(order.run);
        if (record.state == run_state::starting) {
            record.state = run_state::running;
            record.confirmedAt = now;
        }
        return;
    }
    note("start_refused", order.run.task, "upstream=" + order.target.id + " run=" + std::to_string(order.run.run) + " outcome=" + std::string(toText(answer.outcome)));
    if (answer.outcome == call_outcome::silent) {
        if (record.state == run_state::starting || record.state == run_state::stopping)
            onUnansweredStart(now, upstream, order.run, record);
        return;
    }
    // The start was refused without effect, so the run does not exist.
    const run_record refused = record;
    upstream.runs.erase(run);
    upstream.unansweredStarts.erase(order.run);
    if (answer.outcome == call_outcome::unhealthy || answer.outcome == call_outcome::not_received || answer.outcome == call_outcome::no_room) {
        upstream.consecutiveRefusals = std::min(upstream.consecutiveRefusals + 1, maxRefusalDoublings);
        upstream.ejectedUntil = now + refusalEjection * (1 << (upstream.consecutiveRefusals - 1));
    }
    if (answer.clockMs > 0)
        recordAnswer(now, upstream, answer);
    if (cell_job* job = findJob(refused.job)) {
        if (answer.outcome == call_outcome::invalid)
            return finish(now, *job, protocol::makeOrderAnswer(job->order, protocol::job_outcome::unfinished, "the upstream can't read the start"));
        if (answer.outcome == call_outcome::superseded)
            job->steps[refused.step].tasks[refused.index].lastRun += supersededRunIncrement;
    }
    requeueRun(refused);
    dispatch(now);
}

void cell_dispatcher::advance(time_point now)
{
    m_impl->logTakeover(now);
    for (auto& [id, upstream] : m_impl->upstreams)
        m_impl->checkUpstream(now, upstream);
    if (!m_impl->jobs.empty())
        m_impl->checkJobs(now);
    if (now >= m_impl->nextExpiryAt)
        m_impl->removeExpired(now);
    m_impl->dispatch(now);
}

// Load pattern: thousands of ended jobs are remembered, and timers run each 20 ms.
void cell_dispatcher::impl::removeExpired(time_point now)
{
    nextExpiryAt = now + expiryInterval;
    failures.removeExpired(now);
    std::erase_if(answeredJobs, [now](const auto& item) { return item.second.until <= now; });
    std::erase_if(removedUpstreams, [now](const auto& item) { return item.second.until <= now; });
    std::erase_if(unclaimedDoneTasks, [now](const auto& item) { return item.second <= now; });
}

time_point cell_dispatcher::nextTimer(time_point now) const
{
    const bool hasRuns = std::any_of(m_impl->upstreams.begin(), m_impl->upstreams.end(), [](const auto& item) { return !item.second.runs.empty(); });
    return now + (hasRuns || !m_impl->jobs.empty() ? busyInterval : idleInterval);
}

bool cell_dispatcher::needsUpstreamNews(time_point now) const
{
    const impl& self = *m_impl;
    return self.hooks.upstreamsToldUntil && std::any_of(self.jobs.begin(), self.jobs.end(), [&](const auto& item) {
        const internal::cell_job& job = *item.second;
        return job.order.handOverCount > 0 && job.waitingTasks() > 0 && self.hooks.upstreamsToldUntil() < job.submittedAt && !self.areEarlierRunsKnown(now, job);
    });
}

bool cell_dispatcher::isFenced() const
{
    return m_impl->isFenced;
}

std::vector<cell_action> cell_dispatcher::takeActions()
{
    return std::exchange(m_impl->actions, {});
}

std::vector<protocol::service_free_capacity> cell_dispatcher::rooms(time_point now) const
{
    std::map<std::string, protocol::service_free_capacity> byService;
    for (const auto& [id, upstream] : m_impl->upstreams) {
        protocol::service_free_capacity& room = byService[upstream.lastReport.service];
        room.service = upstream.lastReport.service;
        const std::int64_t millicores = internal::usableCapacity(upstream, now).millicores;
        if (!m_impl->evacuationStartsUntil && internal::isAvailable(upstream, now) && millicores > 0)
            room.millicores.push_back(static_cast<std::uint32_t>(millicores));
    }
    for (const auto& [id, job] : m_impl->jobs) {
        if (job->waitingTasks() > 0)
            byService[job->order.service].millicores.clear();
    }
    std::vector<protocol::service_free_capacity> out;
    out.reserve(byService.size());
    for (auto& [service, room] : byService)
        out.push_back(std::move(room));
    return out;
}

work_in_hand cell_dispatcher::workInHand() const
{
    return m_impl->workInHand();
}

cell_counts cell_dispatcher::counts() const
{
    cell_counts out;
    out.jobs = m_impl->jobs.size();
    for (const auto& [id, job] : m_impl->jobs)
        out.waitingTasks += job->waitingTasks();
    for (const auto& [id, upstream] : m_impl->upstreams)
        out.adoptedUpstreams += upstream.isAdopted ? 1 : 0;
    return out;
}

} // namespace jackdaw::cells
