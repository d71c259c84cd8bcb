// Events of the simulated cell: reports, calls, task ends and faults.
#include "coordination/cells/tests/cell_simulation.h"

#include <algorithm>
#include <utility>

namespace jackdaw::cells::tests {

using protocol::job_order;
using std::chrono::milliseconds;

namespace {

    constexpr duration callTime = milliseconds(1); // one way
    constexpr duration connectTimeout = milliseconds(40);
    constexpr duration lostPollTime = milliseconds(40);
    constexpr std::size_t callBytes = 350; // headers and fields
    constexpr std::size_t connectionBytes = 200; // of its packets
    constexpr duration reportInterval = milliseconds(1500);
    constexpr duration heartbeatInterval = milliseconds(150); // of origins with open jobs
    constexpr duration originCheckInterval = milliseconds(50);
    constexpr duration refusalTime = milliseconds(2);
    constexpr milliseconds maxLease(1000);
    constexpr duration clockAtStart = std::chrono::seconds(50); // of an upstream that was there before the simulation
    constexpr duration crashDelay = milliseconds(100);
    constexpr duration restartTime = std::chrono::seconds(3);
    constexpr std::uint64_t tokensPerOwner = std::uint64_t(1) << 32;
    constexpr auto serviceName = "planning";
    constexpr auto cellName = "a";

    std::string jobOf(const std::string& task)
    {
        return task.substr(0, task.find('.'));
    }

} // namespace

cell_simulation::cell_simulation(std::uint64_t seed)
    : m_random(seed)
{
    sendHeartbeats();
    endSilentOrigins();
}

sim_upstream& cell_simulation::addUpstream(const std::string& id, std::int64_t millicores, double slowness)
{
    sim_upstream& upstream = m_upstreams[id];
    upstream.id = id;
    upstream.capacity = { millicores, 65536, 0 };
    upstream.slowness = slowness;
    upstream.clockStart = m_now - clockAtStart;
    report(upstream);
    return upstream;
}

std::size_t cell_simulation::addOwner(bool isEarlierOwnerLost, const std::string& unreachable)
{
    sim_owner owner;
    if (!unreachable.empty())
        owner.unreachable.insert(unreachable);
    return add(std::move(owner), isEarlierOwnerLost, 1);
}

std::size_t cell_simulation::addCellOwner(const std::set<std::string>& upstreams, std::uint32_t zoneCellCount, bool isEarlierOwnerLost)
{
    sim_owner owner;
    owner.cell = upstreams;
    return add(std::move(owner), isEarlierOwnerLost, zoneCellCount);
}

std::size_t cell_simulation::add(sim_owner owner, bool isEarlierOwnerLost, std::uint32_t zoneCellCount)
{
    cell_settings settings;
    settings.cell = cellName;
    settings.token = 1 + m_owners.size() * tokensPerOwner;
    settings.isEarlierOwnerLost = isEarlierOwnerLost;
    settings.zoneCellCount = zoneCellCount;
    owner.token = settings.token;
    cell_hooks hooks;
    hooks.findEvacuationTarget = [this](const job_order&) { return m_evacuationTarget; };
    owner.dispatcher = std::make_unique<cell_dispatcher>(settings, std::move(hooks), m_now);
    owner.nextAdvance = m_now;
    const std::size_t number = m_owners.size();
    m_owners.push_back(std::move(owner));
    for (auto& [id, upstream] : m_upstreams)
        receiveReport(number, makeReport(id, ++upstream.reports));
    return number;
}

void cell_simulation::setEvacuation(std::size_t number, std::optional<time_point> startsUntil)
{
    m_owners[number].dispatcher->setEvacuation(m_now, startsUntil);
    processActions(number);
}

job_order cell_simulation::makeJob(const std::string& id, std::uint32_t tasks, std::int64_t millicores, std::uint32_t runMs, std::uint32_t priority) const
{
    job_order job;
    job.id = id;
    job.cell = cellName;
    job.steps = { { tasks, { millicores, 64, 0 }, runMs, {}, "", "", 0 } };
    job.service = serviceName;
    job.priority = priority;
    job.maxAttempts = 3;
    job.slackFactor = 1.6;
    job.targetMs = 60;
    job.timeLeftMs = 1500;
    return job;
}

void cell_simulation::killOwner(std::size_t number)
{
    m_owners[number].isCut = true;
    m_owners[number].isKilled = true;
}

void cell_simulation::thawOwner(std::size_t number)
{
    m_owners[number].isFrozen = false;
    for (const auto& [name, origin] : m_origins) {
        if (!origin.isLost)
            m_owners[number].dispatcher->onOriginHeard(m_now, name);
    }
    for (const auto& input : std::exchange(m_owners[number].unread, {}))
        input();
    m_owners[number].nextAdvance = m_now;
}

void cell_simulation::deliver(std::size_t owner, std::function<void()> input, std::size_t tasks)
{
    if (m_ownerCost == duration::zero())
        return read(owner, std::move(input));
    m_owners[owner].queue.push_back({ m_ownerCost * static_cast<std::int64_t>(tasks) / 3, std::move(input) });
    if (!m_owners[owner].isReading)
        readNext(owner);
}

void cell_simulation::readNext(std::size_t owner)
{
    sim_owner& reader = m_owners[owner];
    reader.isReading = !reader.queue.empty();
    if (!reader.isReading)
        return;
    reader.busyUntil = std::max(reader.busyUntil, m_now) + reader.queue.front().cost;
    schedule(reader.busyUntil - m_now, [this, owner] {
        const auto work = std::move(m_owners[owner].queue.front().work);
        m_owners[owner].queue.pop_front();
        read(owner, work);
        readNext(owner);
    });
}

void cell_simulation::read(std::size_t owner, std::function<void()> input)
{
    if (m_owners[owner].isFrozen)
        return m_owners[owner].unread.push_back(std::move(input));
    input();
}

void cell_simulation::sendHeartbeats()
{
    for (const auto& [name, origin] : m_origins) {
        for (const sim_owner& owner : m_owners) {
            if (!origin.isLost && !owner.isFrozen)
                owner.dispatcher->onOriginHeard(m_now, name);
        }
    }
    schedule(heartbeatInterval, [this] { sendHeartbeats(); });
}

void cell_simulation::endSilentOrigins()
{
    for (std::size_t i = 0; i < m_owners.size(); ++i) {
        if (m_owners[i].isKilled || m_owners[i].isFrozen)
            continue;
        m_owners[i].dispatcher->endSilentOrigins(m_now);
        processActions(i);
    }
    schedule(originCheckInterval, [this] { endSilentOrigins(); });
}

void cell_simulation::submit(std::size_t owner, const job_order& job, std::uint32_t runMs, const std::string& origin)
{
    m_origins.try_emplace(origin);
    m_runMs[job.id] = runMs > 0 ? runMs : job.steps.front().estimateMs;
    m_needs[job.id] = job.steps.front().need.millicores;
    m_objectives[job.id] = milliseconds(static_cast<std::int64_t>(job.slackFactor * m_runMs.at(job.id)) + job.targetMs);
    m_submittedAt.try_emplace(job.id, m_now);
    job_order addressed = job;
    addressed.fencingToken = m_owners[owner].token;
    if (m_ownerCost == duration::zero()) {
        m_owners[owner].dispatcher->submit(m_now, addressed, origin);
        return processActions(owner);
    }
    const auto input = [this, owner, addressed, origin] {
        m_owners[owner].dispatcher->submit(m_now, addressed, origin);
        processActions(owner);
    };
    deliver(owner, input, 1);
}

void cell_simulation::schedule(duration delay, std::function<void()> work)
{
    m_events.push({ m_now + delay, ++m_eventNumber, std::move(work) });
}

void cell_simulation::report(sim_upstream& upstream)
{
    const std::string id = upstream.id;
    if (upstream.fault != upstream_fault::crashed && upstream.fault != upstream_fault::silent && upstream.fault != upstream_fault::unreachable && !upstream.areReportsLost) {
        for (std::size_t i = 0; i < m_owners.size(); ++i) {
            receiveReport(i, makeReport(id, ++upstream.reports));
        }
    }
    schedule(reportInterval, [this, id] { report(m_upstreams.at(id)); });
}

protocol::upstream_report cell_simulation::makeReport(const std::string& id, std::uint64_t sequence) const
{
    const sim_upstream& upstream = m_upstreams.at(id);
    return { id, upstream.bornUnixMs, sequence, serviceName, id, cellName, upstream.capacity, upstream.labels, upstream.isLeaving, upstream.coldLeftMs };
}

void cell_simulation::receiveReport(std::size_t owner, const protocol::upstream_report& report)
{
    const auto& cell = m_owners[owner].cell;
    if (cell && !cell->contains(report.id))
        return;
    deliver(owner, [this, owner, report] {
        m_owners[owner].dispatcher->onUpstreamReport(m_now, report);
        processActions(owner);
    });
}

void cell_simulation::runFor(duration length)
{
    const time_point until = m_now + length;
    while (true) {
        time_point next = until;
        for (const sim_owner& owner : m_owners)
            next = std::min(next, owner.nextAdvance);
        if (!m_events.empty())
            next = std::min(next, m_events.top().at);
        m_now = std::max(m_now, next);
        if (next >= until)
            return;
        while (!m_events.empty() && m_events.top().at <= m_now) {
            const auto work = m_events.top().work;
            m_events.pop();
            work();
        }
        for (std::size_t i = 0; i < m_owners.size(); ++i) {
            if (m_owners[i].nextAdvance > m_now)
                continue;
            if (m_owners[i].busyUntil > m_now) {
                m_owners[i].nextAdvance = m_owners[i].busyUntil;
                continue;
            }
            if (m_owners[i].isKilled || m_owners[i].isFrozen) {
                m_owners[i].nextAdvance = time_point::max();
                continue;
            }
            m_owners[i].dispatcher->advance(m_now);
            m_owners[i].nextAdvance = m_owners[i].dispatcher->nextTimer(m_now);
            processActions(i);
        }
    }
}

void cell_simulation::processActions(std::size_t owner)
{
    for (const cell_action& action : m_owners[owner].dispatcher->takeActions()) {
        if (!m_owners[owner].isKilled)
            perform(owner, action);
    }
    m_owners[owner].nextAdvance = std::min(m_owners[owner].nextAdvance, m_owners[owner].dispatcher->nextTimer(m_now));
}

void cell_simulation::perform(std::size_t owner, const cell_action& action)
{
    if (const auto* answer = std::get_if<owner_answer>(&action)) {
        sim_outcome outcome;
        outcome.answer = answer->answer;
        outcome.took = m_now - m_submittedAt.at(answer->answer.id);
        outcome.isInTime = answer->answer.outcome == protocol::job_outcome::completed && outcome.took <= m_objectives.at(answer->answer.id);
        m_outcomes[answer->answer.id] = outcome;
    } else if (const auto* start = std::get_if<start_request>(&action)) {
        if (m_ownerCost > duration::zero())
            m_owners[owner].busyUntil = std::max(m_owners[owner].busyUntil, m_now) + m_ownerCost / 3;
        const auto timeOut = [this, owner, order = *start] { m_owners[owner].dispatcher->onStart(m_now, order, {}); };
        send(
            owner, callBytes + start->spec->size(), start->timeout, [this, owner, order = *start](call_number number) { arriveStart(owner, order, number); }, timeOut);
    } else if (const auto* stop = std::get_if<stop_request>(&action)) {
        ++m_stops;
        m_newConnections += stop->onNewConnection ? 1 : 0;
        const auto timeOut = [this, owner, order = *stop] { m_owners[owner].dispatcher->onStop(m_now, order, {}); };
        send(
            owner, callBytes + (stop->onNewConnection ? connectionBytes : 0), stop->timeout, [this, owner, order = *stop](call_number number) { arriveStop(owner, order, number); }, timeOut);
    } else if (const auto* poll = std::get_if<poll_request>(&action)) {
        m_newConnections += poll->onNewConnection ? 1 : 0;
        const auto timeOut = [this, owner, order = *poll] { m_owners[owner].dispatcher->onPoll(m_now, order, {}); };
        send(
            owner, callBytes + (poll->onNewConnection ? connectionBytes : 0), poll->timeout, [this, owner, order = *poll](call_number number) { arrivePoll(owner, order, number); }, timeOut);
    }
}

void cell_simulation::send(std::size_t owner, std::size_t bytes, duration timeout, std::function<void(call_number number)> arrive, std::function<void()> timeOut)
{
    const call_number number = ++m_lastCall;
    m_openCalls.insert(number);
    duration wait = std::max(m_owners[owner].busyUntil - m_now, duration::zero());
    if (m_linkRate > 0) {
        time_point& freeAt = m_owners[owner].linkFreeAt;
        freeAt = std::max(freeAt, m_now) + std::chrono::duration_cast<duration>(std::chrono::duration<double>(static_cast<double>(bytes) / m_linkRate));
        wait = std::max(wait, freeAt - m_now);
    }
    schedule(wait + callTime, [arrive = std::move(arrive), number] { arrive(number); });
    schedule(timeout, [this, owner, number, timeOut = std::move(timeOut)] {
        if (m_openCalls.erase(number) == 0)
            return;
        deliver(owner, [this, owner, timeOut] {
            timeOut();
            processActions(owner);
        });
    });
}

std::int64_t cell_simulation::clockOf(const sim_upstream& upstream) const
{
    return std::chrono::duration_cast<milliseconds>(m_now - upstream.clockStart).count();
}

bool cell_simulation::isCutOff(std::size_t owner, const sim_upstream& upstream) const
{
    return m_owners[owner].isCut || m_owners[owner].unreachable.contains(upstream.id);
}

call_outcome cell_simulation::check(sim_upstream& upstream, std::uint64_t token) const
{
    if (token < upstream.token)
        return call_outcome::fenced;
    upstream.token = token;
    return call_outcome::done;
}

void cell_simulation::answerCall(std::size_t owner, call_number number, sim_upstream& upstream, std::function<void(const call_answer&)> onAnswer, call_outcome outcome, bool isPoll, std::size_t tasks)
{
    const bool isUnreachable = upstream.fault == upstream_fault::unreachable || upstream.fault == upstream_fault::cut_one_way;
    const bool isSilent = isCutOff(owner, upstream) || upstream.fault == upstream_fault::silent || upstream.fault == upstream_fault::answers_lost || (isUnreachable && outcome != call_outcome::not_received);
    const bool isLost = isSilent || outcome == call_outcome::silent;
    if (isLost && !isPoll)
        return; // the call times out
    const call_answer answer { isLost ? call_outcome::silent : outcome, isLost ? 0 : clockOf(upstream) };
    duration delay = callTime;
    if (isLost)
        delay = lostPollTime;
    else if (isUnreachable)
        delay = connectTimeout;
    else if (outcome == call_outcome::not_received)
        delay = refusalTime;
    schedule(delay, [this, owner, number, onAnswer = std::move(onAnswer), answer, tasks] {
        if (m_openCalls.erase(number) == 0)
            return;
        const auto input = [this, owner, onAnswer, answer] {
            onAnswer(answer);
            processActions(owner);
        };
        deliver(owner, input, tasks);
    });
}

// Whether the upstream's fault delays the call. If so, later is called after 2 to 11 s.
bool cell_simulation::isDelayed(const sim_upstream& upstream, const late_call& later)
{
    if (!later || upstream.fault != upstream_fault::delayed_calls || std::uniform_real_distribution<double>(0, 1)(m_random) >= m_delayedShare)
        return false;
    const duration delay = std::chrono::seconds(2 + m_random() % 10);
    schedule(delay, [later, delay] { later(delay); });
    return true;
}

// The end of the lease that a call grants which is carried out late.
std::int64_t cell_simulation::lateLeaseEnd(std::int64_t expiresAtMs, duration delay) const
{
    return expiresAtMs > 0 && m_lateLeasesBeginOnArrival ? expiresAtMs + std::chrono::duration_cast<milliseconds>(delay).count() : expiresAtMs;
}

std::optional<call_outcome> cell_simulation::loseCall(std::size_t owner, const sim_upstream& upstream, bool isNewConnection, const late_call& later)
{
    if (upstream.fault == upstream_fault::crashed)
        return call_outcome::not_received;
    if (upstream.fault == upstream_fault::unreachable)
        return isNewConnection ? call_outcome::not_received : call_outcome::silent;
    if (upstream.fault == upstream_fault::cut_one_way && isNewConnection)
        return call_outcome::not_received;
    const bool isLost = upstream.fault == upstream_fault::silent || isCutOff(owner, upstream) || isDelayed(upstream, later);
    return isLost ? std::optional(call_outcome::silent) : std::nullopt;
}

bool cell_simulation::isStopped(const sim_upstream& upstream, const run_id& run)
{
    const auto stopped = upstream.lastStopped.find(run.task);
    return stopped != upstream.lastStopped.end() && run.run <= stopped->second;
}

void cell_simulation::carryOutStart(sim_upstream& upstream, start_request order, duration delay)
{
    if (upstream.fault == upstream_fault::crashed || check(upstream, order.token) != call_outcome::done)
        return;
    order.expiresAtMs = lateLeaseEnd(order.expiresAtMs, delay);
    if (isStopped(upstream, order.run))
        return extendLease(upstream, order.expiresAtMs);
    if (order.expiresAtMs > clockOf(upstream))
        begin(upstream, order);
}

void cell_simulation::arriveStart(std::size_t owner, const start_request& order, call_number number)
{
    sim_upstream& upstream = m_upstreams.at(order.target.address);
    const auto onAnswer = [this, owner, order](const call_answer& answer) { m_owners[owner].dispatcher->onStart(m_now, order, answer); };
    const late_call later = [this, order](duration delay) { carryOutStart(m_upstreams.at(order.target.id), order, delay); };
    if (const auto lost = loseCall(owner, upstream, false, m_delayedCalls.areStartsDelayed ? later : late_call()))
        return answerCall(owner, number, upstream, onAnswer, *lost);
    if (order.target.id != upstream.id)
        return answerCall(owner, number, upstream, onAnswer, call_outcome::other_life);
    call_outcome outcome = check(upstream, order.token);
    if (outcome == call_outcome::done && isStopped(upstream, order.run))
        outcome = call_outcome::superseded;
    if (outcome == call_outcome::done && order.expiresAtMs <= clockOf(upstream))
        outcome = call_outcome::expired;
    if (outcome == call_outcome::done)
        begin(upstream, order);
    answerCall(owner, number, upstream, onAnswer, outcome);
}

void cell_simulation::begin(sim_upstream& upstream, const start_request& order)
{
    const std::string job = jobOf(order.run.task);
    sim_task_run run { order.run, m_needs.at(job), {}, ++m_runNumber };
    const duration length = std::chrono::duration_cast<duration>(milliseconds(m_runMs.at(job)) * upstream.slowness);
    run.end = m_now + (upstream.fault == upstream_fault::failing ? milliseconds(1) : length);
    std::int64_t used = run.needMillicores;
    for (auto& [id, other] : m_upstreams) {
        for (const sim_task_run& running : other.running) {
            m_doubleRuns += running.run.task == order.run.task ? 1 : 0;
            used += id == upstream.id ? running.needMillicores : 0;
        }
    }
    m_overfills += used > upstream.capacity.millicores ? 1 : 0;
    upstream.running.push_back(run);
    extendLease(upstream, order.expiresAtMs);
    ++m_runs[order.run.task];
    ++m_starts[upstream.id];
    if (upstream.fault == upstream_fault::hung_tasks)
        return;
    const std::string id = upstream.id;
    if (m_crashingTasks.contains(order.run.task))
        return schedule(crashDelay, [this, id, number = run.number] { crashByTask(id, number); });
    const auto how = upstream.fault == upstream_fault::failing ? end_kind::failed : end_kind::done;
    schedule(run.end - m_now, [this, id, number = run.number, how] { end(m_upstreams.at(id), number, how); });
}

void cell_simulation::end(sim_upstream& upstream, std::uint64_t number, end_kind how)
{
    const auto run = std::find_if(upstream.running.begin(), upstream.running.end(), [number](const sim_task_run& item) { return item.number == number; });
    if (run == upstream.running.end())
        return;
    upstream.lastStopped[run->run.task] = std::max(upstream.lastStopped[run->run.task], run->run.run);
    upstream.ended.push_back({ ++upstream.ends, run->run, how });
    upstream.running.erase(run);
    answerPolls(upstream, false);
}

void cell_simulation::arriveStop(std::size_t owner, const stop_request& order, call_number number)
{
    sim_upstream& upstream = m_upstreams.at(order.target.id);
    const auto onAnswer = [this, owner, order](const call_answer& answer) { m_owners[owner].dispatcher->onStop(m_now, order, answer); };
    const late_call later = [this, order](duration) {
        sim_upstream& target = m_upstreams.at(order.target.id);
        if (target.fault != upstream_fault::crashed && check(target, order.token) == call_outcome::done)
            carryOutStop(target, order);
    };
    if (upstream.fault == upstream_fault::stops_lost)
        return answerCall(owner, number, upstream, onAnswer, call_outcome::silent);
    if (const auto lost = loseCall(owner, upstream, order.onNewConnection, m_delayedCalls.areStopsDelayed ? later : late_call()))
        return answerCall(owner, number, upstream, onAnswer, *lost);
    const call_outcome outcome = check(upstream, order.token);
    if (outcome == call_outcome::done)
        carryOutStop(upstream, order);
    answerCall(owner, number, upstream, onAnswer, outcome);
}

void cell_simulation::carryOutStop(sim_upstream& upstream, const stop_request& order)
{
    upstream.lastStopped[order.run.task] = std::max(upstream.lastStopped[order.run.task], order.run.run);
    for (const sim_task_run& run : upstream.running) {
        if (run.run == order.run)
            schedule(milliseconds(20), [this, id = upstream.id, number = run.number] { end(m_upstreams.at(id), number, end_kind::stopped); });
    }
}

void cell_simulation::arrivePoll(std::size_t owner, const poll_request& order, call_number number)
{
    sim_upstream& upstream = m_upstreams.at(order.target.address);
    const open_poll poll { owner, number, order, m_now + milliseconds(order.waitMs) };
    const late_call later = [this, order](duration delay) {
        sim_upstream& target = m_upstreams.at(order.target.id);
        if (target.fault == upstream_fault::crashed || check(target, order.token) != call_outcome::done)
            return;
        poll_request late = order;
        late.expiresAtMs = lateLeaseEnd(order.expiresAtMs, delay);
        carryOutPoll(target, late);
    };
    if (const auto lost = loseCall(owner, upstream, order.onNewConnection, m_delayedCalls.arePollsDelayed ? later : late_call()))
        return answerPoll(poll, upstream, *lost);
    const call_outcome outcome = order.target.id == upstream.id ? check(upstream, order.token) : call_outcome::other_life;
    if (outcome != call_outcome::done)
        return answerPoll(poll, upstream, outcome);
    carryOutPoll(upstream, order);
    if (order.waitMs == 0 || !upstream.ended.empty())
        return answerPoll(poll, upstream, call_outcome::done);
    m_polls[upstream.id].push_back(poll);
    schedule(milliseconds(order.waitMs), [this, id = upstream.id] { answerPolls(m_upstreams.at(id), true); });
}

void cell_simulation::carryOutPoll(sim_upstream& upstream, const poll_request& order)
{
    extendLease(upstream, order.expiresAtMs);
    std::erase_if(upstream.ended, [&](const ended_task& item) { return item.number <= order.ackCursor; });
}

void cell_simulation::extendLease(sim_upstream& upstream, std::int64_t expiresAtMs)
{
    const std::int64_t now = clockOf(upstream);
    upstream.leaseMs = std::max(upstream.leaseMs, std::min(expiresAtMs, now + maxLease.count()));
    schedule(milliseconds(std::max<std::int64_t>(upstream.leaseMs - now, 0)), [this, id = upstream.id] { endLease(m_upstreams.at(id)); });
}

void cell_simulation::endLease(sim_upstream& upstream)
{
    if (clockOf(upstream) < upstream.leaseMs)
        return; // renewed since, or another life
    for (const sim_task_run& run : std::exchange(upstream.running, {})) {
        upstream.lastStopped[run.run.task] = std::max(upstream.lastStopped[run.run.task], run.run.run);
        upstream.ended.push_back({ ++upstream.ends, run.run, end_kind::lapsed });
    }
    answerPolls(upstream, false);
}

void cell_simulation::answerPolls(sim_upstream& upstream, bool isOver)
{
    std::vector<open_poll> waiting = std::exchange(m_polls[upstream.id], {});
    for (const open_poll& poll : waiting) {
        if (isOver && poll.until > m_now)
            m_polls[upstream.id].push_back(poll);
        else
            answerPoll(poll, upstream, upstream.fault == upstream_fault::crashed ? call_outcome::silent : call_outcome::done);
    }
}

void cell_simulation::answerPoll(const open_poll& poll, sim_upstream& upstream, call_outcome outcome)
{
    poll_answer answer;
    answer.bornUnixMs = upstream.bornUnixMs;
    for (const sim_task_run& run : upstream.running)
        answer.running.push_back({ run.run });
    answer.ended = upstream.ended;
    answerCall(
        poll.owner, poll.number, upstream, [this, poll, answer](const call_answer& call) {
            poll_answer whole = answer;
            whole.call = call;
            m_owners[poll.owner].dispatcher->onPoll(m_now, poll.order, whole);
        },
        outcome, true, upstream.ended.size());
}

void cell_simulation::crash(const std::string& id)
{
    sim_upstream& upstream = m_upstreams.at(id);
    upstream.fault = upstream_fault::crashed;
    ++m_crashes;
    for (const sim_task_run& run : upstream.running)
        ++m_crashesUnder[run.run.task];
    upstream.running.clear();
    upstream.ended.clear();
    upstream.lastStopped.clear();
    upstream.ends = 0;
    upstream.leaseMs = 0;
    upstream.token = 0;
    answerPolls(upstream, false);
}

void cell_simulation::crashByTask(const std::string& id, std::uint64_t number)
{
    const auto& running = m_upstreams.at(id).running;
    if (std::none_of(running.begin(), running.end(), [number](const sim_task_run& run) { return run.number == number; }))
        return;
    crash(id);
    schedule(restartTime, [this, id] { restart(id); });
}

void cell_simulation::restart(const std::string& id)
{
    sim_upstream& upstream = m_upstreams.at(id);
    upstream.fault = upstream_fault::none;
    upstream.bornUnixMs = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
    upstream.clockStart = m_now;
    upstream.reports = 0;
    report(upstream);
}

std::size_t cell_simulation::runsOf(const std::string& task) const
{
    const auto found = m_runs.find(task);
    return found == m_runs.end() ? 0 : found->second;
}

std::size_t cell_simulation::runningTasksOf(const std::string& job) const
{
    std::size_t count = 0;
    for (const auto& [id, upstream] : m_upstreams)
        count += static_cast<std::size_t>(std::count_if(upstream.running.begin(), upstream.running.end(), [&](const sim_task_run& item) { return jobOf(item.run.task) == job; }));
    return count;
}

std::size_t cell_simulation::crashesUnder(const std::string& task) const
{
    const auto found = m_crashesUnder.find(task);
    return found == m_crashesUnder.end() ? 0 : found->second;
}

std::size_t cell_simulation::startsOn(const std::string& upstream) const
{
    const auto found = m_starts.find(upstream);
    return found == m_starts.end() ? 0 : found->second;
}

} // namespace jackdaw::cells::tests
