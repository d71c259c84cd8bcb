// Runs lost with upstreams, and jobs given up because of tasks that crash upstreams.
#include "coordination/cells/internal/cell_dispatcher_impl.h"

#include <algorithm>

namespace jackdaw::cells {

using internal::failure_history;
using internal::task_state;
using protocol::job_outcome;

void cell_dispatcher::impl::addLosses(time_point now, const upstream_record& upstream, const std::map<run_id, run_record>& lost)
{
    std::map<std::string, time_point> startTimes; // by task
    time_point latest;
    for (const auto& [name, record] : lost) {
        if (!record.hasBegun)
            continue; // the upstream may have crashed before
        startTimes[name.task] = record.since;
        latest = std::max(latest, record.since);
    }
    for (const auto& [task, since] : startTimes) {
        failures.addLoss(now, task, upstream.lastReport.id, since == latest);
        note("task_lost", task, "upstream=" + upstream.lastReport.id + " runs=" + std::to_string(startTimes.size()) + " latest=" + (since == latest ? "yes" : "no") + " crashes=" + std::to_string(failures.crashes(task)) + " undecided=" + (failures.isUndecided(task) ? "yes" : "no"));
        updateHold(task);
    }
}

void cell_dispatcher::impl::noteSilence(time_point now, const upstream_record& upstream)
{
    std::map<std::string, bool> tasks;
    for (const auto& [name, record] : upstream.runs) {
        // The polls that renew the lease: the last one that was answered, and the last one that was sent. If this host stood still
        // between them, or since then, the lease may have expired meanwhile.
        const time_point renewed = std::max(record.since, upstream.listRequestedAt);
        const time_point sent = std::max(renewed, upstream.pollSentAt);
        tasks[name.task] = std::max(sent - renewed, now - sent) > settings.maxLease;
    }
    failures.addSilence(now, upstream.lastReport.id, tasks);
}

void cell_dispatcher::impl::onCrashed(time_point now, upstream_record& upstream, std::string_view cause)
{
    if (!upstream.needsNewConnection)
        noteSilence(now, upstream);
    const auto lost = upstream.runs;
    requeueAllRuns(upstream, cause);
    if (upstream.lastReport.isLeaving)
        return dismissLosses(upstream); // it ends as announced, together with its tasks
    addLosses(now, upstream, lost);
    confirmLosses(now, upstream);
}

void cell_dispatcher::impl::confirmLosses(time_point now, const upstream_record& upstream)
{
    const failure_history::confirmed_losses losses = failures.confirm(now, upstream.lastReport.id);
    for (const std::string& task : losses.excused) {
        note("task_crash_excused", task, "upstream=" + upstream.lastReport.id + " crashes=" + std::to_string(failures.crashes(task)));
        updateHold(task);
    }
    for (const std::string& task : losses.counted) {
        note("task_crash_counted", task, "upstream=" + upstream.lastReport.id + " crashes=" + std::to_string(failures.crashes(task)));
        if (cell_job* job = findJobOfTask(task))
            applyFailureHistory(now, *job);
    }
}

void cell_dispatcher::impl::dismissLosses(const upstream_record& upstream)
{
    for (const std::string& task : failures.dismiss(upstream.lastReport.id)) {
        note("task_loss_dismissed", task, "upstream=" + upstream.lastReport.id);
        updateHold(task);
    }
}

cell_dispatcher::impl::cell_job* cell_dispatcher::impl::findJobOfTask(std::string_view task)
{
    return findJob(task.substr(0, task.find('.')));
}

void cell_dispatcher::impl::updateHold(std::string_view task)
{
    std::size_t step = 0;
    std::size_t index = 0;
    cell_job* job = findJobOfTask(task);
    if (!job || !internal::findTask(*job, task, step, index))
        return;
    const task_state state = job->steps[step].tasks[index].state;
    const bool isSuspect = failures.isSuspect(task);
    if (state == task_state::waiting && isSuspect)
        job->setState(step, index, task_state::held);
    else if (state == task_state::held && !isSuspect)
        job->setState(step, index, task_state::waiting);
}

bool cell_dispatcher::impl::applyFailureHistory(time_point now, cell_job& job)
{
    if (failures.isEmpty())
        return true;
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        for (std::size_t index = 0; index < job.steps[step].tasks.size(); ++index) {
            const std::string task = job.taskName(step, index);
            updateHold(task);
            const std::size_t count = failures.crashes(task);
            if (count < failure_history::crashesToGiveUp || job.steps[step].tasks[index].state == task_state::done)
                continue;
            finish(now, job, protocol::makeOrderAnswer(job.order, job_outcome::failed, std::to_string(count) + " upstreams crashed while they ran task " + task));
            return false;
        }
    }
    return true;
}

// Load pattern: a task that crashes upstreams, and tasks beside it that were lost with it; which one it was is not known yet.
// Held tasks take only capacity that the waiting ones leave, and don't count as demand for admission.
void cell_dispatcher::impl::dispatchHeld(time_point now)
{
    std::vector<cell_job*> withHeld;
    for (const auto& [id, job] : jobs) {
        const bool hasHeld = std::any_of(job->steps.begin(), job->steps.end(), [](const internal::cell_step& step) { return step.held > 0; });
        if (hasHeld && mayStart(now, *job))
            withHeld.push_back(job.get());
    }
    if (withHeld.empty())
        return;
    std::sort(withHeld.begin(), withHeld.end(), [](const cell_job* left, const cell_job* right) { return left->rank() < right->rank(); });
    internal::available_upstreams available(upstreams, serviceRatios, calls.expectedWait(now), now);
    for (cell_job* job : withHeld)
        dispatchHeld(now, *job, available);
}

void cell_dispatcher::impl::dispatchHeld(time_point now, cell_job& job, internal::available_upstreams& available)
{
    const duration fastest = fastestRun(job, available);
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        internal::cell_step& step = job.steps[number];
        const protocol::job_step& shape = job.order.steps[number];
        for (std::size_t index = 0; index < step.tasks.size() && step.held > 0; ++index) {
            if (step.tasks[index].state != task_state::held || failures.isUndecided(job.taskName(number, index)))
                continue;
            const internal::task_demand demand { &shape, job.order.service, job.order.id, static_cast<std::uint32_t>(number), step.tasks[index].lastUpstream, fastest, job.objectiveEnd - now - overhead.expected(now), true };
            internal::upstream_record* upstream = available.choose(demand);
            if (!upstream)
                break;
            start(now, job, number, index, *upstream);
            available.reserve(*upstream, shape.need);
        }
    }
}

} // namespace jackdaw::cells
