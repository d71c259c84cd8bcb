// Ownership of cells, timers and the public functions of a cell host.
#include "apps/cell_host/cell_host.h"

#include "apps/cell_host/internal/cell_host_impl.h"
#include "state/log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdaw::cell_host {

using protocol::steadyNow;
using state::log_level;
using state::logEvent;
using std::chrono::milliseconds;

namespace {

    constexpr duration gossipInterval = milliseconds(150); // six within the silence limit, 1 s
    // 900 ms: three within 3 s, the silence limit for hosts that gossip occasionally.
    constexpr std::uint64_t roundsPerFullGossip = 6;
    constexpr duration ownerGossipInterval = milliseconds(50); // a third of the shortest objective, 156 ms
    constexpr std::size_t ownersPerGossipInterval = 8; // for each further eight owners the interval is longer by itself
    constexpr duration directoryRequestInterval = milliseconds(500); // ten within the directory's silence limit, 5 s
    constexpr duration newsRequestInterval = milliseconds(100); // an answer takes a few ms, or is lost
    constexpr duration ownershipInterval = milliseconds(50); // a twentieth of the silence limit; news are applied at once
    constexpr duration busyTick = milliseconds(20); // an eighth of the shortest objective
    constexpr duration idleTick = milliseconds(100); // a tenth of the silence limit
    constexpr duration reportFreshness = std::chrono::seconds(5); // three report intervals of 1.5 s; older upstreams may have ended
    constexpr duration trafficLogInterval = std::chrono::seconds(5);
    constexpr std::uint64_t roundsPerUpstreamList = 66; // 10 s: several within the time that other hosts remember an upstream

} // namespace

void cell_host::impl::applyOwnership()
{
    const std::vector<cells::ownership_change> changes = ownership.advance(steadyNow(), protocol::unixNow().count());
    for (const cells::ownership_change& change : changes) {
        if (change.token == 0)
            dropCell(change.cell);
        else
            takeCell(change);
    }
    metrics.ownershipChanges.add(changes.size());
    if (!changes.empty())
        sendGossip({ entryPeers.begin(), entryPeers.end() });
}

void cell_host::impl::takeCell(const cells::ownership_change& taken)
{
    const std::string& cell = taken.cell;
    logEvent(log_level::info, "cell_ownership_acquired", { { "cell", cell }, { "token", std::to_string(taken.token) }, { "upstreams", std::to_string(upstreams.size()) }, { "earlier_owner_lost", taken.isEarlierOwnerLost ? "yes" : "no" } });
    cells::cell_settings cellSettings;
    cellSettings.cell = cell;
    cellSettings.token = taken.token;
    cellSettings.zoneCellCount = zoneCells.cellCount(cells::zoneOfCell(cell));
    cellSettings.isEarlierOwnerLost = taken.isEarlierOwnerLost;
    cellSettings.maxLease = settings.maxLease;
    cellSettings.stopTime = settings.stopTime;
    cellSettings.reportInterval = settings.reportInterval;
    cellSettings.maxTasks = settings.limits.tasks();
    cellSettings.maxTasksOfJob = settings.limits.tasksOfJob();
    cellSettings.maxOrderBytes = settings.limits.ownedBytes();
    cells::cell_hooks dispatcherHooks;
    dispatcherHooks.onDecision = [cell](const cells::cell_decision& decision) {
        logEvent(log_level::info, decision.event, { { "subject", decision.subject }, { "cell", cell }, { "inputs", decision.inputs } });
    };
    dispatcherHooks.upstreamsHeardSince = [this] { return upstreams.heardSince(steadyNow()); };
    dispatcherHooks.upstreamsToldUntil = [this, zone = std::string(cells::zoneOfCell(cell))] { return upstreams.toldUntil(zone); };
    dispatcherHooks.workInOtherCells = [this, cell] { return workInOtherCells(cell); };
    dispatcherHooks.findOtherCell = [this](const protocol::job_order& order) { return findOtherCell(order); };
    dispatcherHooks.findEvacuationTarget = [this](const protocol::job_order& order) { return findEvacuationTarget(order); };
    dispatcherHooks.findCapableCells = [this, cell](const protocol::job_order& order) {
        std::vector<std::string> capable = upstreams.cellsThatFit(order, [this](const protocol::upstream_report& report) { return zoneCells.cellOf(report.zone, report.id); });
        std::erase_if(capable, [&](const std::string& other) { return other == cell || evacuations.isEvacuated(cells::zoneOfCell(other)); });
        return capable;
    };
    auto dispatcher = std::make_shared<cells::cell_dispatcher>(cellSettings, std::move(dispatcherHooks), steadyNow());
    dispatcher->setEvacuation(steadyNow(), evacuations.startsUntil(cells::zoneOfCell(cell)));
    forwardKnownReports(cell, *dispatcher);
    dispatchers[cell] = std::move(dispatcher);
}

cells::work_in_hand cell_host::impl::workInOtherCells(std::string_view cell) const
{
    cells::work_in_hand sum;
    for (const auto& [other, dispatcher] : dispatchers) {
        if (other == cell)
            continue;
        const cells::work_in_hand held = dispatcher->workInHand();
        sum.tasks += held.tasks;
        sum.orderBytes += held.orderBytes;
    }
    return sum;
}

void cell_host::impl::forwardKnownReports(std::string_view cell, cells::cell_dispatcher& dispatcher) const
{
    upstreams.forEach([&](const protocol::upstream_report& report) {
        if (zoneCells.cellOf(report.zone, report.id) == cell)
            dispatcher.onUpstreamReport(steadyNow(), report);
    });
}

void cell_host::impl::dropCell(const std::string& cell)
{
    const auto found = dispatchers.find(cell);
    if (found == dispatchers.end())
        return;
    const std::shared_ptr<cells::cell_dispatcher> dispatcher = found->second;
    shareUpstreams(cell, *dispatcher); // the next owner may not have heard of the latest ones
    dispatcher->release(steadyNow());
    for (const cells::cell_action& action : dispatcher->takeActions()) {
        if (const auto* answer = std::get_if<cells::owner_answer>(&action))
            answerOrigins(*answer);
    }
    dispatchers.erase(cell);
    logEvent(log_level::info, "cell_ownership_released", { { "cell", cell } });
}

std::string cell_host::impl::findOtherCell(const protocol::job_order& order)
{
    return spillTargets.reserve(steadyNow(), settings.zone, order, [this](std::string_view cell) {
        const auto owner = ownership.ownerOf(steadyNow(), cell);
        return !evacuations.isEvacuated(cells::zoneOfCell(cell)) && !dispatchers.contains(cell) && owner && !owner->isSelf;
    });
}

std::string cell_host::impl::findEvacuationTarget(const protocol::job_order& order)
{
    for (const auto& [cell, dispatcher] : dispatchers) {
        if (!evacuations.isEvacuated(cells::zoneOfCell(cell)))
            evacuationTargets.update(cell, dispatcher->rooms(steadyNow()));
    }
    return evacuationTargets.choose(order, [this](std::string_view cell) {
        return !evacuations.isEvacuated(cells::zoneOfCell(cell)) && ownership.ownerOf(steadyNow(), cell).has_value();
    });
}

std::optional<std::string> cell_host::impl::evacuationTargetOfNewJob(const protocol::job_order& order)
{
    if (!evacuations.isEvacuated(settings.zone))
        return std::nullopt;
    return findEvacuationTarget(order);
}

// Returns the cell that the job's id maps to, or, while that cell has no owner, the first cell of the zone that has one.
std::string cell_host::impl::homeCellOf(std::string_view job) const
{
    std::string preferred = zoneCells.cellOf(settings.zone, job);
    if (ownership.ownerOf(steadyNow(), preferred))
        return preferred;
    for (std::string& cell : zoneCells.cellsOf(settings.zone)) {
        if (ownership.ownerOf(steadyNow(), cell))
            return std::move(cell);
    }
    return preferred;
}

duration cell_host::impl::delayOf(const cells::cell_owner& owner) const
{
    return owner.isSelf ? milliseconds(loopDelay.averageMs()) : ownerDelays.delayOf(steadyNow(), owner.host);
}

std::string cell_host::impl::findLessDelayedCell(const protocol::job_order& order)
{
    const std::string home = homeCellOf(order.id);
    const auto homeOwner = ownership.ownerOf(steadyNow(), home);
    if (!homeOwner)
        return {};
    const duration homeDelay = delayOf(*homeOwner);
    std::string cell = cells::findLessDelayedCell(steadyNow(), order, homeDelay, spillTargets, [&](std::string_view other) -> std::optional<cells::cell_delay> {
        const auto owner = ownership.ownerOf(steadyNow(), other);
        if (!owner || owner->host == homeOwner->host || evacuations.isEvacuated(cells::zoneOfCell(other)))
            return std::nullopt;
        return cells::cell_delay { delayOf(*owner), cells::zoneOfCell(other) == settings.zone };
    });
    if (!cell.empty())
        logEvent(log_level::info, "job_avoids_delayed_owner", { { "subject", order.id }, { "cell", cell }, { "home_cell", home }, { "owner", homeOwner->host }, { "owner_delay_ms", std::to_string(std::chrono::duration_cast<milliseconds>(homeDelay).count()) } });
    return cell;
}

bool cell_host::impl::hasOwnerInZone() const
{
    const std::vector<std::string> cells = zoneCells.cellsOf(settings.zone);
    return std::any_of(cells.begin(), cells.end(), [this](const std::string& cell) { return ownership.ownerOf(steadyNow(), cell).has_value(); });
}

// Recomputes the number of cells of a zone from the number that another host announced, from the upstreams that report there
// and, for this host's zone, from the processors of its hosts. When the number rises, the zone's cells that this host owns are
// claimed anew, and upstreams move to their new cells.
void cell_host::impl::updateCellCount(const std::string& zone, std::uint32_t announcedCells)
{
    const std::uint32_t before = zoneCells.cellCount(zone);
    const std::size_t reporting = upstreams.countReporting(steadyNow(), zone, reportFreshness);
    zoneCells.onCellCount(zone, announcedCells);
    zoneCells.onUpstreamCount(zone, reporting);
    if (zone == settings.zone)
        zoneCells.onCellCount(zone, cells::cellsForHosts(reporting, ownership.zoneProcessors(steadyNow())));
    const std::uint32_t count = zoneCells.cellCount(zone);
    if (count == before)
        return;
    logEvent(log_level::info, "zone_cell_count_changed", { { "zone", zone }, { "cells", std::to_string(count) }, { "before", std::to_string(before) }, { "upstreams", std::to_string(reporting) }, { "heard", std::to_string(announcedCells) } });
    ownership.setCells(zone, count);
    applyOwnership();
}

void cell_host::impl::handleSilentHosts()
{
    if (stalls.maxInputDelay() > duration::zero())
        return; // what they have sent may be unread
    const time_point now = steadyNow();
    std::set<std::string> silent;
    for (std::string& host : ownership.silentHosts(now))
        silent.insert(std::move(host));
    for (const std::string& host : silent) {
        if (silentHosts.contains(host))
            continue;
        logEvent(log_level::warning, "host_silent", { { "host", host } });
        for (const auto& [cell, dispatcher] : dispatchers)
            dispatcher->onOriginLost(now, host);
    }
    for (const std::string& host : silentHosts) {
        if (silent.contains(host))
            continue;
        logEvent(log_level::info, "host_recovered", { { "host", host } });
        upstreams.forgetPeer(host);
    }
    silentHosts = std::move(silent);
}

void cell_host::impl::endSilentOrigins()
{
    if (stalls.maxInputDelay() > duration::zero())
        return; // what they have sent may be unread
    for (const auto& [cell, dispatcher] : dispatchers) {
        dispatcher->onOriginHeard(steadyNow(), settings.host);
        dispatcher->endSilentOrigins(steadyNow());
    }
}

void cell_host::impl::advance()
{
    const time_point now = steadyNow();
    bool isAnyFenced = false;
    for (const auto& [cell, dispatcher] : dispatchers) {
        if (!dispatcher->isFenced())
            continue;
        ownership.onFenced(now, cell);
        isAnyFenced = true;
    }
    if (isAnyFenced || now - ownershipCheckedAt >= ownershipInterval) {
        ownershipCheckedAt = now;
        applyOwnership();
        handleSilentHosts();
        endSilentOrigins();
    }
    for (const auto& [cell, dispatcher] : dispatchers)
        dispatcher->advance(now);
    requestUpstreamNews();
    jobRouter.advance(now);
    if (cancelSearch.size() > 0)
        cancelSearch.advance(now, otherHostsOfZone());
    const bool hasOwner = hasOwnerInZone();
    if (hasOwner != zoneHasOwner)
        logEvent(hasOwner ? log_level::info : log_level::warning, hasOwner ? "cell_has_owner" : "cell_without_owner", { { "zone", settings.zone } });
    zoneHasOwner = hasOwner;
    upstreams.expire(now);
    performActions();
}

// Jobs of a lost owner wait until the control hosts have told every upstream of the zone.
void cell_host::impl::requestUpstreamNews()
{
    const time_point now = steadyNow();
    if (now - newsRequestedAt < newsRequestInterval)
        return;
    std::set<std::string> zones;
    for (const auto& [cell, dispatcher] : dispatchers) {
        if (dispatcher->needsUpstreamNews(now))
            zones.emplace(cells::zoneOfCell(cell));
    }
    for (const std::string& zone : zones) {
        newsRequestedAt = now;
        sendDirectoryRequest(zone);
    }
}

void cell_host::impl::sendPeriodicGossip()
{
    const bool isFullRound = ++gossipRounds % roundsPerFullGossip == 0;
    if (isFullRound)
        updateCellCount(settings.zone, 1);
    std::vector<std::string> hosts;
    const std::set<std::string> owners = jobRouter.owners();
    std::copy_if(entryPeers.begin(), entryPeers.end(), std::back_inserter(hosts), [&](const std::string& host) { return owners.contains(host) || ownership.isGossipDue(steadyNow(), host, isFullRound); });
    sendGossip(hosts);
    if (gossipRounds % roundsPerUpstreamList == 0)
        shareOwnedUpstreams();
}

// Owners tell each other their free capacity. The more owners there are, the less often, so that the rate of messages stays bounded;
// jobs that move are then spread over more cells.
void cell_host::impl::sendGossipToOwners()
{
    if (dispatchers.empty())
        return;
    const std::vector<std::string> owners = ownership.otherOwners(steadyNow());
    if (++ownerGossipRounds % (owners.size() / ownersPerGossipInterval + 1) == 0)
        sendGossip(owners);
}

// Upstreams that don't report stay known to other hosts only as long as their owner sends its list.
void cell_host::impl::shareOwnedUpstreams()
{
    for (const auto& [cell, dispatcher] : dispatchers)
        shareUpstreams(cell, *dispatcher);
}

void cell_host::impl::shareUpstreams(std::string_view cell, const cells::cell_dispatcher& dispatcher)
{
    const std::vector<std::string> ids = dispatcher.upstreamNames();
    upstreams.refresh(steadyNow(), ids);
    sendToAll(ownership.hostsOf(steadyNow(), cells::zoneOfCell(cell)), upstreams.list(steadyNow(), ids));
}

void cell_host::impl::logTraffic()
{
    logEvent(log_level::info, "traffic", { { "interval_ms", std::to_string(std::chrono::duration_cast<milliseconds>(trafficLogInterval).count()) }, { "messages_and_bytes", traffic.takeSummary() } });
}

void cell_host::impl::logStall(duration length)
{
    logEvent(log_level::warning, "loop_stalled", { { "for_ms", std::to_string(std::chrono::duration_cast<milliseconds>(length).count()) } });
}

void cell_host::impl::scheduleTick()
{
    const time_point now = steadyNow();
    time_point next = now + (jobRouter.size() > 0 || cancelSearch.size() > 0 ? busyTick : idleTick);
    for (const auto& [cell, dispatcher] : dispatchers)
        next = std::min(next, dispatcher->nextTimer(now));
    tickTimer = loop.after(next - now, [this, next] {
        loopDelay.onTimer(steadyNow(), next);
        advance();
        scheduleTick();
    });
}

cell_host::cell_host(transport::event_loop& loop, const cell_host_settings& settings, std::uint64_t incarnation, cell_host_hooks hooks)
    : m_impl(std::make_unique<impl>(loop, settings, incarnation, std::move(hooks)))
{
}
cell_host::~cell_host() = default;

protocol::result<void> cell_host::open()
{
    impl& self = *m_impl;
    if (auto listening = self.links.listen(); !listening)
        return listening;
    for (const std::string& seed : self.settings.seeds) {
        self.addControl(seed);
    }
    self.timers.push_back(self.loop.every(directoryRequestInterval, [&self] { self.sendDirectoryRequest(); }));
    self.timers.push_back(self.loop.every(gossipInterval, [&self] { self.sendPeriodicGossip(); }));
    self.timers.push_back(self.loop.every(ownerGossipInterval, [&self] { self.sendGossipToOwners(); }));
    self.timers.push_back(self.loop.every(trafficLogInterval, [&self] { self.logTraffic(); }));
    self.sendDirectoryRequest();
    self.scheduleTick();
    return boost::outcome_v2::success();
}

cells::caller_id cell_host::submit(protocol::job_order order, job_completion done)
{
    const cells::caller_id caller = ++m_impl->lastCaller;
    m_impl->completions.emplace(caller, impl::waiting_caller { std::move(done), steadyNow() });
    m_impl->applyInputDelay(order);
    std::string cell = m_impl->findLessDelayedCell(order);
    m_impl->jobRouter.submit(steadyNow(), std::move(order), caller, std::move(cell));
    m_impl->performActions();
    return caller;
}

void cell_host::removeCaller(cells::caller_id caller)
{
    m_impl->completions.erase(caller);
    m_impl->jobRouter.onCallerGone(steadyNow(), caller);
    m_impl->performActions();
}

void cell_host::cancel(std::string_view job, protocol::duration patience, cells::cancel_search::completion done)
{
    impl& self = *m_impl;
    const time_point now = steadyNow();
    if (self.cancelHere(job)) {
        self.performActions();
        return done(cells::cancel_outcome::cancelled);
    }
    const std::vector<std::string> hosts = self.otherHostsOfZone();
    if (hosts.empty() && !self.hasOwnerInZone())
        return done(cells::cancel_outcome::unanswered); // this host has not heard from those that may have the job
    self.cancelSearch.begin(now, job, hosts, now + patience, std::move(done));
    self.performActions();
}

bool cell_host::isReady() const
{
    return !m_impl->isLeaving && m_impl->configuration.version > 0 && m_impl->zoneHasOwner;
}

void cell_host::leave()
{
    m_impl->isLeaving = true;
    m_impl->ownership.leave();
    m_impl->applyOwnership();
    m_impl->sendGossip({ m_impl->entryPeers.begin(), m_impl->entryPeers.end() });
    m_impl->performActions();
}

void cell_host::abandonJobs()
{
    m_impl->jobRouter.abandonJobs(steadyNow());
    m_impl->cancelSearch.abandon();
    m_impl->performActions();
}

bool cell_host::isLeaving() const
{
    return m_impl->isLeaving;
}

std::string cell_host::metricsPage()
{
    impl& self = *m_impl;
    std::size_t waiting = 0;
    std::size_t adopted = 0;
    for (const auto& [cell, dispatcher] : self.dispatchers) {
        const cells::cell_counts counts = dispatcher->counts();
        waiting += counts.waitingTasks;
        adopted += counts.adoptedUpstreams;
    }
    self.metrics.openJobs.set(static_cast<double>(self.jobRouter.size()));
    self.metrics.waitingTasks.set(static_cast<double>(waiting));
    self.metrics.ownedCells.set(static_cast<double>(self.dispatchers.size()));
    self.metrics.ownerDelay.set(static_cast<double>(self.loopDelay.averageMs()) / 1000);
    self.metrics.zoneCells.set(static_cast<double>(self.zoneCells.cellCount(self.settings.zone)));
    self.metrics.upstreams.set(static_cast<double>(adopted));
    self.metrics.configurationVersion.set(static_cast<double>(self.configuration.version));
    self.metrics.evacuatedZones.set(static_cast<double>(self.evacuations.evacuatedCount()));
    self.metrics.logLinesLeftOut.set(static_cast<double>(state::logLinesLeftOut()));
    self.processGauges.update(self.links);
    return self.allMetrics.toPrometheus();
}

std::size_t cell_host::openJobs() const
{
    return m_impl->jobRouter.size();
}

} // namespace jackdaw::cell_host
