// Upstreams of a cell: adoption, polls, ended tasks, leases and health.
#include "coordination/cells/internal/cell_dispatcher_impl.h"

#include "coordination/cells/fencing_token.h"

#include <algorithm>
#include <utility>

namespace jackdaw::cells {

using internal::run_state;
using internal::task_state;
using protocol::upstream_report;
using std::chrono::milliseconds;

namespace {

    constexpr std::uint32_t pollWaitMs = 300; // gives three renewals within the shortest lease of 1 s
    constexpr std::uint32_t shortPollWaitMs = 100; // gives two renewals within a short lease, and one soon after it need not be short
    constexpr duration shortLease = milliseconds(600); // two waits of a poll
    // A run that no job has claimed may have lost its callers up to 1 s ago, the time in which a silent owner or origin is noticed. Both
    // together stay below the 1.3 s after which callers are back.
    constexpr duration maxLeaseOfUnclaimedRuns = milliseconds(270);
    // Added to the time that a poll waits for a task to end. The longest leaves time for another poll within the shortest lease.
    constexpr int pollAnswerTimes = 2;
    constexpr duration minPollAnswerTime = milliseconds(200);
    constexpr duration maxPollAnswerTime = milliseconds(450);
    constexpr int stopAnswerTimes = 2; // a stop is sent again when it has not been answered for so long
    constexpr duration maxStopTime = milliseconds(600);
    constexpr duration retryInterval = milliseconds(150); // between calls while unanswered; several fit within a lease
    constexpr duration stopMargin = milliseconds(20); // for drift of the upstream's clock and late wake-up of its timer
    constexpr duration lateCallLimit = std::chrono::seconds(12); // an unanswered call may be carried out up to this much later
    // For an earlier owner to notice that it is fenced, with its next poll, and for the job's origin host to forward the job.
    constexpr duration claimGracePeriod = milliseconds(400);
    // Nobody has to notice anything. The loss was noticed after 1 s; if it took the job's origin host as well, the caller sends the
    // job again 1.3 s after the loss, perhaps to another zone.
    constexpr duration claimGracePeriodAfterLoss = milliseconds(200);
    // An upstream is removed this long after its last report or answer, when its unanswered starts have expired. Ended tasks without
    // a known job are remembered as long.
    constexpr duration removalDelay = std::chrono::seconds(13);
    // For an upstream that is back in the same life after a long cut. One that is back later refuses a call, and the cell is claimed anew.
    constexpr duration removedUpstreamRetention = std::chrono::minutes(10);
    constexpr int failuresToEject = 2; // consecutive; with the usual failure rate of 0.2 % two in a row are rare
    constexpr duration minEjection = milliseconds(500); // a few run times of a short task
    constexpr duration maxEjection = std::chrono::seconds(4); // half of the usual duration of such faults
    constexpr std::size_t upstreamsPerEjection = 2; // a failing upstream is not ejected if more than one in this many would be

    std::string formatField(std::string_view key, std::string_view value)
    {
        return std::string(key) + '=' + std::string(value);
    }

} // namespace

void cell_dispatcher::impl::onReport(time_point now, const upstream_report& report)
{
    const bool isReplaced = std::any_of(upstreams.begin(), upstreams.end(), [&](const auto& item) {
        const upstream_report& other = item.second.lastReport;
        return item.second.isAdopted && item.first != report.id && other.address == report.address && other.startedUnixMs > report.startedUnixMs;
    });
    if (isReplaced)
        return; // a late report of an earlier incarnation
    const auto [found, isNew] = upstreams.try_emplace(report.id, report);
    upstream_record& upstream = found->second;
    const upstream_report& known = upstream.lastReport;
    const bool isFirstOfLife = isNew || !upstream.isCapacityKnown;
    const bool isElsewhere = report.startedUnixMs == known.startedUnixMs && !upstream.answeringAddress.empty() && report.address != upstream.answeringAddress;
    if (report.startedUnixMs < known.startedUnixMs || isElsewhere)
        return; // late, or another sender's: no process changes its address
    if (isNew) {
        upstream.life = ++lastLife;
        if (const auto removed = removedUpstreams.find(report.id); removed != removedUpstreams.end())
            upstream.tokenRaises = removed->second.tokenRaises;
    }
    if (!isNew && report.startedUnixMs > known.startedUnixMs) {
        // Its runs are lost only if the upstream itself answers that it has restarted: the report may be another writer's.
        upstream.reportedRestart = report;
        upstream.mustPollAgain = upstream.isPollPending;
        if (!upstream.isPollPending)
            poll(now, upstream);
        return;
    }
    const bool wasLeaving = known.isLeaving;
    if (isFirstOfLife)
        upstream.reports = { report, now };
    else if (!upstream.reports.accept(now, report))
        return;
    upstream.lastReport = upstream.reports.latest();
    if (isNew || wasLeaving != known.isLeaving)
        note("upstream_state", report.id, formatField("leaving", known.isLeaving ? "yes" : "no") + " sequence=" + std::to_string(report.sequence));
    upstream.coldUntil = now + milliseconds(known.coldLeftMs);
    upstream.largestCapacity.raiseTo(known.capacity);
    upstream.isCapacityKnown = true;
    upstream.heardAt = now;
    if (!upstream.isAdopted && !upstream.isPollPending && now >= upstream.nextPollAt)
        poll(now, upstream);
}

void cell_dispatcher::impl::onUnansweredStart(time_point now, upstream_record& upstream, const run_id& name, run_record& record)
{
    if (record.hasBegun)
        return; // a list has named the run in the meantime
    ++upstream.consecutiveUnanswered;
    noteUnanswered(upstream, record.token);
    upstream.unansweredStarts[name] = { record, record.since + lateCallLimit };
    upstream.unansweredRenewalAt = record.since;
    if (record.state == run_state::starting)
        stopRun(now, upstream, name, record);
    record.state = run_state::uncertain;
}

// Runs that the earlier incarnation listed are gone. A start that it may not have carried out is stopped in the new one before its
// task starts again. If the new one lists the run, it stays only as the one run of its task. running: the list of the new incarnation.
void cell_dispatcher::impl::onRestart(time_point now, upstream_record& upstream, const upstream_report& report, std::span<const running_task> running)
{
    if (!upstream.needsNewConnection)
        noteSilence(now, upstream);
    const auto before = std::exchange(upstream.runs, {});
    const bool wasLeaving = upstream.lastReport.isLeaving; // then it ended as announced, together with its tasks
    upstream.restart(report, ++lastLife);
    for (const auto& [name, record] : before) {
        if (!record.hasBegun)
            upstream.unansweredStarts[name] = { record, record.since + lateCallLimit };
        else if (!record.isListed)
            upstream.runs.emplace(name, record);
    }
    for (const auto& [name, start] : upstream.unansweredStarts) {
        const auto [found, isAdded] = upstream.runs.emplace(name, start.record);
        if (!isAdded || before.contains(name))
            continue;
        found->second.job.clear(); // the task has been requeued since
        found->second.keptUntil = now + settings.maxLease;
    }
    const auto isListed = [running](const run_id& name) { return std::any_of(running.begin(), running.end(), [&name](const running_task& task) { return task.run == name; }); };
    if (!running.empty())
        upstream.noteLease(now, settings.maxLease); // late starts bring their own lease
    for (auto& [name, record] : upstream.runs) {
        record.isStopConfirmed = false;
        if (isListed(name)) {
            record.state = run_state::running;
            record.hasBegun = true;
            record.isListed = true;
            record.confirmedAt = now;
            upstream.unansweredStarts.erase(name);
            continue;
        }
        record.state = run_state::uncertain;
        stopRun(now, upstream, name, record);
    }
    note("runs_lost", report.id, formatField("cause", "restarted") + " runs=" + std::to_string(before.size()) + " uncertain=" + std::to_string(upstream.runs.size()));
    std::map<run_id, run_record> lost;
    for (const auto& [name, record] : before) {
        if (!isListed(name))
            lost.emplace(name, record);
        if (!upstream.runs.contains(name))
            requeueRun(record);
    }
    for (const auto& [id, job] : jobs)
        claimRuns(now, *job);
    for (auto& [name, record] : upstream.runs) {
        const bool isWanted = !record.job.empty() && countRuns(name.task) == 1;
        if (record.state == run_state::running && !isWanted)
            stopRun(now, upstream, name, record);
    }
    if (wasLeaving)
        return dismissLosses(upstream);
    addLosses(now, upstream, lost);
    confirmLosses(now, upstream);
}

void cell_dispatcher::impl::requeueAllRuns(upstream_record& upstream, std::string_view cause)
{
    if (!upstream.runs.empty())
        note("runs_lost", upstream.lastReport.id, formatField("cause", cause) + " runs=" + std::to_string(upstream.runs.size()));
    const auto lost = std::exchange(upstream.runs, {});
    for (const auto& [name, record] : lost)
        requeueRun(record);
}

void cell_dispatcher::impl::removeUpstream(time_point now, const std::string& id, std::string_view cause)
{
    const auto found = upstreams.find(id);
    if (found == upstreams.end())
        return;
    note("upstream_gone", id, formatField("cause", cause));
    if (const std::uint32_t raises = found->second.tokenRaises; raises > 0)
        removedUpstreams[id] = { raises, now + removedUpstreamRetention };
    requeueAllRuns(found->second, cause);
    upstreams.erase(found);
}

// An upstream has answered under its id, so no other one runs at its address.
void cell_dispatcher::impl::removeOthersAt(time_point now, const upstream_report& report)
{
    std::vector<std::string> others;
    for (const auto& [id, other] : upstreams) {
        if (other.lastReport.address == report.address && id != report.id)
            others.push_back(id);
    }
    for (const std::string& id : others) {
        onCrashed(now, upstreams.at(id), "another upstream answers at its address");
        removeUpstream(now, id, "another upstream answers at its address");
    }
}

time_point cell_dispatcher::impl::keptUntil(const run_record& record) const
{
    const auto job = jobs.find(record.job);
    return job == jobs.end() ? record.keptUntil : keptUntil(*job->second);
}

// A start that was never answered holds nothing back once a later list does not name it: it may begin only by a late call, which brings
// its own lease.
time_point cell_dispatcher::impl::leaseLimitOf(const upstream_record& upstream) const
{
    time_point limit = time_point::max();
    for (const auto& [name, record] : upstream.runs) {
        if (record.hasBegun || record.since >= upstream.listRequestedAt)
            limit = std::min(limit, keptUntil(record));
    }
    return limit;
}

// A lease holds for all runs of the upstream, so the run whose callers were seen first limits it. Whatever happens to this owner,
// that run then ends before its callers are back.
duration cell_dispatcher::impl::leaseFor(time_point now, upstream_record& upstream) const
{
    upstream.leaseLimit = leaseLimitOf(upstream);
    if (upstream.leaseLimit == time_point::max())
        return settings.maxLease;
    return std::clamp(upstream_record::longestLeaseUntil(now, upstream.leaseLimit), duration::zero(), settings.maxLease);
}

void cell_dispatcher::impl::poll(time_point now, upstream_record& upstream)
{
    if (isFenced)
        return; // the next owner may wait for the leases to end
    poll_request order;
    order.target = upstream.target();
    order.ackCursor = upstream.cursor;
    order.token = nextToken(now, upstream);
    order.onNewConnection = upstream.needsNewConnection;
    order.timeout = std::clamp(pollAnswerTimes * calls.answerTime(), minPollAnswerTime, maxPollAnswerTime);
    // Without a renewal, runs that can't be stopped end with their lease, as do all runs before a silent upstream is removed.
    const duration lease = leaseFor(now, upstream);
    const bool isWithheld = lease == duration::zero() && upstream.hasWantedRuns();
    if (isWithheld && !upstream.isRenewalWithheld)
        note("renewal_withheld", upstream.lastReport.id, "runs=" + std::to_string(upstream.runs.size()));
    upstream.isRenewalWithheld = isWithheld;
    if (upstream.hasWantedRuns() && !isWithheld && now - upstream.heardAt < removalDelay - 2 * settings.maxLease)
        order.expiresAtMs = upstream.extendLeaseByPoll(now, lease);
    if (!upstream.runs.empty())
        order.waitMs = upstream.needsNewConnection || upstream.reportedRestart ? 0 : pollWaitMs;
    if (lease < shortLease)
        order.waitMs = std::min(order.waitMs, shortPollWaitMs);
    order.timeout += milliseconds(order.waitMs);
    upstream.isPollPending = true;
    upstream.pollSentAt = now;
    actions.emplace_back(std::move(order));
}

void cell_dispatcher::impl::recordAnswer(time_point now, upstream_record& upstream, const call_answer& answer)
{
    upstream.consecutiveUnanswered = 0;
    upstream.heardAt = now;
    upstream.answeredAt = now;
    // An upstream that answers a later call may have put the earlier one off.
    if (const auto sentAt = std::exchange(upstream.unansweredRenewalAt, {}))
        upstream.lateRenewalEnd = std::max(upstream.lateRenewalEnd, *sentAt + lateCallLimit + 2 * settings.maxLease);
    // Answers on different connections may arrive out of order, so an older clock value is ignored.
    if (answer.clockMs > 0 && (!upstream.clock.isKnown() || answer.clockMs >= upstream.clock.clockMs))
        upstream.clock = { answer.clockMs, now };
}

std::uint64_t cell_dispatcher::impl::tokenOf(const std::string& upstream) const
{
    if (const auto known = upstreams.find(upstream); known != upstreams.end())
        return raisedToken(settings.token, known->second.tokenRaises);
    const auto removed = removedUpstreams.find(upstream);
    return raisedToken(settings.token, removed == removedUpstreams.end() ? 0 : removed->second.tokenRaises);
}

// The token is raised again only after an answer: while nothing is answered, one raise shuts all earlier calls out.
std::uint64_t cell_dispatcher::impl::nextToken(time_point now, upstream_record& upstream)
{
    const bool isAnswered = !upstream.tokenRaisedAt || upstream.answeredAt > *upstream.tokenRaisedAt;
    const auto ownedMs = std::chrono::duration_cast<milliseconds>(now - ownedSince).count();
    const bool isLeft = upstream.tokenRaises + 1 < stampsPerClaim;
    if (upstream.mayHaveLateCalls && isAnswered && isLeft && upstream.tokenRaises < ownedMs) {
        ++upstream.tokenRaises;
        upstream.tokenRaisedAt = now;
        upstream.mayHaveLateCalls = false;
        note("call_token_raised", upstream.lastReport.id, "raises=" + std::to_string(upstream.tokenRaises));
    }
    return raisedToken(settings.token, upstream.tokenRaises);
}

void cell_dispatcher::impl::noteUnanswered(upstream_record& upstream, std::uint64_t token) const
{
    if (token == raisedToken(settings.token, upstream.tokenRaises))
        upstream.mayHaveLateCalls = true;
}

internal::upstream_record* cell_dispatcher::impl::findAnsweringUpstream(time_point now, const upstream_target& target, std::uint64_t token, const call_answer& answer)
{
    // A later call of this owner may have overtaken the one that was refused.
    if (answer.outcome == call_outcome::fenced && token >= tokenOf(target.id)) {
        if (!isFenced)
            note("fenced", target.id, "token=" + std::to_string(settings.token));
        isFenced = true;
        return nullptr;
    }
    const auto found = upstreams.find(target.id);
    if (found == upstreams.end() || found->second.life != target.life)
        return nullptr;
    const std::string& answering = found->second.answeringAddress;
    if (answer.outcome != call_outcome::other_life || (!answering.empty() && answering != target.address))
        return &found->second; // a refusal from where it has never answered proves nothing about it
    onCrashed(now, found->second, "another upstream or incarnation answers at its address");
    removeUpstream(now, target.id, "another upstream or incarnation answers at its address");
    return nullptr;
}

void cell_dispatcher::impl::applyPollAnswer(time_point now, upstream_record& upstream, const poll_request& order, const poll_answer& answer)
{
    const auto reportedRestart = std::exchange(upstream.reportedRestart, {});
    if (answer.bornUnixMs != 0 && answer.bornUnixMs != upstream.lastReport.startedUnixMs) {
        upstream_report report = upstream.lastReport;
        report.startedUnixMs = answer.bornUnixMs;
        report.sequence = 0;
        const bool isReported = reportedRestart && reportedRestart->startedUnixMs == answer.bornUnixMs && reportedRestart->address == order.target.address;
        if (isReported)
            report = *reportedRestart;
        onRestart(now, upstream, report, answer.running);
        upstream.isCapacityKnown = isReported;
        upstream.reports = { upstream.lastReport, now };
        upstream.answeringAddress = order.target.address;
        upstream.heardAt = now;
        upstream.nextPollAt = now;
        return;
    }
    if (upstream.needsNewConnection)
        note("upstream_answers", upstream.lastReport.id, "runs=" + std::to_string(upstream.runs.size()));
    upstream.needsNewConnection = false;
    upstream.answeringAddress = order.target.address;
    recordAnswer(now, upstream, answer.call);
    upstream.listRequestedAt = upstream.pollSentAt;
    dismissLosses(upstream);
    for (const ended_task& end : answer.ended) {
        if (end.number <= upstream.cursor)
            continue;
        upstream.cursor = end.number;
        onRunEnded(now, upstream, end, answer.call.clockMs);
    }
    reconcileRunning(now, upstream, answer);
    removeUnlistedRuns(upstream, answer);
    if (!upstream.isAdopted) {
        upstream.isAdopted = true;
        firstAdoptedAt = std::min(firstAdoptedAt, now);
        removeOthersAt(now, upstream.lastReport);
        note("upstream_adopted", upstream.lastReport.id, "runs=" + std::to_string(upstream.runs.size()));
    }
    const bool hasUnacknowledgedEnds = order.ackCursor < upstream.cursor;
    upstream.nextPollAt = upstream.runs.empty() && !hasUnacknowledgedEnds ? now + idlePollInterval : now;
}

void cell_dispatcher::impl::reconcileRunning(time_point now, upstream_record& upstream, const poll_answer& answer)
{
    bool hasUnknownRuns = false;
    for (const running_task& running : answer.running) {
        const auto [found, isUnknown] = upstream.runs.try_emplace(running.run);
        run_record& record = found->second;
        record.hasBegun = true;
        record.isListed = true;
        record.listedClockMs = answer.call.clockMs;
        upstream.unansweredStarts.erase(running.run);
        if (isUnknown) {
            hasUnknownRuns = true;
            record.state = run_state::running;
            record.since = now;
            record.confirmedAt = now;
            record.keptUntil = now + maxLeaseOfUnclaimedRuns;
        } else if (record.state == run_state::starting || (record.state == run_state::uncertain && !record.isStopConfirmed)) {
            const bool isWanted = record.state == run_state::starting || (!record.job.empty() && countRuns(running.run.task) == 1);
            record.state = isWanted ? run_state::running : run_state::stopping;
            record.confirmedAt = now;
        }
    }
    if (!hasUnknownRuns)
        return;
    upstream.noteLease(now, settings.maxLease); // an earlier owner may just have renewed it
    for (const auto& [id, job] : jobs)
        claimRuns(now, *job);
}

// Removes runs that the poll does not list although they were confirmed, or their stop was answered, before the poll was sent.
void cell_dispatcher::impl::removeUnlistedRuns(upstream_record& upstream, const poll_answer& answer)
{
    for (auto item = upstream.runs.begin(); item != upstream.runs.end();) {
        const run_record& record = item->second;
        const bool isListed = std::any_of(answer.running.begin(), answer.running.end(), [&](const running_task& running) { return running.run == item->first; });
        const bool wasConfirmed = record.state == run_state::running && record.confirmedAt < upstream.pollSentAt;
        const bool wasStopConfirmed = record.isStopConfirmed && record.stopConfirmedAt <= upstream.pollSentAt;
        if (isListed || !(wasConfirmed || wasStopConfirmed)) {
            ++item;
            continue;
        }
        const run_record gone = record;
        item = upstream.runs.erase(item);
        requeueRun(gone);
    }
}

void cell_dispatcher::impl::onRunEnded(time_point now, upstream_record& upstream, const ended_task& end, std::int64_t clockMs)
{
    upstream.unansweredStarts.erase(end.run);
    const auto found = upstream.runs.find(end.run);
    if (found == upstream.runs.end() || found->second.job.empty()) {
        if (end.how == end_kind::done)
            unclaimedDoneTasks[end.run.task] = now + removalDelay;
        if (found != upstream.runs.end())
            upstream.runs.erase(found);
        return;
    }
    const run_record record = found->second;
    upstream.runs.erase(found);
    updateEjection(now, upstream, end.how);
    if (end.how == end_kind::done && record.expectedMs > 0)
        internal::learnRunTime(now, upstream, serviceRatios[upstream.lastReport.service], overhead, record, clockMs, calls.expectedWait(now));
    cell_job* job = findJob(record.job);
    if (!job)
        return;
    internal::cell_task& task = job->steps[record.step].tasks[record.index];
    if (end.how == end_kind::done) {
        job->setState(record.step, record.index, task_state::done);
        return finishIfDone(now, *job);
    }
    if (task.state == task_state::done)
        return; // another run of the task has succeeded
    note("run_ended_early", end.run.task, "upstream=" + upstream.lastReport.id + " run=" + std::to_string(end.run.run) + " how=" + std::string(toText(end.how)));
    if (end.how == end_kind::failed && ++task.failedRuns >= job->order.maxAttempts) {
        const std::string reason = "task " + end.run.task + " failed on " + upstream.lastReport.id + ", attempt " + std::to_string(task.failedRuns);
        return finish(now, *job, protocol::makeOrderAnswer(job->order, protocol::job_outcome::failed, reason));
    }
    requeue(*job, record.step, record.index);
}

// Load pattern: upstreams that fail all tasks look idle and would attract more and more work. After consecutive failures an
// upstream is ejected, for twice as long each time, up to a limit. It then gets tasks again: the next run that fails ejects it
// again, and one that succeeds resets the count and the duration.
void cell_dispatcher::impl::updateEjection(time_point now, upstream_record& upstream, end_kind how)
{
    if (how == end_kind::done) {
        upstream.consecutiveFailures = 0;
        upstream.ejectionDuration = duration::zero();
        return;
    }
    if (how != end_kind::failed || ++upstream.consecutiveFailures < failuresToEject)
        return;
    const auto ejected = static_cast<std::size_t>(std::count_if(upstreams.begin(), upstreams.end(), [now](const auto& item) { return item.second.ejectedUntil > now; }));
    if ((ejected + 1) * upstreamsPerEjection > upstreams.size())
        return;
    upstream.ejectionDuration = upstream.ejectionDuration == duration::zero() ? minEjection : std::min(upstream.ejectionDuration * 2, maxEjection);
    upstream.ejectedUntil = now + upstream.ejectionDuration;
    note("upstream_closed", upstream.lastReport.id, "failed_in_row=" + std::to_string(upstream.consecutiveFailures) + " for_ms=" + std::to_string(std::chrono::duration_cast<milliseconds>(upstream.ejectionDuration).count()));
}

void cell_dispatcher::impl::stopRun(time_point now, upstream_record& upstream, const run_id& name, run_record& record)
{
    const bool isUncertain = record.state == run_state::uncertain || record.state == run_state::starting;
    if (record.state != run_state::uncertain)
        record.state = run_state::stopping;
    const bool isRepair = isUncertain || record.nextStopAt != time_point();
    const duration timeout = std::clamp(stopAnswerTimes * calls.answerTime(), retryInterval, maxStopTime);
    record.nextStopAt = now + timeout;
    if (isRepair && !repairs.take(now))
        return;
    actions.emplace_back(stop_request { upstream.target(), name, nextToken(now, upstream), isUncertain, now, timeout });
    calls.onSent(now);
}

// After an answered stop the run ends within the upstream's bound, even if no poll has confirmed it.
void cell_dispatcher::impl::removeStoppedRuns(time_point now, upstream_record& upstream)
{
    for (auto item = upstream.runs.begin(); item != upstream.runs.end();) {
        if (!item->second.isStopConfirmed || now < item->second.stopConfirmedAt + settings.stopTime + stopMargin) {
            ++item;
            continue;
        }
        const run_record stopped = item->second;
        item = upstream.runs.erase(item);
        requeueRun(stopped);
    }
}

// The lease has expired without an answer. That says nothing of starts that the upstream has not carried out yet.
void cell_dispatcher::impl::endLapsedRuns(time_point now, upstream_record& upstream)
{
    const auto lost = removeRuns(upstream, "lease expired without an answer", [](const run_record& record) { return record.hasBegun; });
    if (!upstream.lastReport.isLeaving)
        addLosses(now, upstream, lost);
}

void cell_dispatcher::impl::endUnansweredStarts(time_point now, upstream_record& upstream)
{
    if (std::erase_if(upstream.unansweredStarts, [now](const auto& start) { return now >= start.second.until; }) > 0)
        removeRuns(upstream, "start without an answer for too long", [now](const run_record& record) { return !record.hasBegun && now >= record.since + lateCallLimit; });
}

std::map<run_id, internal::run_record> cell_dispatcher::impl::removeRuns(upstream_record& upstream, std::string_view cause, const std::function<bool(const run_record& record)>& isGone)
{
    std::map<run_id, run_record> removed;
    for (auto item = upstream.runs.begin(); item != upstream.runs.end();) {
        if (!isGone(item->second)) {
            ++item;
            continue;
        }
        removed.insert(*item);
        item = upstream.runs.erase(item);
    }
    if (!removed.empty())
        note("runs_lost", upstream.lastReport.id, formatField("cause", cause) + " runs=" + std::to_string(removed.size()));
    for (const auto& [name, record] : removed)
        requeueRun(record);
    return removed;
}

void cell_dispatcher::impl::checkStarts(time_point now, upstream_record& upstream)
{
    for (auto& [name, record] : upstream.runs) {
        if (record.state != run_state::starting || record.hasBegun || !calls.isUnanswered(now, record.since, record.answerLimit))
            continue;
        note("start_unanswered", name.task, "upstream=" + upstream.lastReport.id + " run=" + std::to_string(name.run) + " for_ms=" + std::to_string(std::chrono::duration_cast<milliseconds>(now - record.since).count()) + " answers_take_ms=" + std::to_string(std::chrono::duration_cast<milliseconds>(calls.answerTime()).count()));
        onUnansweredStart(now, upstream, name, record);
    }
}

void cell_dispatcher::impl::checkUpstream(time_point now, upstream_record& upstream)
{
    if (upstream.needsNewConnection && now >= std::max(upstream.lease.end(), upstream.lateRenewalEnd))
        endLapsedRuns(now, upstream);
    endUnansweredStarts(now, upstream);
    removeStoppedRuns(now, upstream);
    checkStarts(now, upstream);
    const duration gracePeriod = settings.isEarlierOwnerLost ? claimGracePeriodAfterLoss : claimGracePeriod;
    for (auto& [name, record] : upstream.runs) {
        const bool isUnclaimed = record.job.empty() && record.state == run_state::running && now - record.since >= gracePeriod;
        const bool isStopDue = (record.state == run_state::stopping || record.state == run_state::uncertain) && !record.isStopConfirmed && now >= record.nextStopAt;
        if (isUnclaimed || isStopDue)
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

std::vector<std::string> cell_dispatcher::upstreamNames() const
{
    std::vector<std::string> names;
    for (const auto& [id, upstream] : m_impl->upstreams)
        names.push_back(id);
    return names;
}

void cell_dispatcher::onPoll(time_point now, const poll_request& order, const poll_answer& answer)
{
    internal::upstream_record* const answering = m_impl->findAnsweringUpstream(now, order.target, order.token, answer.call);
    if (!answering)
        return;
    internal::upstream_record& upstream = *answering;
    upstream.isPollPending = false;
    upstream.lease.onPollOver(answer.call.outcome == call_outcome::not_received);
    if (answer.call.outcome == call_outcome::done) {
        m_impl->applyPollAnswer(now, upstream, order, answer);
    } else if (answer.call.outcome == call_outcome::fenced) { // overtaken
        m_impl->recordAnswer(now, upstream, answer.call);
        upstream.nextPollAt = now;
    } else {
        if (answer.call.outcome == call_outcome::silent)
            m_impl->noteUnanswered(upstream, order.token);
        if (!upstream.needsNewConnection) {
            m_impl->noteSilence(now, upstream);
            m_impl->note("upstream_silent", order.target.id, formatField("outcome", toText(answer.call.outcome)) + " heard_ms_ago=" + std::to_string(std::chrono::duration_cast<milliseconds>(now - upstream.heardAt).count()) + " runs=" + std::to_string(upstream.runs.size()));
        }
        if (answer.call.outcome == call_outcome::silent && order.expiresAtMs > 0)
            upstream.unansweredRenewalAt = upstream.pollSentAt;
        upstream.needsNewConnection = true;
        ++upstream.consecutiveUnanswered;
        upstream.nextPollAt = std::exchange(upstream.mustPollAgain, false) ? now : now + retryInterval;
        if (now - upstream.heardAt > removalDelay) {
            m_impl->onCrashed(now, upstream, "no report or answer for too long");
            return m_impl->removeUpstream(now, order.target.id, "no report or answer for too long");
        }
    }
    if (!upstream.isPollPending && now >= upstream.nextPollAt)
        m_impl->poll(now, upstream);
    m_impl->dispatch(now);
}

void cell_dispatcher::onStop(time_point now, const stop_request& order, const call_answer& answer)
{
    m_impl->calls.onEnded(now, order.sentAt, isAnswer(answer.outcome));
    internal::upstream_record* const answering = m_impl->findAnsweringUpstream(now, order.target, order.token, answer);
    if (!answering)
        return;
    internal::upstream_record& upstream = *answering;
    if (answer.outcome == call_outcome::silent)
        m_impl->noteUnanswered(upstream, order.token);
    const auto run = upstream.runs.find(order.run);
    if (run == upstream.runs.end())
        return;
    if (answer.outcome == call_outcome::fenced) // overtaken
        run->second.nextStopAt = now;
    if (answer.outcome != call_outcome::done)
        return;
    m_impl->recordAnswer(now, upstream, answer);
    run->second.isStopConfirmed = true;
    run->second.stopConfirmedAt = now;
    upstream.nextPollAt = now;
    if (!upstream.isPollPending)
        m_impl->poll(now, upstream);
}

} // namespace jackdaw::cells
