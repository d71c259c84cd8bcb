// Upstreams of a cell: adoption, lists, ends, leases, health.
#include "coordination/cells/internal/cell_dispatcher_impl.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jackdaw::cells {

using internal::run_state;
using internal::task_state;
using protocol::upstream_report;
using std::chrono::milliseconds;

namespace {

    constexpr std::uint32_t lookWaitMs = 300; // three renewals within the shortest lease of 1 s
    constexpr duration idleLookInterval = std::chrono::seconds(1); // keeps an idle upstream known when no reports arrive
    constexpr duration repeatInterval = milliseconds(150); // of calls that were not answered; several within a lease
    constexpr duration stopSlack = milliseconds(20); // drift of the upstream's clock, and the wake-up of its timer
    constexpr duration orphanGrace = milliseconds(400); // for the desk of a lost owner's job to hand it over
    constexpr duration forgetAfter = std::chrono::seconds(10); // without report or answer
    constexpr int failuresToClose = 2; // in a row; with the usual 0.2 % of failures such a pair is rare
    constexpr duration firstClosure = milliseconds(500); // some run times of a short task
    constexpr duration longestClosure = std::chrono::seconds(4); // half of how long such disturbances use to last
    constexpr std::size_t maxClosedShare = 2; // at most one upstream in so many is closed for failures

    std::string quoted(std::string_view key, std::string_view value)
    {
        return std::string(key) + '=' + std::string(value);
    }

} // namespace

void cell_dispatcher::impl::onReport(time_point now, const upstream_report& report)
{
    for (const auto& [id, other] : upstreams) {
        if (other.lastReport.address != report.address || id == report.id)
            continue;
        if (other.lastReport.startedUnixMs > report.startedUnixMs)
            return; // a late report of a life that has ended
        removeUpstream(std::string(id), "another life reports at its address");
        break;
    }
    const auto [found, isNew] = upstreams.try_emplace(report.id, report);
    upstream_state& upstream = found->second;
    const upstream_report& known = upstream.lastReport;
    if (!isNew && !protocol::isNewer(report, known))
        return;
    if (!isNew && report.startedUnixMs > known.startedUnixMs) {
        requeueAllRuns(upstream, "restarted");
        upstream.restart(report);
    }
    if (isNew || known.isLeaving != report.isLeaving)
        note("upstream_state", report.id, quoted("leaving", report.isLeaving ? "yes" : "no") + " sequence=" + std::to_string(report.sequence));
    upstream.lastReport = report;
    upstream.heardAt = now;
    if (!upstream.isAdopted && !upstream.isPollPending && now >= upstream.nextPollAt)
        poll(now, upstream);
}

void cell_dispatcher::impl::requeueAllRuns(upstream_state& upstream, std::string_view cause)
{
    if (!upstream.runs.empty())
        note("runs_lost", upstream.lastReport.id, quoted("cause", cause) + " runs=" + std::to_string(upstream.runs.size()));
    const auto lost = std::exchange(upstream.runs, {});
    for (const auto& [name, record] : lost)
        requeueRun(record);
}

void cell_dispatcher::impl::removeUpstream(const std::string& id, std::string_view cause)
{
    const auto found = upstreams.find(id);
    if (found == upstreams.end())
        return;
    note("upstream_gone", id, quoted("cause", cause));
    requeueAllRuns(found->second, cause);
    upstreams.erase(found);
}

void cell_dispatcher::impl::poll(time_point now, upstream_state& upstream)
{
    poll_request order;
    order.target = { upstream.lastReport.id, upstream.lastReport.address };
    order.ackCursor = upstream.cursor;
    order.token = settings.token;
    order.onNewConnection = upstream.needsNewConnection;
    if (!upstream.runs.empty()) {
        order.expiresAtMs = upstream.extendLease(now, settings.maxLease);
        order.waitMs = upstream.needsNewConnection ? 0 : lookWaitMs;
    }
    upstream.isPollPending = true;
    upstream.pollSentAt = now;
    actions.emplace_back(std::move(order));
}

void cell_dispatcher::impl::recordAnswer(time_point now, upstream_state& upstream, const call_answer& answer)
{
    upstream.consecutiveUnanswered = 0;
    upstream.heardAt = now;
    // Answers overtake each other on different connections: the clock never goes back.
    if (answer.clockMs > 0 && (!upstream.clock.isKnown() || answer.clockMs >= upstream.clock.clockMs))
        upstream.clock = { answer.clockMs, now };
}

internal::upstream_state* cell_dispatcher::impl::findAnsweringUpstream(const upstream_target& target, const call_answer& answer)
{
    if (answer.outcome == call_outcome::fenced) {
        if (!isFenced)
            note("fenced", target.id, "token=" + std::to_string(settings.token));
        isFenced = true;
        return nullptr;
    }
    if (answer.outcome == call_outcome::other_life)
        removeUpstream(target.id, "another life answers at its address");
    const auto found = upstreams.find(target.id);
    return found == upstreams.end() ? nullptr : &found->second;
}

void cell_dispatcher::impl::applyPollAnswer(time_point now, upstream_state& upstream, const poll_request& order, const poll_answer& answer)
{
    if (answer.bornUnixMs != 0 && answer.bornUnixMs != upstream.lastReport.startedUnixMs) {
        upstream_report report = upstream.lastReport;
        report.startedUnixMs = answer.bornUnixMs;
        report.sequence = 0;
        requeueAllRuns(upstream, "restarted");
        upstream.restart(report);
        upstream.nextPollAt = now;
        return;
    }
    if (upstream.needsNewConnection)
        note("upstream_answers", upstream.lastReport.id, "runs=" + std::to_string(upstream.runs.size()));
    upstream.needsNewConnection = false;
    recordAnswer(now, upstream, answer.call);
    for (const ended_task& end : answer.ended) {
        if (end.number <= upstream.cursor)
            continue;
        upstream.cursor = end.number;
        onRunEnded(now, upstream, end);
    }
    reconcileRunning(now, upstream, answer);
    removeUnlistedRuns(upstream, answer);
    if (!upstream.isAdopted) {
        upstream.isAdopted = true;
        note("upstream_adopted", upstream.lastReport.id, "runs=" + std::to_string(upstream.runs.size()));
    }
    const bool hasUnsaidEnds = order.ackCursor < upstream.cursor;
    upstream.nextPollAt = upstream.runs.empty() && !hasUnsaidEnds ? now + idleLookInterval : now;
}

void cell_dispatcher::impl::reconcileRunning(time_point now, upstream_state& upstream, const poll_answer& answer)
{
    for (const running_task& running : answer.running) {
        const auto [found, isUnknown] = upstream.runs.try_emplace(running.run);
        run_record& record = found->second;
        if (isUnknown) {
            record.state = run_state::running;
            record.since = now;
            record.confirmedAt = now;
        } else if (record.state == run_state::starting || (record.state == run_state::uncertain && !record.isStopConfirmed)) {
            record.state = run_state::running;
            record.confirmedAt = now;
        }
    }
    if (!upstream.hasUnclaimedRuns())
        return;
    for (const auto& [id, job] : jobs)
        claimRuns(*job);
}

// A run that the list leaves out, though it was confirmed or its stop was answered before the list was asked for, is gone.
void cell_dispatcher::impl::removeUnlistedRuns(upstream_state& upstream, const poll_answer& answer)
{
    for (auto item = upstream.runs.begin(); item != upstream.runs.end();) {
        const run_record& record = item->second;
        const bool isListed = std::any_of(answer.running.begin(), answer.running.end(), [&](const running_task& running) { return running.run == item->first; });
        const bool wasConfirmed = record.state == run_state::running && record.confirmedAt < upstream.pollSentAt;
        const bool wasSettled = record.isStopConfirmed && record.stopConfirmedAt <= upstream.pollSentAt;
        if (isListed || !(wasConfirmed || wasSettled)) {
            ++item;
            continue;
        }
        const run_record gone = record;
        item = upstream.runs.erase(item);
        requeueRun(gone);
    }
}

void cell_dispatcher::impl::onRunEnded(time_point now, upstream_state& upstream, const ended_task& end)
{
    const auto found = upstream.runs.find(end.run);
    if (found == upstream.runs.end() || found->second.job.empty()) {
        if (end.how == end_kind::done)
            unclaimedDoneTasks[end.run.task] = now + forgetAfter;
        if (found != upstream.runs.end())
            upstream.runs.erase(found);
        return;
    }
    const run_record record = found->second;
    upstream.runs.erase(found);
    updateEjection(now, upstream, end.how);
    if (end.how == end_kind::done && record.expectedMs > 0) {
        const double ratio = std::chrono::duration<double, std::milli>(now - record.since).count() / record.expectedMs;
        upstream.ratio.add(ratio);
        serviceRatios[upstream.lastReport.service].add(ratio);
    }
    cell_job* job = findJob(record.job);
    if (!job)
        return;
    internal::cell_task& task = job->steps[record.step].tasks[record.index];
    if (task.lastRun != end.run.run && end.how != end_kind::done)
        return; // an earlier run; a later one is under way
    if (end.how == end_kind::done) {
        job->setState(record.step, record.index, task_state::done);
        return finishIfDone(now, *job);
    }
    note("run_ended_early", end.run.task, "upstream=" + upstream.lastReport.id + " run=" + std::to_string(end.run.run) + " how=" + std::string(toText(end.how)));
    if (end.how == end_kind::failed && ++task.failedRuns >= job->order.maxAttempts) {
        const std::string reason = "task " + end.run.task + " failed on " + upstream.lastReport.id + ", attempt " + std::to_string(task.failedRuns);
        return finish(now, *job, protocol::makeOrderAnswer(job->order, protocol::job_outcome::failed, reason));
    }
    requeue(*job, record.step, record.index);
}

// Load pattern: upstreams that fail all that they start look idle and draw ever more work. After some failures in a row an
// upstream is left alone, for longer each time; one task then shows whether it works again.
void cell_dispatcher::impl::updateEjection(time_point now, upstream_state& upstream, end_kind how)
{
    if (how == end_kind::done) {
        upstream.consecutiveFailures = 0;
        upstream.ejectionDuration = duration::zero();
        return;
    }
    if (how != end_kind::failed || ++upstream.consecutiveFailures < failuresToClose)
        return;
    const auto closed = static_cast<std::size_t>(std::count_if(upstreams.begin(), upstreams.end(), [now](const auto& item) { return item.second.ejectedUntil > now; }));
    if ((closed + 1) * maxClosedShare > upstreams.size())
        return;
    upstream.ejectionDuration = upstream.ejectionDuration == duration::zero() ? firstClosure : std::min(upstream.ejectionDuration * 2, longestClosure);
    upstream.ejectedUntil = now + upstream.ejectionDuration;
    note("upstream_closed", upstream.lastReport.id, "failed_in_row=" + std::to_string(upstream.consecutiveFailures) + " for_ms=" + std::to_string(std::chrono::duration_cast<milliseconds>(upstream.ejectionDuration).count()));
}

void cell_dispatcher::impl::stopRun(time_point now, upstream_state& upstream, const run_id& name, run_record& record)
{
    const bool isUncertain = record.state == run_state::uncertain || record.state == run_state::starting;
    if (record.state != run_state::uncertain)
        record.state = run_state::stopping;
    record.nextStopAt = now + repeatInterval;
    actions.emplace_back(stop_request { { upstream.lastReport.id, upstream.lastReport.address }, name, settings.token, isUncertain });
}

// A stop that was answered has ended its run within the upstream's bound, whether or not a list has said so.
void cell_dispatcher::impl::removeStoppedRuns(time_point now, upstream_state& upstream)
{
    for (auto item = upstream.runs.begin(); item != upstream.runs.end();) {
        if (!item->second.isStopConfirmed || now < item->second.stopConfirmedAt + settings.stopTime + stopSlack) {
            ++item;
            continue;
        }
        const run_record stopped = item->second;
        item = upstream.runs.erase(item);
        requeueRun(stopped);
    }
}

void cell_dispatcher::impl::checkUpstream(time_point now, upstream_state& upstream)
{
    if (upstream.needsNewConnection && !upstream.runs.empty() && now >= upstream.leaseEnd)
        requeueAllRuns(upstream, "lease ran out without an answer");
    removeStoppedRuns(now, upstream);
    for (auto& [name, record] : upstream.runs) {
        const bool isOrphan = record.job.empty() && record.state == run_state::running && now - record.since >= orphanGrace;
        const bool isStopDue = (record.state == run_state::stopping || record.state == run_state::uncertain) && !record.isStopConfirmed && now >= record.nextStopAt;
        if (isOrphan || isStopDue)
            stopRun(now, upstream, name, record);
    }
    if (!upstream.isPollPending && now >= upstream.nextPollAt)
        poll(now, upstream);
}

void cell_dispatcher::onUpstreamReport(time_point now, const upstream_report& report)
{
    m_impl->onReport(now, report);
    m_impl->dispatch(now);
}

void cell_dispatcher::releaseUpstream(time_point now, const std::string& id)
{
    const auto found = m_impl->upstreams.find(id);
    if (found == m_impl->upstreams.end())
        return;
    std::set<std::string> affected;
    for (const auto& [name, record] : std::exchange(found->second.runs, {}))
        affected.insert(record.job);
    m_impl->removeUpstream(id, "it belongs to another cell");
    for (const std::string& job : affected) {
        if (internal::cell_job* known = m_impl->findJob(job))
            m_impl->finish(now, *known, protocol::makeOrderAnswer(known->order, protocol::job_outcome::unfinished, "the cell was divided"));
    }
}

std::vector<std::string> cell_dispatcher::upstreamNames() const
{
    std::vector<std::string> names;
    for (const auto& [id, upstream] : m_impl->upstreams)
        names.push_back(id);
    return names;
}

void cell_dispatcher::onPoll(time_point now, const poll_request& order, const poll_answer& answer)
{
    internal::upstream_state* const answered = m_impl->findAnsweringUpstream(order.target, answer.call);
    if (!answered)
        return;
    internal::upstream_state& upstream = *answered;
    upstream.isPollPending = false;
    if (answer.call.outcome == call_outcome::done) {
        m_impl->applyPollAnswer(now, upstream, order, answer);
    } else {
        if (!upstream.needsNewConnection)
            m_impl->note("upstream_silent", order.target.id, quoted("outcome", toText(answer.call.outcome)) + " heard_ms_ago=" + std::to_string(std::chrono::duration_cast<milliseconds>(now - upstream.heardAt).count()) + " runs=" + std::to_string(upstream.runs.size()));
        upstream.needsNewConnection = true;
        ++upstream.consecutiveUnanswered;
        upstream.nextPollAt = now + repeatInterval;
        if (now - upstream.heardAt > forgetAfter)
            return m_impl->removeUpstream(order.target.id, "not heard");
    }
    if (!upstream.isPollPending && now >= upstream.nextPollAt)
        m_impl->poll(now, upstream);
    m_impl->dispatch(now);
}

void cell_dispatcher::onStop(time_point now, const stop_request& order, const call_answer& answer)
{
    internal::upstream_state* const answered = m_impl->findAnsweringUpstream(order.target, answer);
    if (!answered)
        return;
    internal::upstream_state& upstream = *answered;
    const auto run = upstream.runs.find(order.run);
    if (run == upstream.runs.end() || answer.outcome != call_outcome::done)
        return;
    m_impl->recordAnswer(now, upstream, answer);
    run->second.isStopConfirmed = true;
    run->second.stopConfirmedAt = now;
    upstream.nextPollAt = now;
    if (!upstream.isPollPending)
        m_impl->poll(now, upstream);
}

} // namespace jackdaw::cells
