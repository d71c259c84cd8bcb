// Connects the mesh, the Raft node, the directory, timers and signals of a control host on one event loop.
#include "apps/hub/control_host.h"

#include "apps/control/control_messages.h"
#include "apps/control/control_node.h"
#include "apps/control/group_log.h"
#include "apps/control/planned_stop.h"
#include "apps/control/storage_opening.h"
#include "apps/hub/host_directory.h"
#include "apps/shared/process_gauges.h"
#include "apps/shared/traffic_account.h"
#include "apps/shared/zone_address.h"
#include "protocol/config_messages.h"
#include "state/log.h"
#include "state/metrics.h"
#include "transport/mesh.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <optional>

namespace jackdaw::hub {

using protocol::cell_message;
using protocol::controlMeshName;
using protocol::error_kind;
using protocol::makeError;
using protocol::result;
using protocol::steadyNow;
using state::log_level;
using state::logEvent;

namespace {

    constexpr auto groupName = "hubs";
    constexpr duration heartbeatInterval = std::chrono::milliseconds(500);
    constexpr duration trafficLogInterval = std::chrono::seconds(5);
    constexpr duration batchInterval = std::chrono::milliseconds(100); // a twentieth of an upstream's drain time
    constexpr duration changeTimeout = std::chrono::milliseconds(900); // below the time-out of operators' tools, 1 s
    // A link without acknowledgements for so long is dialled again. It is 1.5 times the longest election timeout, 600 ms.
    constexpr duration linkSilenceLimit = std::chrono::milliseconds(900);
    constexpr duration minElectionTimeout = std::chrono::milliseconds(300); // three Raft heartbeats of 100 ms; the maximum is twice as long

    bool isGroupFounder(const control_host_settings& settings)
    {
        return settings.isFirstStart && !settings.seeds.empty() && *std::min_element(settings.seeds.begin(), settings.seeds.end()) == settings.host;
    }

} // namespace

class control_host::impl {
public:
    impl(control_host_settings hostSettings, control::control_storage storage, std::uint64_t incarnation)
        : settings(std::move(hostSettings))
        , links(loop, meshSettings(incarnation), [this](const transport::mesh_delivery& delivery) { onDelivery(delivery); })
        , directory(settings.host, settings.seeds)
        , node(nodeSettings(incarnation), std::move(storage), nodeHooks(), steadyNow())
    {
    }

    const control_host_settings settings;
    transport::event_loop loop;
    transport::mesh links;
    host_directory directory;
    control::control_node node;
    std::unique_ptr<transport::event_loop::timer> nodeTimer;
    std::unique_ptr<transport::event_loop::timer> heartbeatTimer;
    std::unique_ptr<transport::event_loop::timer> batchTimer;
    std::unique_ptr<transport::event_loop::timer> stopTimer;
    std::optional<control::planned_stop> plannedStop;
    std::function<bool()> hasNoRequest;
    state::metrics allMetrics;
    state::counter& reports = allMetrics.addCounter("jackdaw_upstream_reports_total", "Reports received from upstreams.");
    state::counter& changes = allMetrics.addCounter("jackdaw_configuration_calls_total", "Changes and sure reads of the configuration.");
    state::gauge& isLeaderGauge = allMetrics.addGauge("jackdaw_group_leader", "1 on the leader of the control group.");
    state::gauge& votersGauge = allMetrics.addGauge("jackdaw_group_voters", "Voters of the control group.");
    state::gauge& versionGauge = allMetrics.addGauge("jackdaw_configuration_version", "Newest version applied here; 0: none yet.");
    state::gauge& entryHostsBehindGauge = allMetrics.addGauge("jackdaw_entry_hosts_behind", "Live entry hosts that reported an older version than the newest applied here.");
    state::gauge& evacuatedZonesGauge = allMetrics.addGauge("jackdaw_evacuated_zones", "Zones whose evacuation is stored.");
    state::gauge& entryHostsGauge = allMetrics.addGauge("jackdaw_entry_hosts", "Entry hosts heard in the last seconds.");
    state::gauge& logLinesLeftOutGauge = allMetrics.addGauge("jackdaw_log_lines_left_out", "Log lines that were not written since the start.");
    apps::process_gauges processGauges { allMetrics };
    apps::traffic_account traffic { allMetrics };
    std::unique_ptr<transport::event_loop::timer> trafficTimer;
    control::group_log groupLog;
    std::uint64_t changeNumber = 0;
    std::uint64_t evacuationNumber = node.rules().evacuations().number(); // of the last change that was logged
    std::map<std::string, time_point> evacuationsAppliedAt; // by zone: when its last change was applied; not since before the start
    std::optional<time_point> appliedAt; // of the newest configuration, until all live entry hosts have reported it

    transport::mesh_settings meshSettings(std::uint64_t incarnation) const
    {
        transport::mesh_settings out;
        out.host = controlMeshName(settings.host);
        out.incarnation = incarnation;
        out.listenAddress = apps::toText({ settings.host, settings.meshPort });
        out.maxMessageBytes = 2 * out.maxQueuedBytes; // the lengths of a frame's parts take no more than the parts
        out.maxReceivedBytes = settings.limits.linkBytes();
        out.maxConnections = settings.limits.linkConnections();
        out.silenceLimit = linkSilenceLimit;
        return out;
    }

    control::control_node_settings nodeSettings(std::uint64_t incarnation) const
    {
        control::control_node_settings out;
        out.storage = { settings.dataFolder, settings.host, groupName, {} };
        out.seed = incarnation;
        out.minElectionTimeout = minElectionTimeout;
        out.changeTimeout = changeTimeout;
        out.toleratedLosses = settings.toleratedLosses;
        out.expectedHosts = settings.seeds.size();
        out.removesSilentVoters = true;
        return out;
    }

    control::control_node_hooks nodeHooks()
    {
        return { [this](const protocol::raft_message& message) { sendRaft(message); }, [this] { onConfigurationApplied(); }, [this] { onEvacuationApplied(); } };
    }

    void sendRaft(const protocol::raft_message& message)
    {
        sendToControl(message.to.host, protocol::control_raft_message { control::encode({ groupName, message }) });
    }

    void sendToControl(const std::string& host, const cell_message& message)
    {
        addControl(host);
        sendBytes(apps::peer_role::control, controlMeshName(host), protocol::kindOf(message), protocol::encodeCellMessage(message));
    }

    bool sendToEntry(const std::string& host, const cell_message& message)
    {
        return sendBytes(apps::peer_role::entry, host, protocol::kindOf(message), protocol::encodeCellMessage(message));
    }

    bool sendBytes(apps::peer_role peer, const std::string& host, std::string_view kind, std::string_view bytes)
    {
        const bool isQueued = links.send(host, bytes);
        if (isQueued)
            traffic.add(apps::traffic_direction::sent, peer, kind, bytes.size());
        return isQueued;
    }

    void addControl(const std::string& host)
    {
        if (host != settings.host)
            links.setPeer(controlMeshName(host), apps::toText({ host, settings.meshPort }));
    }

    void onDelivery(const transport::mesh_delivery& delivery);
    void onDirectoryRequest(const protocol::directory_request& request);
    void onControlHeartbeat(const protocol::control_heartbeat& heartbeat);
    void onRaftMessage(const protocol::control_raft_message& message);
    void onConfigurationApplied();
    void pushConfiguration(const std::string& entry);
    void onEvacuationApplied();
    protocol::evacuation_state evacuationState() const;
    void propose(coordination::rules_change change, std::function<void(const result<coordination::change_answer>& answer)> done);
    void logDistribution(time_point now);
    void sendHeartbeats();
    void sendBatch();
    void logTraffic();
    void rescheduleNodeTimer();
    void stop();
    void changeConfiguration(configuration newConfiguration, change_completion done);
};

void control_host::impl::onDelivery(const transport::mesh_delivery& delivery)
{
    const auto message = protocol::decodeCellMessage(delivery.body);
    if (!message)
        return logEvent(log_level::warning, "damaged_message", { { "sender", std::string(delivery.sender) }, { "reason", message.error().detail } });
    const bool isFromControl = delivery.sender.starts_with(protocol::controlMeshPrefix);
    traffic.add(apps::traffic_direction::received, isFromControl ? apps::peer_role::control : apps::peer_role::entry, protocol::kindOf(message.value()), delivery.body.size());
    if (const auto* request = std::get_if<protocol::directory_request>(&message.value()))
        return onDirectoryRequest(*request);
    if (const auto* heartbeat = std::get_if<protocol::control_heartbeat>(&message.value()))
        onControlHeartbeat(*heartbeat);
    else if (const auto* group = std::get_if<protocol::control_raft_message>(&message.value()))
        onRaftMessage(*group);
    rescheduleNodeTimer();
}

void control_host::impl::onDirectoryRequest(const protocol::directory_request& request)
{
    links.setPeer(request.host, apps::toText({ request.host, settings.entryMeshPort }));
    // Before the directory, with which a host that has just started begins to claim cells.
    if (request.evacuationNumber < node.rules().evacuations().number())
        sendToEntry(request.host, evacuationState());
    if (directory.recordDirectoryRequest(steadyNow(), request)) {
        const protocol::directory_update update = directory.fullUpdate(steadyNow());
        logEvent(log_level::info, "entry_host_registered", { { "host", request.host }, { "version", std::to_string(request.configurationVersion) }, { "upstreams_told", std::to_string(update.reports.size()) } });
        sendToEntry(request.host, update);
    }
    if (!request.newsZone.empty()) {
        protocol::directory_update news = directory.updateOfZone(steadyNow(), request.newsZone);
        news.newsZone = request.newsZone;
        news.newsTime = request.newsTime;
        sendToEntry(request.host, news);
    }
    if (request.wantsConfiguration && request.configurationVersion < node.rules().inForce().version)
        pushConfiguration(request.host);
    logDistribution(steadyNow());
}

// Entry hosts report their version with each directory request, so the time is exact to one request interval.
void control_host::impl::logDistribution(time_point now)
{
    const std::uint64_t newest = node.rules().inForce().version;
    if (!appliedAt || !node.isServingLeader() || !directory.entryHostsBehind(now, newest).empty())
        return;
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(now - *appliedAt);
    appliedAt.reset();
    logEvent(log_level::info, "configuration_distributed", { { "version", std::to_string(newest) }, { "entry_hosts", std::to_string(directory.liveEntryHosts(now).size()) }, { "after_ms", std::to_string(took.count()) } });
}

void control_host::impl::onControlHeartbeat(const protocol::control_heartbeat& heartbeat)
{
    addControl(heartbeat.host);
    if (directory.recordControlHeartbeat(steadyNow(), heartbeat))
        logEvent(log_level::info, "control_host_registered", { { "host", heartbeat.host }, { "incarnation", std::to_string(heartbeat.incarnation) } });
    node.hearMember(steadyNow(), { heartbeat.host, heartbeat.incarnation });
}

void control_host::impl::onRaftMessage(const protocol::control_raft_message& message)
{
    const auto decoded = control::decodeControlMessage(message.bytes);
    if (!decoded)
        return logEvent(log_level::warning, "damaged_message", { { "reason", decoded.error().detail } });
    if (const auto* raft = std::get_if<protocol::raft_message>(&decoded.value().body))
        node.step(steadyNow(), *raft);
}

void control_host::impl::onConfigurationApplied()
{
    appliedAt = steadyNow();
    logEvent(log_level::info, "configuration_stored", { { "version", std::to_string(node.rules().inForce().version) } });
    if (!node.isServingLeader())
        return; // a member that is not the leader pushes only in answer to directory requests
    for (const std::string& entry : directory.liveEntryHosts(steadyNow()))
        pushConfiguration(entry);
}

void control_host::impl::pushConfiguration(const std::string& entry)
{
    const std::uint64_t version = node.rules().inForce().version;
    if (!sendToEntry(entry, protocol::configuration_push { version, node.rules().text() }))
        logEvent(log_level::warning, "configuration_not_sent", { { "host", entry }, { "version", std::to_string(version) }, { "reason", "the link's queue is full" } });
}

void control_host::impl::onEvacuationApplied()
{
    for (const coordination::zone_evacuation& zone : node.rules().evacuations().zones()) {
        if (zone.number <= evacuationNumber)
            continue;
        evacuationsAppliedAt[zone.zone] = steadyNow();
        logEvent(log_level::info, zone.isEvacuated ? "evacuation_stored" : "evacuation_withdrawn", { { "zone", zone.zone }, { "number", std::to_string(zone.number) } });
    }
    evacuationNumber = node.rules().evacuations().number();
    std::erase_if(evacuationsAppliedAt, [this](const auto& item) {
        const auto& zones = node.rules().evacuations().zones();
        return std::none_of(zones.begin(), zones.end(), [&](const coordination::zone_evacuation& zone) { return zone.zone == item.first; });
    });
    if (!node.isServingLeader())
        return;
    const protocol::evacuation_state state = evacuationState();
    for (const std::string& entry : directory.liveEntryHosts(steadyNow()))
        sendToEntry(entry, state);
}

// The age of an order is the longer one of two: by the wall clock, which the proposing leader's may be ahead of, and since it was applied
// here, which is not known after a restart and too short on a host that applied it late.
protocol::evacuation_state control_host::impl::evacuationState() const
{
    const coordination::zone_evacuations& known = node.rules().evacuations();
    protocol::evacuation_state state { known.number(), {} };
    for (const coordination::zone_evacuation& zone : known.zones()) {
        std::int64_t ageMs = protocol::unixNow().count() - zone.orderedUnixMs;
        if (const auto applied = evacuationsAppliedAt.find(zone.zone); applied != evacuationsAppliedAt.end())
            ageMs = std::max<std::int64_t>(ageMs, std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() - applied->second).count());
        state.rows.push_back({ zone.zone, zone.isEvacuated, static_cast<std::uint32_t>(std::clamp<std::int64_t>(ageMs, 0, UINT32_MAX)) });
    }
    return state;
}

void control_host::impl::sendHeartbeats()
{
    if (plannedStop && plannedStop->hasAskedToLeave())
        return;
    const time_point now = steadyNow();
    std::vector<std::string> groupHosts;
    for (const auto* members : { &node.membership().voters, &node.membership().learners }) {
        for (const protocol::raft_member_id& member : *members)
            groupHosts.push_back(member.host);
    }
    const protocol::control_heartbeat heartbeat = directory.makeHeartbeat(now, node.self().incarnation, apps::toText(settings.operatorEndpoint));
    for (const std::string& host : directory.heartbeatReceivers(now, groupHosts))
        sendToControl(host, heartbeat);
}

void control_host::impl::sendBatch()
{
    const time_point now = steadyNow();
    if (!directory.isBatchDue(now))
        return;
    const directory_batch batch = directory.takeBatch(now);
    std::map<std::string, std::string> bytesOfZone;
    for (const std::string& entry : directory.liveEntryHosts(now)) {
        const std::string zone = directory.zoneOf(entry);
        auto encoded = bytesOfZone.find(zone);
        if (encoded == bytesOfZone.end())
            encoded = bytesOfZone.emplace(zone, protocol::encodeCellMessage(batch.forZone(zone))).first;
        sendBytes(apps::peer_role::entry, entry, protocol::kindOf(protocol::directory_update {}), encoded->second);
    }
}

void control_host::impl::logTraffic()
{
    logEvent(log_level::info, "traffic", { { "interval_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(trafficLogInterval).count()) }, { "messages_and_bytes", traffic.takeSummary() } });
}

void control_host::impl::rescheduleNodeTimer()
{
    groupLog.update(node.status());
    const auto delay = std::max(node.nextTimer() - steadyNow(), duration::zero());
    nodeTimer = loop.after(delay, [this] {
        node.advance(steadyNow());
        rescheduleNodeTimer();
    });
}

void control_host::impl::stop()
{
    if (plannedStop)
        return;
    plannedStop.emplace(node, steadyNow());
    rescheduleNodeTimer();
    stopTimer = loop.every(control::planned_stop::checkInterval, [this] {
        const bool mayEnd = plannedStop->mayEnd(steadyNow(), hasNoRequest);
        rescheduleNodeTimer();
        if (mayEnd)
            loop.stop();
    });
}

void control_host::impl::changeConfiguration(configuration newConfiguration, change_completion done)
{
    changes.add();
    if (newConfiguration.version > 0)
        logEvent(log_level::info, "change_received", { { "version", std::to_string(newConfiguration.version) }, { "serving", node.isServingLeader() ? "yes" : "no" } });
    coordination::rules_change change;
    change.text = std::move(newConfiguration.text);
    change.explicitVersion = newConfiguration.version;
    propose(std::move(change), [done = std::move(done)](const result<coordination::change_answer>& answer) {
        if (answer)
            return done(boost::outcome_v2::success());
        done(answer.error());
    });
}

void control_host::impl::propose(coordination::rules_change change, std::function<void(const result<coordination::change_answer>& answer)> done)
{
    change.changeId = settings.host + '/' + std::to_string(++changeNumber);
    change.operatorName = "operator";
    node.change(steadyNow(), std::move(change), std::move(done));
    rescheduleNodeTimer();
}

result<control::control_storage> control_host::openStorage(const control_host_settings& settings)
{
    return control::openOrCreateStorage({ settings.dataFolder, settings.host, groupName, {} }, isGroupFounder(settings));
}

control_host::control_host(control_host_settings settings, control::control_storage storage, std::uint64_t incarnation)
    : m_impl(std::make_unique<impl>(std::move(settings), std::move(storage), incarnation))
{
}
control_host::~control_host() = default;

transport::event_loop& control_host::loop()
{
    return m_impl->loop;
}

result<void> control_host::open()
{
    if (auto listening = m_impl->links.listen(); !listening)
        return listening;
    for (const std::string& seed : m_impl->settings.seeds)
        m_impl->addControl(seed);
    return boost::outcome_v2::success();
}

void control_host::setStopHook(std::function<bool()> hasNoRequest)
{
    m_impl->hasNoRequest = std::move(hasNoRequest);
}

void control_host::run()
{
    impl& self = *m_impl;
    self.loop.onSignal(SIGTERM, [&self] { self.stop(); });
    self.loop.onSignal(SIGINT, [&self] { self.stop(); });
    self.loop.onSignal(SIGHUP, [] { logEvent(log_level::info, "reload_ignored", { { "reason", "no setting of this program changes while it runs" } }); });
    self.heartbeatTimer = self.loop.every(heartbeatInterval, [&self] { self.sendHeartbeats(); });
    self.batchTimer = self.loop.every(batchInterval, [&self] { self.sendBatch(); });
    self.trafficTimer = self.loop.every(trafficLogInterval, [&self] { self.logTraffic(); });
    self.sendHeartbeats();
    self.rescheduleNodeTimer();
    logEvent(log_level::info, "started", { { "host", self.settings.host }, { "incarnation", std::to_string(self.node.self().incarnation) }, { "version", std::to_string(self.node.rules().inForce().version) } });
    self.loop.run();
    logEvent(log_level::info, "stopped", { { "host", self.settings.host } });
}

void control_host::replaceConfiguration(configuration newConfiguration, change_completion done)
{
    m_impl->changeConfiguration(std::move(newConfiguration), std::move(done));
}

void control_host::orderEvacuation(std::string zone, bool isEvacuated, change_completion done)
{
    const std::vector<std::string>& known = m_impl->settings.zones;
    if (!coordination::isZoneName(zone))
        return done(makeError(error_kind::malformed_request, "not a zone's name"));
    if (!known.empty() && std::find(known.begin(), known.end(), zone) == known.end())
        return done(makeError(error_kind::malformed_request, "the settings of this deployment name no zone '" + zone + "'"));
    logEvent(log_level::info, "evacuation_received", { { "zone", zone }, { "evacuated", isEvacuated ? "yes" : "no" }, { "serving", m_impl->node.isServingLeader() ? "yes" : "no" } });
    coordination::rules_change change;
    change.evacuation = coordination::zone_order { std::move(zone), isEvacuated, protocol::unixNow().count() };
    m_impl->propose(std::move(change), [done = std::move(done)](const result<coordination::change_answer>& answer) {
        if (!answer)
            return done(answer.error());
        if (answer.value().outcome == coordination::change_outcome::refused)
            return done(makeError(error_kind::malformed_request, "too many zones are evacuated"));
        done(boost::outcome_v2::success());
    });
}

// Proposes a change with version 0, which leaves the configuration as it is. Once a majority has stored it, every change that
// was accepted earlier has been applied here.
void control_host::readConfiguration(read_completion done)
{
    m_impl->changeConfiguration({}, [this, done = std::move(done)](const result<void>& outcome) {
        if (!outcome)
            return done(outcome.error());
        done(configuration { m_impl->node.rules().inForce().version, m_impl->node.rules().text() });
    });
}

std::string control_host::leaderAddress() const
{
    const auto leader = m_impl->node.leader();
    if (!leader || leader->host == m_impl->settings.host)
        return {};
    return m_impl->directory.operatorAddressOf(leader->host);
}

void control_host::recordUpstreamReport(const protocol::upstream_report& report)
{
    m_impl->reports.add();
    if (m_impl->directory.recordUpstreamReport(steadyNow(), report) && report.isLeaving)
        logEvent(log_level::info, "upstream_leaving", { { "upstream", report.id }, { "sequence", std::to_string(report.sequence) } });
}

std::string control_host::metricsPage()
{
    impl& self = *m_impl;
    self.isLeaderGauge.set(self.node.isServingLeader() ? 1 : 0);
    self.votersGauge.set(static_cast<double>(self.node.membership().voters.size()));
    self.versionGauge.set(static_cast<double>(self.node.rules().inForce().version));
    self.evacuatedZonesGauge.set(static_cast<double>(self.node.rules().evacuations().evacuatedCount()));
    self.entryHostsGauge.set(static_cast<double>(self.directory.liveEntryHosts(steadyNow()).size()));
    self.entryHostsBehindGauge.set(static_cast<double>(self.directory.entryHostsBehind(steadyNow(), self.node.rules().inForce().version).size()));
    self.logLinesLeftOutGauge.set(static_cast<double>(state::logLinesLeftOut()));
    self.processGauges.update(self.links);
    return self.allMetrics.toPrometheus();
}

void control_host::deregisterUpstream(const std::string& id)
{
    logEvent(log_level::info, "upstream_ended", { { "upstream", id } });
    m_impl->directory.deregisterUpstream(id);
}

} // namespace jackdaw::hub
