// Forwarding of jobs to owners, and their answers.
#include "coordination/cells/job_router.h"

#include "coordination/cells/answer_margin.h"

#include <algorithm>
#include <utility>

namespace jackdaw::cells {

using protocol::job_outcome;
using protocol::order_answer;
using std::chrono::milliseconds;

namespace {

    constexpr duration cancelGracePeriod = milliseconds(200); // for the owner to notice the deadline and end the job by itself
    constexpr duration resendInterval = milliseconds(500); // the order or its answer may have been lost with a connection
    constexpr duration cancelResendInterval = milliseconds(200); // several before callers send the job again, 1.3 s later
    // Three cancellations before a caller that was answered without a result, or has left, sends the job again to any host, 1.3 s later.
    constexpr duration earlierCallersStay = milliseconds(1300) - 3 * cancelResendInterval;
    constexpr std::string_view overdueReason = "no answer before the caller's deadline";
    constexpr std::uint32_t retryWithoutOwnerMs = 1500; // a failed owner is replaced within this time
    // From a full cell to one whose zone is evacuated, and on; more happen only while hosts know of different orders.
    constexpr std::uint32_t maxMoves = 4;
    constexpr std::size_t jobBytes = 1024; // beside the order: names of its callers, cell and hosts
    constexpr std::uint32_t retryAfterDelayMs = 1000; // the smallest Retry-After, 1 s; the host reads requests at once again

} // namespace

job_router::job_router(cell_lookup homeCellOf, owner_lookup ownerOf, evacuation_lookup evacuationTargetOf, std::size_t maxBytes)
    : m_homeCellOf(std::move(homeCellOf))
    , m_ownerOf(std::move(ownerOf))
    , m_evacuationTargetOf(std::move(evacuationTargetOf))
    , m_maxBytes(maxBytes)
{
}

void job_router::submit(time_point now, protocol::job_order order, caller_id caller, std::string preferredCell)
{
    m_jobOfCaller[caller] = order.id;
    const auto known = m_jobs.find(order.id);
    if (known != m_jobs.end())
        return addCaller(now, known->second, caller, milliseconds(order.timeLeftMs));
    if (milliseconds(order.timeLeftMs) <= answerMargin) {
        m_jobOfCaller.erase(caller);
        m_actions.emplace_back(answer_callers { { caller }, protocol::makeOrderAnswer(order, job_outcome::rejected, "too little time is left before the caller's deadline", retryAfterDelayMs) });
        return;
    }
    if (m_bytes + jobBytes + protocol::memoryOf(order) > m_maxBytes) {
        m_jobOfCaller.erase(caller);
        m_actions.emplace_back(answer_callers { { caller }, protocol::makeOrderAnswer(order, job_outcome::rejected, "the jobs in progress on this host are too large", retryAfterDelayMs) });
        return;
    }
    const std::optional<std::string> target = m_evacuationTargetOf ? m_evacuationTargetOf(order) : std::nullopt;
    if (target && target->empty()) {
        m_jobOfCaller.erase(caller);
        m_actions.emplace_back(answer_callers { { caller }, protocol::makeOrderAnswer(order, job_outcome::rejected, "no zone takes jobs of the evacuated zone", retryAfterDelayMs) });
        return;
    }
    pending_job job;
    job.deadline = now + milliseconds(order.timeLeftMs);
    job.arrivedAt = now;
    job.callers = { { caller, job.deadline - answerMargin } };
    if (target)
        job.cell = *target;
    else
        job.cell = preferredCell.empty() ? m_homeCellOf(order.id) : std::move(preferredCell);
    job.order = std::move(order);
    job.order.submissionNumber = ++m_lastSubmission;
    job.firstSubmission = m_lastSubmission;
    const std::string id = job.order.id;
    pending_job& added = m_jobs.emplace(id, std::move(job)).first->second;
    updateBytes(added);
    forwardToOwner(now, added);
}

time_point job_router::pending_job::answerBy() const
{
    return std::max_element(callers.begin(), callers.end(), [](const auto& left, const auto& right) { return left.answerBy < right.answerBy; })->answerBy;
}

void job_router::addCaller(time_point now, pending_job& job, caller_id caller, duration timeLeft)
{
    const time_point before = job.answerBy();
    job.callers.push_back({ caller, now + timeLeft - answerMargin });
    job.deadline = std::max(job.deadline, now + timeLeft);
    if (job.answerBy() <= before || job.host.empty())
        return;
    // The owner ends the job at the time that it knows of. An order that is resent can't lengthen it, since it may have been under way for long.
    job.order.submissionNumber = ++m_lastSubmission;
    send(now, job);
}

// A caller sends its job again once it has given up the submission before. Those that came earlier are most likely of the same caller, on
// connections whose loss is not known here, and must not keep the job until it runs elsewhere.
void job_router::removeCaller(time_point now, pending_job& job, std::size_t index)
{
    job.callers.erase(job.callers.begin() + static_cast<std::ptrdiff_t>(index));
    for (std::size_t earlier = 0; earlier < index; ++earlier)
        job.callers[earlier].answerBy = std::min(job.callers[earlier].answerBy, now + earlierCallersStay);
}

void job_router::answerOverdueCallers(time_point now, pending_job& job)
{
    if (now >= job.answerBy())
        return;
    answer_callers overdue { {}, protocol::makeOrderAnswer(job.order, job_outcome::unfinished, overdueReason) };
    for (std::size_t index = job.callers.size(); index-- > 0;) {
        const waiting_caller caller = job.callers[index];
        if (now < caller.answerBy)
            continue;
        m_jobOfCaller.erase(caller.id);
        overdue.callers.push_back(caller.id);
        removeCaller(now, job, index);
    }
    if (!overdue.callers.empty())
        m_actions.emplace_back(std::move(overdue));
}

void job_router::updateBytes(pending_job& job)
{
    m_bytes -= job.bytes;
    job.bytes = jobBytes + protocol::memoryOf(job.order);
    m_bytes += job.bytes;
}

void job_router::forwardToOwner(time_point now, pending_job& job)
{
    const std::optional<cell_owner> owner = m_ownerOf(job.cell);
    if (!owner) {
        job.host.clear();
        if (!job.mayHaveRun)
            finish(std::string(job.order.id), protocol::makeOrderAnswer(job.order, job_outcome::rejected, "no host serves the zone", retryWithoutOwnerMs));
        return;
    }
    job.host = owner->host;
    job.token = owner->token;
    job.zoneCellCount = owner->zoneCellCount;
    job.sendCount = 0;
    send(now, job);
}

void job_router::noteHandOver(pending_job& job)
{
    const bool isFirst = job.order.handOverCount == 0;
    ++job.order.handOverCount;
    job.order.earlierToken = std::max(job.order.earlierToken, job.token);
    if (isFirst)
        job.order.earlierCellCount = job.zoneCellCount;
    else if (job.order.earlierCellCount != job.zoneCellCount)
        job.order.earlierCellCount = 0;
}

void job_router::send(time_point now, pending_job& job)
{
    job.sentAt = now;
    ++job.sendCount;
    job.mayHaveRun = true;
    protocol::job_order order = job.order;
    order.cell = job.cell;
    order.fencingToken = job.token;
    const auto age = std::chrono::duration_cast<milliseconds>(now - job.arrivedAt).count();
    // Callers that were answered send the job again as others do, so its owner must not count them as waiting until the deadline.
    const auto left = std::chrono::duration_cast<milliseconds>(job.answerBy() - now).count();
    order.ageMs += static_cast<std::uint32_t>(age);
    order.timeLeftMs = static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0));
    m_actions.emplace_back(forward_job { job.host, std::move(order) });
}

void job_router::onCallerGone(time_point now, caller_id caller)
{
    const auto found = m_jobOfCaller.find(caller);
    if (found == m_jobOfCaller.end())
        return;
    const std::string id = found->second;
    m_jobOfCaller.erase(found);
    const auto known = m_jobs.find(id);
    if (known == m_jobs.end())
        return;
    std::vector<waiting_caller>& callers = known->second.callers;
    if (callers.size() == 1) {
        callers.clear();
        cancel(now, id);
        return;
    }
    const auto gone = std::find_if(callers.begin(), callers.end(), [caller](const waiting_caller& waiting) { return waiting.id == caller; });
    removeCaller(now, known->second, static_cast<std::size_t>(gone - callers.begin()));
}

void job_router::sendCancel(time_point now, const pending_job& job)
{
    std::set<std::string> hosts = job.lostHosts;
    if (!job.host.empty())
        hosts.insert(job.host);
    for (const std::string& host : hosts) {
        const forward_cancel message { host, job.order.id, job.order.submissionNumber };
        m_cancels[{ message.job, message.submissionNumber, host }] = { message, now, job.deadline + cancelGracePeriod };
        m_actions.emplace_back(message);
    }
}

bool job_router::cancel(time_point now, std::string_view job)
{
    const auto known = m_jobs.find(job);
    if (known == m_jobs.end())
        return false;
    sendCancel(now, known->second);
    finish(std::string(known->first), protocol::makeOrderAnswer(known->second.order, job_outcome::unfinished, "cancelled"));
    return true;
}

void job_router::abandonJobs(time_point now)
{
    while (!m_jobs.empty()) {
        const auto& [id, job] = *m_jobs.begin();
        sendCancel(now, job);
        finish(std::string(id), protocol::makeOrderAnswer(job.order, job_outcome::unfinished, "this host is stopping"));
    }
}

void job_router::finish(const std::string& id, order_answer answer)
{
    const auto known = m_jobs.find(id);
    std::vector<caller_id> callers;
    for (const waiting_caller& caller : known->second.callers) {
        m_jobOfCaller.erase(caller.id);
        callers.push_back(caller.id);
    }
    m_actions.emplace_back(answer_callers { std::move(callers), std::move(answer) });
    m_bytes -= known->second.bytes;
    m_jobs.erase(known);
}

void job_router::onAnswer(time_point now, std::string_view host, const order_answer& answer)
{
    // Whatever the owner answers to the submission, it no longer runs it.
    m_cancels.erase({ answer.id, answer.submissionNumber, std::string(host) });
    const auto known = m_jobs.find(answer.id);
    if (known == m_jobs.end())
        return;
    pending_job& job = known->second;
    const bool isResult = answer.outcome == job_outcome::completed || answer.outcome == job_outcome::failed;
    const bool isOfLatestSubmission = answer.submissionNumber == job.order.submissionNumber;
    // An owner that released the cell refuses the later submissions as well.
    const bool isRelease = answer.outcome == job_outcome::released && answer.submissionNumber >= job.firstSubmission && answer.submissionNumber <= job.order.submissionNumber;
    const bool isOfThisOrder = job.host == host && (isOfLatestSubmission || isRelease) && answer.handOverCount == job.order.handOverCount;
    if (!isOfThisOrder && !isResult)
        return; // the answer is to an earlier order, not to the current one
    if (answer.outcome == job_outcome::moved) {
        job.mayHaveRun = job.order.handOverCount > 0;
        if (++job.moveCount > maxMoves) {
            const job_outcome outcome = job.mayHaveRun ? job_outcome::unfinished : job_outcome::rejected;
            return finish(std::string(known->first), protocol::makeOrderAnswer(job.order, outcome, "the job was moved too often", retryAfterDelayMs));
        }
        job.cell = answer.cell;
        job.order.mayMove = false;
        if (answer.areRunsKnown) {
            // No run of an earlier owner is left, and the next owner is of another cell.
            job.order.areRunsKnown = true;
            job.order.runsOn.clear();
            job.order.earlierToken = 0;
            updateBytes(job);
        }
        return forwardToOwner(now, job);
    }
    if (answer.outcome == job_outcome::released) {
        for (const std::string& task : answer.doneTasks) {
            if (std::find(job.order.doneTasks.begin(), job.order.doneTasks.end(), task) == job.order.doneTasks.end())
                job.order.doneTasks.push_back(task);
        }
        job.order.failures = answer.failures; // include those that this owner was told of
        job.order.runsOn = answer.runsOn;
        job.order.areRunsKnown = answer.areRunsKnown;
        updateBytes(job);
        noteHandOver(job);
        job.host.clear(); // advance() forwards it as soon as there is another owner
        return;
    }
    if (answer.outcome == job_outcome::not_owned) {
        // A resent order may have been accepted the first time, under an ownership that has ended since.
        if (job.sendCount > 1) {
            noteHandOver(job);
            job.order.areRunsKnown = false;
        } else {
            job.mayHaveRun = job.order.handOverCount > 0;
        }
        job.host.clear(); // advance() forwards it to the owner that gossip names
        return;
    }
    // This owner rejected the job, but an earlier one may have started tasks.
    if (answer.outcome == job_outcome::rejected && job.order.handOverCount > 0)
        return finish(std::string(known->first), protocol::makeOrderAnswer(job.order, job_outcome::unfinished, answer.reason));
    finish(std::string(known->first), answer);
}

void job_router::advance(time_point now)
{
    std::erase_if(m_cancels, [now](const auto& item) { return now >= item.second.until; });
    for (auto& [key, cancelled] : m_cancels) {
        if (now - cancelled.sentAt < cancelResendInterval)
            continue;
        cancelled.sentAt = now;
        m_actions.emplace_back(cancelled.message);
    }
    std::vector<std::string> overdue;
    for (auto& [id, job] : m_jobs) {
        answerOverdueCallers(now, job);
        if (now >= job.answerBy()) {
            overdue.push_back(id);
            continue;
        }
        const std::optional<cell_owner> owner = m_ownerOf(job.cell);
        if (!owner)
            continue;
        if (job.host == owner->host && job.token == owner->token) {
            if (now - job.sentAt >= resendInterval)
                send(now, job);
            continue;
        }
        if (!job.host.empty()) {
            noteHandOver(job);
            job.order.areRunsKnown = false; // the earlier owner was lost
            job.lostHosts.insert(job.host);
        }
        forwardToOwner(now, job);
    }
    for (const std::string& id : overdue) {
        const pending_job& job = m_jobs.at(id);
        sendCancel(now, job);
        finish(id, protocol::makeOrderAnswer(job.order, job_outcome::unfinished, overdueReason));
    }
}

std::set<std::string> job_router::owners() const
{
    std::set<std::string> hosts;
    for (const auto& [id, job] : m_jobs) {
        if (!job.host.empty())
            hosts.insert(job.host);
    }
    return hosts;
}

std::vector<router_action> job_router::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace jackdaw::cells
