// Jobs of a cell: admission, claims on running tasks, completion and cancellation.
#include "coordination/cells/internal/cell_dispatcher_impl.h"

#include "coordination/cells/internal/cell_admission.h"
#include "coordination/cells/internal/late_jobs.h"

#include <algorithm>
#include <functional>
#include <set>

namespace jackdaw::cells {

using internal::run_state;
using internal::task_state;
using protocol::job_outcome;
using protocol::order_answer;
using protocol::upstream_report;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

    constexpr duration answerRetention = std::chrono::seconds(10); // resubmissions of a job may arrive seconds later
    // Between a caller's leaving and the owner: its connection's end is noticed, and the link from the origin carries the news.
    constexpr duration messageMargin = milliseconds(50);
    constexpr std::uint32_t retryWithoutUpstreamsMs = 1000; // upstreams report every 1 to 2 s
    // Run numbers per handover: more than the starts that one owner is expected to need for a task, so that the next owner's numbers
    // are higher. If they are not, the upstream refuses the start as superseded, and the run number is raised.
    constexpr std::uint32_t runsPerHandOver = 16;

    std::string toMs(duration value)
    {
        return std::to_string(duration_cast<milliseconds>(value).count());
    }

} // namespace

cell_dispatcher::impl::cell_job* cell_dispatcher::impl::findJob(std::string_view id)
{
    const auto found = jobs.find(id);
    return found == jobs.end() ? nullptr : found->second.get();
}

void cell_dispatcher::impl::submit(time_point now, const protocol::job_order& order, std::string_view origin)
{
    if (order.fencingToken != settings.token) {
        actions.emplace_back(owner_answer { { std::string(origin) }, protocol::makeOrderAnswer(order, job_outcome::not_owned, "the cell is owned under another token") });
        return;
    }
    originsHeardAt[std::string(origin)] = now;
    if (cell_job* known = findJob(order.id)) {
        known->addOrigin(origin, order, now);
        return;
    }
    if (const order_answer* answer = findCachedAnswer(order)) {
        order_answer copy = *answer;
        copy.submissionNumber = order.submissionNumber;
        copy.handOverCount = order.handOverCount;
        actions.emplace_back(owner_answer { { std::string(origin) }, std::move(copy) });
        return;
    }
    if (refusesSize(order, origin))
        return;
    for (const upstream_report& report : order.runsOn)
        onReport(now, report);
    auto owned = std::make_unique<cell_job>(order, now);
    cell_job& job = *owned;
    job.addOrigin(origin, order, now);
    for (internal::cell_step& step : job.steps) {
        for (internal::cell_task& task : step.tasks)
            task.lastRun = order.handOverCount * runsPerHandOver;
    }
    jobs.emplace(order.id, std::move(owned));
    addWork(job);
    claimRuns(now, job);
    if (job.isDone())
        return finishIfDone(now, job);
    if (now >= job.deadline)
        return endOverdue(now, job);
    for (const protocol::task_failures& known : order.failures)
        failures.addCrashes(now, known.task, known.crashes);
    if (!applyFailureHistory(now, job))
        return;
    if (evacuationStartsUntil) {
        if (evacuate(now, job))
            return;
    } else if (!job.hasBegun && order.handOverCount == 0 && !admit(now, job)) {
        return;
    }
    if (!areEarlierRunsKnown(now, job))
        note("earlier_runs_unknown", job.order.id, "hand_over=" + std::to_string(order.handOverCount) + " cells=" + std::to_string(settings.zoneCellCount) + " earlier_cells=" + std::to_string(order.earlierCellCount) + " in_other_cells=" + (mayRunInOtherCells(job) ? "yes" : "no") + " under_later_token=" + (mayRunUnderLaterToken(job) ? "yes" : "no"));
    job.isAdmitted = true;
    dispatch(now);
}

// A result answers every resubmission of a job. So does a move, since the other cell may still run the earlier submission; but a job that
// was handed over has runs here, of which the other cell does not know. Any other answer is only for the same order, if that is resent.
const order_answer* cell_dispatcher::impl::findCachedAnswer(const protocol::job_order& order) const
{
    const auto found = answeredJobs.find(order.id);
    if (found == answeredJobs.end())
        return nullptr;
    const cached_answer& known = found->second;
    const bool isResult = known.answer.outcome == job_outcome::completed || known.answer.outcome == job_outcome::failed;
    const bool isSameOrder = known.answer.submissionNumber == order.submissionNumber && known.answer.handOverCount == order.handOverCount;
    const bool isMove = known.answer.outcome == job_outcome::moved && order.mayMove && order.handOverCount == 0;
    return isResult || isMove || isSameOrder ? &known.answer : nullptr;
}

// Upstreams that only another cell has may fit, by their labels for example.
order_answer cell_dispatcher::impl::answerUnfitting(const protocol::job_order& order) const
{
    constexpr std::string_view reason = "a task fits no upstream of the service";
    const std::vector<std::string> cells = hooks.findCapableCells ? hooks.findCapableCells(order) : std::vector<std::string>();
    if (cells.empty())
        return protocol::makeOrderAnswer(order, job_outcome::failed, reason);
    if (!order.mayMove)
        return protocol::makeOrderAnswer(order, job_outcome::rejected, reason, retryWithoutUpstreamsMs);
    order_answer moved = protocol::makeOrderAnswer(order, job_outcome::moved, reason);
    moved.cell = cells[std::hash<std::string> {}(order.id) % cells.size()]; // spreads such jobs
    return moved;
}

// Returns false if the job was rejected, moved or failed, and has been answered.
bool cell_dispatcher::impl::admit(time_point now, cell_job& job)
{
    const auto serves = [&](const auto& item) { return item.second.lastReport.service == job.order.service; };
    if (std::none_of(upstreams.begin(), upstreams.end(), serves)) {
        finish(now, job, protocol::makeOrderAnswer(job.order, job_outcome::rejected, "no upstream of the service is known", retryWithoutUpstreamsMs));
        return false;
    }
    if (!canEverRun(job)) {
        finish(now, job, answerUnfitting(job.order));
        return false;
    }
    job.groups = shares.groupsOf(now, job, job.origins.begin()->first);
    job.isOfStarvingGroup = shares.isStarving(now, job.groups);
    shares.onAccepted(now, job.groups); // or given up below
    const internal::available_upstreams available(upstreams, serviceRatios, calls.expectedWait(now), now);
    const duration run = fastestRun(job, available);
    const duration link = calls.expectedWait(now) + overhead.expected(now);
    if (fitsNow(job, available) && now + link + run <= job.usefulEnd())
        return true;
    if (job.order.mayMove && hooks.findOtherCell) {
        if (const std::string cell = hooks.findOtherCell(job.order); !cell.empty()) {
            order_answer moved = protocol::makeOrderAnswer(job.order, job_outcome::moved, "full");
            moved.cell = cell;
            finish(now, job, std::move(moved));
            return false;
        }
    }
    const duration wait = estimateWait(now, job);
    if (now + wait + link + run <= job.usefulEnd())
        return true;
    if (mayRunLate(now, job, available)) {
        job.isLate = true;
        return true;
    }
    note("job_rejected", job.order.id, "wait_ms=" + toMs(wait) + " link_ms=" + toMs(link) + " run_ms=" + toMs(run) + " until_objective_ms=" + toMs(job.objectiveEnd - now) + " until_deadline_ms=" + toMs(job.deadline - now) + " tasks=" + std::to_string(job.waitingTasks()));
    const bool isHopeless = now + link + run > job.deadline;
    reject(now, job, isHopeless ? "the job takes longer than its caller waits" : "too much work is waiting", wait + link);
    return false;
}

void cell_dispatcher::impl::reject(time_point now, cell_job& job, std::string_view reason, duration wait)
{
    shares.onGivenUp(now, job.groups);
    finish(now, job, protocol::makeOrderAnswer(job.order, job_outcome::rejected, reason, internal::retryAfterMs(wait, job.order.id)));
}

bool cell_dispatcher::impl::mayRunLate(time_point now, const cell_job& job, const internal::available_upstreams& available) const
{
    const duration ownDelay = calls.expectedWait(now) + overhead.expected(now);
    const bool isAnyWaiting = std::any_of(jobs.begin(), jobs.end(), [&job](const auto& item) { return item.second.get() != &job && item.second->waitingTasks() > 0; });
    return !isAnyWaiting && internal::isWorthRunningLate(now, job, ownDelay + fastestRun(job, available), ownDelay) && fitsNow(job, available);
}

// Attaches runs of the job's tasks that an earlier owner or an earlier submission of the job started, and marks tasks that have
// ended in the meantime as done. A run that an earlier submission was stopping keeps its task from starting until it is gone.
void cell_dispatcher::impl::claimRuns(time_point now, cell_job& job)
{
    std::size_t step = 0;
    std::size_t index = 0;
    for (auto& [id, upstream] : upstreams) {
        for (auto& [name, record] : upstream.runs) {
            if (!record.job.empty() || !internal::findTask(job, name.task, step, index))
                continue;
            internal::cell_task& task = job.steps[step].tasks[index];
            record.job = job.order.id;
            record.step = static_cast<std::uint32_t>(step);
            record.index = static_cast<std::uint32_t>(index);
            record.need = job.order.steps[step].need;
            task.lastRun = std::max(task.lastRun, name.run);
            job.hasBegun = true;
            const bool isSurplus = task.state == task_state::active || task.state == task_state::done;
            note(isSurplus ? "run_surplus" : "run_claimed", name.task, "upstream=" + id + " run=" + std::to_string(name.run));
            if (!isSurplus)
                job.setState(step, index, task_state::active);
            else if (record.state == run_state::running)
                stopRun(now, upstream, name, record);
        }
    }
    for (const auto& [name, until] : unclaimedDoneTasks)
        job.markDone(name);
}

std::ptrdiff_t cell_dispatcher::impl::countRuns(std::string_view task) const
{
    std::ptrdiff_t count = 0;
    for (const auto& [id, upstream] : upstreams)
        count += upstream.countRuns(task);
    return count;
}

// A task with several runs, which may happen across owners and submissions, waits until the last of them is gone.
void cell_dispatcher::impl::requeue(cell_job& job, std::size_t step, std::size_t index)
{
    const std::string task = job.taskName(step, index);
    if (job.steps[step].tasks[index].state != task_state::active || countRuns(task) > 0)
        return;
    job.setState(step, index, task_state::waiting);
    updateHold(task);
}

void cell_dispatcher::impl::requeueRun(const run_record& record)
{
    if (cell_job* job = record.job.empty() ? nullptr : findJob(record.job))
        requeue(*job, record.step, record.index);
}

void cell_dispatcher::impl::finishIfDone(time_point now, cell_job& job)
{
    if (job.isDone())
        finish(now, job, protocol::makeOrderAnswer(job.order, job_outcome::completed, {}));
}

time_point cell_dispatcher::impl::lastWantedAt(const cell_job& job) const
{
    if (job.origins.empty())
        return job.abandonedAt;
    time_point last = job.submittedAt;
    for (const auto& [origin, submission] : job.origins) {
        if (const auto heard = originsHeardAt.find(origin); heard != originsHeardAt.end())
            last = std::max(last, heard->second);
    }
    return std::min(last, job.deadline);
}

time_point cell_dispatcher::impl::keptUntil(const cell_job& job) const
{
    return lastWantedAt(job) + settings.resubmissionDelay - messageMargin;
}

// Each origin knows its own order only, and takes an answer to another one for outdated.
void cell_dispatcher::impl::answerOrigins(const cell_job& job, const order_answer& answer)
{
    if (job.origins.empty())
        actions.emplace_back(owner_answer { {}, answer });
    for (const auto& [origin, waiting] : job.origins) {
        owner_answer own { { origin }, answer };
        own.answer.submissionNumber = waiting.submissionNumber;
        own.answer.handOverCount = waiting.handOverCount;
        actions.emplace_back(std::move(own));
    }
}

// Answers and removes the job, and stops its remaining runs.
void cell_dispatcher::impl::finish(time_point now, cell_job& job, order_answer answer)
{
    std::size_t left = 0;
    const time_point runsKeptUntil = keptUntil(job);
    for (auto& [id, upstream] : upstreams) {
        for (auto& [name, record] : upstream.runs) {
            if (record.job != job.order.id)
                continue;
            record.keptUntil = runsKeptUntil;
            if (record.state != run_state::stopping && record.state != run_state::uncertain)
                stopRun(now, upstream, name, record);
            record.job.clear();
            ++left;
        }
    }
    if (answer.outcome == job_outcome::completed)
        failures.forget(job.order.id + '.');
    note("job_ended", job.order.id, "outcome=" + std::string(protocol::toText(answer.outcome)) + " after_ms=" + toMs(now - job.submittedAt) + " until_objective_ms=" + toMs(job.objectiveEnd - now) + " runs_left=" + std::to_string(left));
    answerOrigins(job, answer);
    answeredJobs[job.order.id] = { std::move(answer), now + answerRetention };
    removeWork(job);
    jobs.erase(jobs.find(job.order.id));
}

void cell_dispatcher::impl::endOverdue(time_point now, cell_job& job)
{
    if (!job.hasBegun)
        shares.onGivenUp(now, job.groups);
    finish(now, job, protocol::makeOrderAnswer(job.order, job.hasBegun ? job_outcome::unfinished : job_outcome::rejected, "the caller's deadline passed", retryWithoutUpstreamsMs));
}

void cell_dispatcher::impl::checkJobs(time_point now)
{
    const internal::available_upstreams available(upstreams, serviceRatios, calls.expectedWait(now), now);
    std::vector<std::string> names; // checkJob() may remove the job from the map
    for (const auto& [id, job] : jobs)
        names.push_back(id);
    for (const std::string& id : names) {
        if (cell_job* job = findJob(id))
            checkJob(now, *job, available);
    }
}

void cell_dispatcher::impl::checkJob(time_point now, cell_job& job, const internal::available_upstreams& available)
{
    if (now >= job.deadline)
        return endOverdue(now, job);
    if (evacuationStartsUntil && evacuate(now, job))
        return;
    const duration path = job.hasBegun ? internal::unstartedCriticalPath(job) : job.declaredCriticalPath();
    job.isLate = now + fastestRun(job, available, path) + overhead.expected(now) > job.usefulEnd();
    if (job.hasBegun || !job.isLate || mayRunLate(now, job, available))
        return;
    const duration wait = estimateWait(now, job);
    note("job_given_up", job.order.id, "wait_ms=" + toMs(wait) + " until_objective_ms=" + toMs(job.objectiveEnd - now));
    reject(now, job, "other work went first", wait);
}

void cell_dispatcher::impl::answerCancel(std::string_view job, std::string_view origin, std::uint64_t submissionNumber)
{
    order_answer answer;
    answer.id = job;
    answer.submissionNumber = submissionNumber;
    answer.outcome = job_outcome::unfinished;
    answer.reason = "cancelled";
    actions.emplace_back(owner_answer { { std::string(origin) }, std::move(answer) });
}

void cell_dispatcher::submit(time_point now, const protocol::job_order& job, std::string_view origin)
{
    m_impl->submit(now, job, origin);
}

void cell_dispatcher::cancel(time_point now, std::string_view job, std::string_view origin, std::uint64_t submissionNumber)
{
    if (submissionNumber > 0)
        m_impl->answerCancel(job, origin, submissionNumber);
    internal::cell_job* known = m_impl->findJob(job);
    if (!known)
        return;
    if (const auto waiting = known->origins.find(origin); waiting != known->origins.end()) {
        if (submissionNumber > 0 && waiting->second.submissionNumber > submissionNumber)
            return; // the caller of the later order still waits
        known->abandonedAt = m_impl->lastWantedAt(*known);
        known->removeOrigin(origin);
    }
    if (!known->origins.empty())
        return;
    m_impl->finish(now, *known, protocol::makeOrderAnswer(known->order, job_outcome::unfinished, "cancelled"));
    m_impl->dispatch(now);
}

bool cell_dispatcher::cancelForCaller(time_point now, std::string_view job)
{
    internal::cell_job* known = m_impl->findJob(job);
    if (!known)
        return false;
    m_impl->finish(now, *known, protocol::makeOrderAnswer(known->order, job_outcome::unfinished, "cancelled"));
    m_impl->dispatch(now);
    return true;
}

void cell_dispatcher::onOriginLost(time_point now, std::string_view origin)
{
    std::vector<std::string> affected;
    for (const auto& [id, job] : m_impl->jobs) {
        if (job->origins.contains(origin))
            affected.push_back(id);
    }
    for (const std::string& id : affected)
        cancel(now, id, origin);
}

void cell_dispatcher::onOriginHeard(time_point heardAt, std::string_view origin)
{
    if (const auto known = m_impl->originsHeardAt.find(origin); known != m_impl->originsHeardAt.end())
        known->second = std::max(known->second, heardAt);
}

void cell_dispatcher::endSilentOrigins(time_point now)
{
    std::set<std::string, std::less<>> open;
    for (const auto& [id, job] : m_impl->jobs) {
        for (const auto& [origin, submission] : job->origins)
            open.insert(origin);
    }
    std::erase_if(m_impl->originsHeardAt, [&open](const auto& item) { return !open.contains(item.first); });
    const auto origins = m_impl->originsHeardAt; // onOriginLost() may change it
    for (const auto& [origin, heardAt] : origins) {
        if (now - heardAt < m_impl->settings.originSilenceLimit)
            continue;
        m_impl->note("origin_silent", origin, "heard_ms_ago=" + toMs(now - heardAt));
        onOriginLost(now, origin);
    }
}

// Whether every upstream that may run the job's tasks for an earlier owner is known here, with its runs. Unless the last owner has
// named these upstreams, they may be any of its cell.
bool cell_dispatcher::impl::areEarlierRunsKnown(time_point now, const cell_job& job) const
{
    const auto isAdopted = [this](const upstream_report& report) {
        const auto found = upstreams.find(report.id);
        return found != upstreams.end() && found->second.isAdopted;
    };
    const bool areNamed = job.order.areRunsKnown && std::all_of(job.order.runsOn.begin(), job.order.runsOn.end(), isAdopted);
    if (job.order.handOverCount == 0)
        return true;
    if (mayRunUnderLaterToken(job))
        return areEarlierLeasesOver(now, job.submittedAt);
    if (areNamed)
        return true;
    return mayRunInOtherCells(job) ? areEarlierLeasesOver(now, job.submittedAt) : isTakeoverComplete(now, job.submittedAt);
}

// An adopted upstream refuses earlier tokens only: it may have taken orders under a later one since.
bool cell_dispatcher::impl::mayRunUnderLaterToken(const cell_job& job) const
{
    return job.order.earlierToken > settings.token;
}

// The cell of an owner under another division of the zone had upstreams that belong to other cells here.
bool cell_dispatcher::impl::mayRunInOtherCells(const cell_job& job) const
{
    return settings.zoneCellCount > 1 && job.order.earlierCellCount != settings.zoneCellCount;
}

std::vector<upstream_report> cell_dispatcher::impl::upstreamsWithRunsOf(const cell_job& job) const
{
    std::size_t step = 0;
    std::size_t index = 0;
    const auto isOfJob = [&](const auto& item) { return internal::findTask(job, item.first.task, step, index); };
    std::vector<upstream_report> out;
    for (const auto& [id, upstream] : upstreams) {
        if (std::any_of(upstream.runs.begin(), upstream.runs.end(), isOfJob) || std::any_of(upstream.unansweredStarts.begin(), upstream.unansweredStarts.end(), isOfJob))
            out.push_back(upstream.lastReport);
    }
    for (const upstream_report& report : job.order.runsOn) {
        if (const auto found = upstreams.find(report.id); found != upstreams.end() && !found->second.isAdopted)
            out.push_back(report);
    }
    return out;
}

void cell_dispatcher::release(time_point now)
{
    for (auto& [id, job] : m_impl->jobs) {
        order_answer answer = protocol::makeOrderAnswer(job->order, job_outcome::released, "the owner of the cell changes");
        for (std::size_t step = 0; step < job->steps.size(); ++step) {
            for (std::size_t index = 0; index < job->steps[step].tasks.size(); ++index) {
                const internal::cell_task& task = job->steps[step].tasks[index];
                const std::string name = job->taskName(step, index);
                const auto crashes = static_cast<std::uint32_t>(m_impl->failures.crashes(name));
                if (task.state == task_state::done)
                    answer.doneTasks.push_back(name);
                else if (task.failedRuns > 0 || crashes > 0)
                    answer.failures.push_back({ name, task.failedRuns, crashes });
            }
        }
        answer.runsOn = m_impl->upstreamsWithRunsOf(*job);
        answer.areRunsKnown = m_impl->areEarlierRunsKnown(now, *job);
        m_impl->answerOrigins(*job, answer);
    }
    m_impl->note("cell_released", m_impl->settings.cell, "jobs=" + std::to_string(m_impl->jobs.size()));
    m_impl->jobs.clear();
    m_impl->upstreams.clear();
}

} // namespace jackdaw::cells
