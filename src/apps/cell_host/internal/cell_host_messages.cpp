// Messages from and to other hosts.
#include "apps/cell_host/internal/cell_host_impl.h"

#include "apps/shared/zone_address.h"
#include "protocol/config_messages.h"
#include "state/log.h"

#include <algorithm>

namespace jackdaw::cell_host {

using protocol::cell_message;
using protocol::controlMeshName;
using protocol::steadyNow;
using state::log_level;
using state::logEvent;
using std::chrono::milliseconds;

namespace {

    // The leader sends a change to every entry host at once. Before this time, others most likely need not pass it on.
    constexpr duration evacuationPassOnDelay = milliseconds(200);

} // namespace

void cell_host::impl::onDelivery(const transport::mesh_delivery& delivery)
{
    auto decoded = protocol::decodeCellMessage(delivery.body);
    if (!decoded)
        return logEvent(log_level::warning, "damaged_message", { { "sender", std::string(delivery.sender) }, { "reason", decoded.error().detail } });
    for (const auto& [cell, dispatcher] : dispatchers)
        dispatcher->onOriginHeard(steadyNow() - stalls.maxInputDelay(), delivery.sender);
    if (auto* order = std::get_if<protocol::job_order>(&decoded.value()))
        applyInputDelay(*order);
    const cell_message& message = decoded.value();
    const bool isFromControl = delivery.sender.starts_with(protocol::controlMeshPrefix);
    traffic.add(apps::traffic_direction::received, isFromControl ? apps::peer_role::control : apps::peer_role::entry, protocol::kindOf(message), delivery.body.size());
    if (const auto* gossip = std::get_if<protocol::host_gossip>(&message))
        onGossip(*gossip);
    else if (const auto* update = std::get_if<protocol::directory_update>(&message))
        onDirectory(*update, delivery.sender);
    else if (const auto* push = std::get_if<protocol::configuration_push>(&message))
        onConfiguration(*push, delivery.sender);
    else if (const auto* order = std::get_if<protocol::job_order>(&message))
        onJobOrder(*order, delivery.sender);
    else if (const auto* answer = std::get_if<protocol::order_answer>(&message))
        onOrderAnswer(*answer, delivery.sender);
    else if (const auto* list = std::get_if<protocol::upstream_list>(&message))
        onUpstreamList(*list);
    else if (const auto* state = std::get_if<protocol::evacuation_state>(&message))
        onEvacuationState(*state, delivery.sender);
    else if (const auto* pull = std::get_if<protocol::configuration_pull>(&message)) {
        if (pull->version < configuration.version)
            sendTo(std::string(delivery.sender), configuration);
    } else if (const auto* cancel = std::get_if<protocol::job_cancel>(&message)) {
        onJobCancel(*cancel, delivery.sender);
    }
    performActions();
}

// The callers of a process that has ended notice it at once, and send their jobs again 1.3 s later.
void cell_host::impl::onRefused(std::string_view host)
{
    for (const auto& [cell, dispatcher] : dispatchers)
        dispatcher->onOriginLost(steadyNow(), host);
    performActions();
}

void cell_host::impl::onGossip(const protocol::host_gossip& gossip)
{
    const time_point now = steadyNow();
    // The sender may know this host before the control hosts name the sender here. Without an answer it would take the link for
    // broken and open another one.
    addEntryHost(gossip.host);
    const bool isRepetition = ownership.isRepetition(gossip);
    const bool isNewOrRestarted = !ownership.knows(gossip.host, gossip.incarnation);
    if (ownership.onGossip(now, gossip)) {
        logEvent(log_level::info, "host_restarted", { { "host", gossip.host } });
        for (const auto& [cell, dispatcher] : dispatchers)
            dispatcher->onOriginLost(now, gossip.host);
    }
    if (isNewOrRestarted)
        sendGossip({ gossip.host }); // it must not wait for the next round to know this host
    sendUpstreamList(gossip);
    if (gossip.zoneCellCount > zoneCells.cellCount(gossip.zone))
        updateCellCount(gossip.zone, gossip.zoneCellCount);
    // Control hosts push new configurations; the pull from another entry host works while the link to them is broken.
    if (configurationRequests.isPullDue(now, configuration.version, gossip.configurationVersion))
        sendTo(gossip.host, protocol::configuration_pull { configuration.version });
    if (!ownerDelays.onGossip(now, gossip.host, gossip.ownerDelayMs) && implausibleHosts.insert(gossip.host).second)
        logEvent(log_level::warning, "gossip_implausible", { { "host", gossip.host }, { "owner_delay_ms", std::to_string(gossip.ownerDelayMs) } });
    if (gossip.evacuationNumber < evacuations.number() && now - evacuationLearnedAt >= evacuationPassOnDelay)
        sendTo(gossip.host, evacuations.message(now));
    for (const protocol::cell_claim& claim : gossip.claims) {
        spillTargets.update(now, claim);
        evacuationTargets.update(claim.cell, claim.freeCapacity);
    }
    if (isRepetition)
        return;
    applyOwnership();
    jobRouter.advance(now);
}

void cell_host::impl::onDirectory(const protocol::directory_update& update, std::string_view sender)
{
    ownership.onDirectoryKnown(steadyNow());
    for (const std::string& host : update.entryHosts)
        addEntryHost(host);
    for (const std::string& host : update.controlHosts)
        addControl(host);
    onReports(update.reports);
    if (!sender.starts_with(protocol::controlMeshPrefix))
        return;
    const std::string_view controlHost = sender.substr(protocol::controlMeshPrefix.size());
    upstreams.onControlUpdate(steadyNow(), controlHost, update.controlHosts);
    if (!update.newsZone.empty())
        upstreams.onZoneNews(controlHost, update.newsZone, time_point(duration(update.newsTime)));
}

void cell_host::impl::addEntryHost(const std::string& host)
{
    if (host == settings.host || !entryPeers.insert(host).second)
        return;
    logEvent(log_level::info, "entry_host_discovered", { { "host", host } });
    links.setPeer(host, apps::toText({ host, settings.meshPort }));
    sendGossip({ host });
}

void cell_host::impl::addControl(const std::string& host)
{
    if (controlPeers.insert(host).second)
        links.setPeer(controlMeshName(host), apps::toText({ host, settings.controlMeshPort }));
}

void cell_host::impl::onReports(std::span<const protocol::upstream_report> newReports)
{
    const time_point now = steadyNow();
    std::vector<protocol::upstream_report> accepted;
    std::set<std::string> zonesWithNewUpstreams;
    for (const protocol::upstream_report& report : newReports) {
        const cells::upstream_directory::change change = upstreams.onReport(now, report);
        if (!change.isAccepted)
            continue;
        ownership.onZoneReport(now, report.zone);
        accepted.push_back(report);
        if (change.isNew)
            zonesWithNewUpstreams.insert(report.zone);
    }
    for (const std::string& zone : zonesWithNewUpstreams)
        updateCellCount(zone, 1);
    forwardReports(accepted);
}

void cell_host::impl::onUpstreamList(const protocol::upstream_list& list)
{
    forwardReports(upstreams.onPeerList(steadyNow(), list));
}

void cell_host::impl::forwardReports(std::span<const protocol::upstream_report> reports)
{
    for (const protocol::upstream_report& report : reports) {
        if (const auto dispatcher = dispatchers.find(zoneCells.cellOf(report.zone, report.id)); dispatcher != dispatchers.end())
            dispatcher->second->onUpstreamReport(steadyNow(), report);
    }
}

void cell_host::impl::sendUpstreamList(const protocol::host_gossip& peer)
{
    if (!upstreams.needsList(peer.host, peer.incarnation))
        return;
    const std::optional<std::size_t> rank = ownership.listSenderRank(steadyNow(), peer.host, peer.zone);
    if (!rank)
        return upstreams.onListSent(peer.host, peer.incarnation); // other hosts send it theirs
    const protocol::upstream_list list = *rank == 0 ? upstreams.list(steadyNow()) : upstreams.listOfZone(steadyNow(), peer.zone);
    if (!sendBytes(apps::peer_role::entry, peer.host, "upstream_list", protocol::encodeCellMessage(list)))
        return; // no link yet: sent after a later gossip
    upstreams.onListSent(peer.host, peer.incarnation);
    logEvent(log_level::info, "upstream_list_sent", { { "host", peer.host }, { "upstreams", std::to_string(list.reports.size()) } });
}

void cell_host::impl::onConfiguration(const protocol::configuration_push& push, std::string_view sender)
{
    if (push.version <= configuration.version)
        return;
    if (!hooks.onConfiguration(push))
        return logEvent(log_level::error, "configuration_invalid", { { "version", std::to_string(push.version) }, { "sender", std::string(sender) } });
    logEvent(log_level::info, "configuration_in_force", { { "version", std::to_string(push.version) }, { "sender", std::string(sender) }, { "before", std::to_string(configuration.version) } });
    configuration = push;
}

void cell_host::impl::onEvacuationState(const protocol::evacuation_state& state, std::string_view sender)
{
    if (const auto checked = cells::checkEvacuationState(state); !checked)
        return logEvent(log_level::warning, "damaged_message", { { "sender", std::string(sender) }, { "reason", checked.error().detail } });
    const time_point now = steadyNow();
    const std::uint64_t before = evacuations.number();
    const std::vector<cells::evacuation_change> changes = evacuations.apply(now, now - stalls.maxInputDelay(), state);
    if (evacuations.number() == before)
        return;
    evacuationLearnedAt = now;
    for (const cells::evacuation_change& change : changes) {
        logEvent(log_level::info, change.isEvacuated ? "evacuation_in_force" : "evacuation_withdrawn", { { "zone", change.zone }, { "number", std::to_string(state.number) }, { "sender", std::string(sender) } });
        for (const auto& [cell, dispatcher] : dispatchers) {
            if (cells::zoneOfCell(cell) == change.zone)
                dispatcher->setEvacuation(now, evacuations.startsUntil(change.zone));
        }
    }
}

void cell_host::impl::onJobOrder(protocol::job_order order, std::string_view origin)
{
    zoneCells.removeRunsInOtherCells(order);
    if (const auto dispatcher = dispatchers.find(order.cell); dispatcher != dispatchers.end()) {
        forwardReports(upstreams.onNamedUpstreams(steadyNow(), order.runsOn));
        dispatcher->second->submit(steadyNow(), order, origin);
        return requestUpstreamNews();
    }
    answerOrigins({ { std::string(origin) }, protocol::makeOrderAnswer(order, protocol::job_outcome::not_owned, "this host does not own the cell") });
}

void cell_host::impl::onOrderAnswer(const protocol::order_answer& answer, std::string_view host)
{
    if (cells::cancel_search::isSearch(answer.submissionNumber))
        cancelSearch.onAnswer(host, answer.submissionNumber, answer.outcome == protocol::job_outcome::unfinished);
    else
        jobRouter.onAnswer(steadyNow(), host, answer);
}

bool cell_host::impl::cancelHere(std::string_view job)
{
    bool isKnown = jobRouter.cancel(steadyNow(), job);
    for (const auto& [cell, dispatcher] : dispatchers)
        isKnown = dispatcher->cancelForCaller(steadyNow(), job) || isKnown;
    return isKnown;
}

std::vector<std::string> cell_host::impl::otherHostsOfZone() const
{
    // While this host stood still it has heard from none.
    std::vector<std::string> hosts = ownership.hostsOf(steadyNow() - stalls.maxInputDelay(), settings.zone);
    std::erase(hosts, settings.host);
    return hosts;
}

void cell_host::impl::onJobCancel(const protocol::job_cancel& cancel, std::string_view origin)
{
    if (cells::cancel_search::isSearch(cancel.submissionNumber)) {
        const bool isKnown = cancelHere(cancel.id);
        protocol::job_order order;
        order.id = cancel.id;
        order.submissionNumber = cancel.submissionNumber;
        return answerOrigins({ { std::string(origin) }, protocol::makeOrderAnswer(order, isKnown ? protocol::job_outcome::unfinished : protocol::job_outcome::not_owned, isKnown ? "cancelled" : "the job is not known") });
    }
    for (const auto& [cell, dispatcher] : dispatchers)
        dispatcher->cancel(steadyNow(), cancel.id, origin, cancel.submissionNumber);
    if (!dispatchers.empty() || cancel.submissionNumber == 0)
        return;
    protocol::job_order order;
    order.id = cancel.id;
    order.submissionNumber = cancel.submissionNumber;
    answerOrigins({ { std::string(origin) }, protocol::makeOrderAnswer(order, protocol::job_outcome::not_owned, "this host owns no cell") });
}

void cell_host::impl::applyInputDelay(protocol::job_order& order) const
{
    const auto delay = std::chrono::duration_cast<milliseconds>(stalls.maxInputDelay());
    if (delay == milliseconds::zero())
        return;
    protocol::shortenTimeLeft(order, delay);
    logEvent(log_level::info, "job_read_late", { { "subject", order.id }, { "may_have_waited_ms", std::to_string(delay.count()) }, { "time_left_ms", std::to_string(order.timeLeftMs) } });
}

void cell_host::impl::sendDirectoryRequest(const std::string& newsZone)
{
    const time_point now = steadyNow();
    protocol::directory_request request { settings.host, incarnation, configuration.version, isLeaving, settings.zone, newsZone, now.time_since_epoch().count(), false, evacuations.number() };
    const std::string askedHost = newsZone.empty() ? configurationRequests.nextControlHost(now, controlPeers) : std::string();
    const std::string bytes = protocol::encodeCellMessage(request);
    request.wantsConfiguration = true;
    const std::string askingBytes = protocol::encodeCellMessage(request);
    for (const std::string& host : controlPeers)
        sendBytes(apps::peer_role::control, controlMeshName(host), protocol::kindOf(request), host == askedHost ? askingBytes : bytes);
}

void cell_host::impl::sendGossip(const std::vector<std::string>& hosts)
{
    protocol::host_gossip gossip = ownership.gossip();
    gossip.configurationVersion = configuration.version;
    gossip.evacuationNumber = evacuations.number();
    gossip.zoneCellCount = zoneCells.cellCount(settings.zone);
    gossip.ownerDelayMs = loopDelay.averageMs();
    for (protocol::cell_claim& claim : gossip.claims) {
        if (const auto dispatcher = dispatchers.find(claim.cell); dispatcher != dispatchers.end())
            claim.freeCapacity = dispatcher->second->rooms(steadyNow());
    }
    sendToAll(hosts, gossip);
}

bool cell_host::impl::sendBytes(apps::peer_role peer, const std::string& host, std::string_view kind, std::string_view bytes)
{
    if (!links.send(host, bytes))
        return false;
    traffic.add(apps::traffic_direction::sent, peer, kind, bytes.size());
    return true;
}

void cell_host::impl::sendToAll(std::span<const std::string> hosts, const cell_message& message)
{
    const std::string bytes = protocol::encodeCellMessage(message);
    for (const std::string& host : hosts)
        sendBytes(apps::peer_role::entry, host, protocol::kindOf(message), bytes);
}

void cell_host::impl::sendTo(const std::string& host, const cell_message& message)
{
    if (!sendBytes(apps::peer_role::entry, host, protocol::kindOf(message), protocol::encodeCellMessage(message)))
        logEvent(log_level::warning, "message_dropped", { { "host", host }, { "kind", std::string(protocol::kindOf(message)) } });
}

} // namespace jackdaw::cell_host
