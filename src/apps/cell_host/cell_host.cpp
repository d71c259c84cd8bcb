// Wires ownership, dispatchers and desk to the mesh and the upstreams' driver.
#include "apps/cell_host/cell_host.h"

#include "apps/cell_host/cell_host_metrics.h"
#include "coordination/cells/cell_dispatcher.h"
#include "coordination/cells/cell_ownership.h"
#include "coordination/cells/neighbour_rooms.h"
#include "protocol/config_messages.h"
#include "state/log.h"
#include "transport/mesh.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace jackdaw::cell_host {

using protocol::cell_message;
using protocol::controlMeshName;
using protocol::duration;
using protocol::steadyNow;
using protocol::time_point;
using state::log_level;
using state::logEvent;
using std::chrono::milliseconds;

namespace {

    constexpr duration gossipInterval = milliseconds(150); // six within the time after which a host counts as silent
    constexpr duration roomInterval = milliseconds(50); // between owners: a third of the shortest objective
    constexpr duration pullInterval = milliseconds(300); // a whole configuration may take 100 ms on a slow link
    constexpr duration helloInterval = milliseconds(500);
    constexpr duration busyTick = milliseconds(20);
    constexpr duration idleTick = milliseconds(100);
    constexpr duration linkSilenceLimit = milliseconds(900); // below the time after which a host counts as silent
    constexpr duration forgetReports = std::chrono::seconds(60); // upstreams stay known while all control hosts are down

} // namespace

class cell_host::impl {
public:
    impl(transport::event_loop& eventLoop, const cell_host_settings& wanted, std::uint64_t hostIncarnation, cell_host_hooks wantedHooks)
        : loop(eventLoop)
        , settings(wanted)
        , incarnation(hostIncarnation)
        , hooks(std::move(wantedHooks))
        , links(loop, meshSettings(), [this](const transport::mesh_delivery& delivery) { onDelivery(delivery); })
        , ownership(ownershipSettings())
        , desk(settings.zone, [this](std::string_view cell) { return ownership.ownerOf(steadyNow(), cell); })
    {
    }

    struct known_report {
        protocol::upstream_report report;
        time_point heardAt;
    };

    transport::event_loop& loop;
    const cell_host_settings settings;
    const std::uint64_t incarnation;
    const cell_host_hooks hooks;
    transport::mesh links;
    cells::cell_ownership ownership;
    cells::job_desk desk;
    std::map<std::string, std::shared_ptr<cells::cell_dispatcher>, std::less<>> dispatchers; // by cell
    std::map<std::string, known_report, std::less<>> reports; // by upstream
    struct waiting_caller {
        job_completion done;
        time_point since;
    };
    std::map<cells::caller_number, waiting_caller> completions;
    state::metrics allMetrics;
    cell_host_metrics metrics { allMetrics };
    std::set<std::string> entryPeers;
    std::set<std::string> controlPeers;
    std::set<std::string> silentDesks; // whose loss the dispatchers were told
    cells::neighbour_rooms otherRooms;
    cells::caller_number lastCaller = 0;
    protocol::configuration_push inForce; // its version only goes up
    time_point lastPull;
    bool isLeaving = false;
    bool isPumping = false;
    bool hadOwner = false;
    time_point directorySince = time_point::max(); // the first directory update
    std::vector<std::unique_ptr<transport::event_loop::timer>> timers;
    std::unique_ptr<transport::event_loop::timer> tickTimer;
    std::shared_ptr<bool> aliveToken = std::make_shared<bool>(true);

    transport::mesh_settings meshSettings() const
    {
        transport::mesh_settings out;
        out.host = settings.host;
        out.incarnation = incarnation;
        out.listenAddress = settings.host + ':' + std::to_string(settings.meshPort);
        out.silenceLimit = linkSilenceLimit;
        return out;
    }

    cells::ownership_settings ownershipSettings() const
    {
        cells::ownership_settings out;
        out.host = settings.host;
        out.incarnation = incarnation;
        out.zone = settings.zone;
        out.processorMillicores = settings.processorMillicores;
        return out;
    }

    void onDelivery(const transport::mesh_delivery& delivery);
    void onGossip(const protocol::host_gossip& gossip);
    void onDirectory(const protocol::directory_update& update);
    void onReport(const protocol::upstream_report& report);
    void onConfiguration(const protocol::configuration_push& push);
    void onOrder(const protocol::job_order& order, std::string_view deskHost);

    void sayHello();
    void gossip(const std::vector<std::string>& hosts);
    void advance();
    void applyOwnership();
    void own(const std::string& cell, std::uint64_t token);
    void disown(const std::string& cell);
    void noteSilentDesks();
    std::string findOtherCell(const protocol::job_order& order);
    void scheduleTick();

    void pump();
    bool pumpDispatchers();
    bool pumpDesk();
    void perform(const std::shared_ptr<cells::cell_dispatcher>& dispatcher, const cells::cell_action& action);
    void answerDesks(const cells::owner_answer& answer);
    void perform(const cells::desk_action& action);
    void sendTo(const std::string& host, const cell_message& message);
};

void cell_host::impl::onDelivery(const transport::mesh_delivery& delivery)
{
    const auto decoded = protocol::decodeCellMessage(delivery.body);
    if (!decoded)
        return logEvent(log_level::warning, "damaged_message", { { "sender", std::string(delivery.sender) }, { "reason", decoded.error().detail } });
    const cell_message& message = decoded.value();
    if (const auto* gossip = std::get_if<protocol::host_gossip>(&message))
        onGossip(*gossip);
    else if (const auto* update = std::get_if<protocol::directory_update>(&message))
        onDirectory(*update);
    else if (const auto* push = std::get_if<protocol::configuration_push>(&message))
        onConfiguration(*push);
    else if (const auto* order = std::get_if<protocol::job_order>(&message))
        onOrder(*order, delivery.sender);
    else if (const auto* answer = std::get_if<protocol::job_answer>(&message))
        desk.onAnswer(steadyNow(), delivery.sender, *answer);
    else if (const auto* pull = std::get_if<protocol::configuration_pull>(&message)) {
        if (pull->version < inForce.version)
            sendTo(std::string(delivery.sender), inForce);
    } else if (const auto* cancel = std::get_if<protocol::job_cancel>(&message)) {
        for (const auto& [cell, dispatcher] : dispatchers)
            dispatcher->cancel(steadyNow(), cancel->id, delivery.sender);
    }
    pump();
}

void cell_host::impl::onGossip(const protocol::host_gossip& gossip)
{
    const time_point now = steadyNow();
    for (const std::string& ended : ownership.hear(now, gossip)) {
        logEvent(log_level::info, "host_restarted", { { "host", ended } });
        for (const auto& [cell, dispatcher] : dispatchers)
            dispatcher->loseDesk(now, ended);
    }
    // The control hosts push; this is the way round a broken link to them.
    if (gossip.configurationVersion > inForce.version && now - lastPull >= pullInterval) {
        lastPull = now;
        sendTo(gossip.host, protocol::configuration_pull { inForce.version });
    }
    for (const protocol::cell_claim& claim : gossip.claims)
        otherRooms.hear(claim);
    applyOwnership();
    desk.advance(now);
}

void cell_host::impl::onDirectory(const protocol::directory_update& update)
{
    ownership.hearDirectory(steadyNow());
    directorySince = std::min(directorySince, steadyNow());
    for (const std::string& host : update.entryHosts) {
        if (host == settings.host || !entryPeers.insert(host).second)
            continue;
        logEvent(log_level::info, "entry_host_known", { { "host", host } });
        links.setPeer(host, host + ':' + std::to_string(settings.meshPort));
        gossip({ host });
    }
    for (const std::string& host : update.controlHosts) {
        if (controlPeers.insert(host).second)
            links.setPeer(controlMeshName(host), host + ':' + std::to_string(settings.controlMeshPort));
    }
    for (const protocol::upstream_report& report : update.reports)
        onReport(report);
}

void cell_host::impl::onReport(const protocol::upstream_report& report)
{
    const time_point now = steadyNow();
    const auto [found, isNew] = reports.try_emplace(report.id);
    known_report& known = found->second;
    const bool isOlder = report.bornUnixMs < known.report.bornUnixMs
        || (report.bornUnixMs == known.report.bornUnixMs && report.sequence < known.report.sequence);
    if (!isNew && isOlder)
        return;
    known = { report, now };
    ownership.hearUpstreamIn(now, report.zone);
    if (const auto dispatcher = dispatchers.find(report.zone); dispatcher != dispatchers.end())
        dispatcher->second->hearUpstream(now, report);
}

void cell_host::impl::onConfiguration(const protocol::configuration_push& push)
{
    if (push.version <= inForce.version)
        return;
    if (!hooks.onConfiguration(push))
        return logEvent(log_level::error, "configuration_unreadable", { { "version", std::to_string(push.version) } });
    logEvent(log_level::info, "configuration_in_force", { { "version", std::to_string(push.version) }, { "before", std::to_string(inForce.version) } });
    inForce = push;
}

void cell_host::impl::onOrder(const protocol::job_order& order, std::string_view deskHost)
{
    if (const auto dispatcher = dispatchers.find(order.cell); dispatcher != dispatchers.end())
        return dispatcher->second->submit(steadyNow(), order, deskHost);
    answerDesks({ { std::string(deskHost) }, { order.id, order.submission, order.handOver, protocol::job_outcome::not_owned, "this host does not own the cell", 0, {}, {} } });
}

void cell_host::impl::sayHello()
{
    const std::string bytes = protocol::encodeCellMessage(protocol::entry_hello { settings.host, incarnation, inForce.version, isLeaving });
    for (const std::string& host : controlPeers)
        links.send(controlMeshName(host), bytes);
}

void cell_host::impl::gossip(const std::vector<std::string>& hosts)
{
    protocol::host_gossip gossip = ownership.gossip();
    gossip.configurationVersion = inForce.version;
    for (protocol::cell_claim& claim : gossip.claims) {
        if (const auto dispatcher = dispatchers.find(claim.cell); dispatcher != dispatchers.end())
            claim.rooms = dispatcher->second->rooms(steadyNow());
    }
    const std::string bytes = protocol::encodeCellMessage(gossip);
    for (const std::string& host : hosts)
        links.send(host, bytes);
}

void cell_host::impl::applyOwnership()
{
    const std::vector<cells::ownership_change> changes = ownership.advance(steadyNow(), protocol::unixNow().count());
    for (const cells::ownership_change& change : changes) {
        if (change.token == 0)
            disown(change.cell);
        else
            own(change.cell, change.token);
    }
    metrics.ownershipChanges.add(changes.size());
    if (!changes.empty())
        gossip({ entryPeers.begin(), entryPeers.end() });
}

void cell_host::impl::own(const std::string& cell, std::uint64_t token)
{
    logEvent(log_level::info, "cell_taken", { { "cell", cell }, { "token", std::to_string(token) }, { "upstreams", std::to_string(reports.size()) } });
    cells::cell_settings wanted;
    wanted.cell = cell;
    wanted.token = token;
    wanted.maxLease = settings.maxLease;
    wanted.stopTime = settings.stopTime;
    wanted.reportInterval = settings.reportInterval;
    wanted.directorySince = directorySince;
    cells::cell_hooks decisions;
    decisions.onDecision = [cell](const cells::cell_decision& decision) {
        logEvent(log_level::info, decision.event, { { "subject", decision.subject }, { "cell", cell }, { "inputs", decision.inputs } });
    };
    decisions.findOtherCell = [this](const protocol::job_order& order) { return findOtherCell(order); };
    const time_point now = steadyNow();
    auto dispatcher = std::make_shared<cells::cell_dispatcher>(wanted, std::move(decisions), now);
    for (const auto& [id, known] : reports) {
        if (known.report.zone == cell)
            dispatcher->hearUpstream(now, known.report);
    }
    dispatchers[cell] = std::move(dispatcher);
}

void cell_host::impl::disown(const std::string& cell)
{
    const auto found = dispatchers.find(cell);
    if (found == dispatchers.end())
        return;
    const std::shared_ptr<cells::cell_dispatcher> dispatcher = found->second;
    dispatcher->release(steadyNow());
    for (const cells::cell_action& action : dispatcher->takeActions()) {
        if (const auto* answer = std::get_if<cells::owner_answer>(&action))
            answerDesks(*answer);
    }
    dispatchers.erase(cell);
    logEvent(log_level::info, "cell_given_up", { { "cell", cell } });
}

std::string cell_host::impl::findOtherCell(const protocol::job_order& order)
{
    return otherRooms.take(order, [this](std::string_view cell) {
        const auto owner = ownership.ownerOf(steadyNow(), cell);
        return !dispatchers.contains(cell) && owner && !owner->isSelf;
    });
}

void cell_host::impl::noteSilentDesks()
{
    const time_point now = steadyNow();
    std::set<std::string> silent;
    for (std::string& host : ownership.silentHosts(now))
        silent.insert(std::move(host));
    for (const std::string& host : silent) {
        if (silentDesks.contains(host))
            continue;
        logEvent(log_level::warning, "host_silent", { { "host", host } });
        for (const auto& [cell, dispatcher] : dispatchers)
            dispatcher->loseDesk(now, host);
    }
    for (const std::string& host : silentDesks) {
        if (!silent.contains(host))
            logEvent(log_level::info, "host_heard_again", { { "host", host } });
    }
    silentDesks = std::move(silent);
}

void cell_host::impl::advance()
{
    const time_point now = steadyNow();
    for (const auto& [cell, dispatcher] : dispatchers) {
        if (dispatcher->isFenced())
            ownership.noteFenced(now, cell);
    }
    applyOwnership();
    noteSilentDesks();
    for (const auto& [cell, dispatcher] : dispatchers)
        dispatcher->advance(now);
    desk.advance(now);
    const bool hasOwner = ownership.ownerOf(now, settings.zone).has_value();
    if (hasOwner != hadOwner)
        logEvent(hasOwner ? log_level::info : log_level::warning, hasOwner ? "cell_has_owner" : "cell_without_owner", { { "cell", settings.zone } });
    hadOwner = hasOwner;
    std::erase_if(reports, [now](const auto& item) { return now - item.second.heardAt > forgetReports; });
    pump();
}

void cell_host::impl::scheduleTick()
{
    const bool isBusy = desk.size() > 0 || std::any_of(dispatchers.begin(), dispatchers.end(), [](const auto& item) { return item.second->counts().jobs > 0; });
    tickTimer = loop.after(isBusy ? busyTick : idleTick, [this] {
        advance();
        scheduleTick();
    });
}

void cell_host::impl::pump()
{
    if (isPumping)
        return;
    isPumping = true;
    while (pumpDispatchers() || pumpDesk()) { }
    isPumping = false;
}

bool cell_host::impl::pumpDispatchers()
{
    bool didAny = false;
    const auto copies = dispatchers; // an action may change the map
    for (const auto& [cell, dispatcher] : copies) {
        for (const cells::cell_action& action : dispatcher->takeActions()) {
            perform(dispatcher, action);
            didAny = true;
        }
    }
    return didAny;
}

bool cell_host::impl::pumpDesk()
{
    const std::vector<cells::desk_action> actions = desk.takeActions();
    for (const cells::desk_action& action : actions)
        perform(action);
    return !actions.empty();
}

void cell_host::impl::perform(const std::shared_ptr<cells::cell_dispatcher>& dispatcher, const cells::cell_action& action)
{
    const std::weak_ptr<cells::cell_dispatcher> weak = dispatcher;
    if (const auto* start = std::get_if<cells::start_order>(&action)) {
        metrics.starts.add();
        hooks.upstreams.start(*start, [this, weak, order = *start](const cells::call_answer& answer) {
            if (const auto held = weak.lock()) {
                held->onStart(steadyNow(), order, answer);
                pump();
            }
        });
    } else if (const auto* stop = std::get_if<cells::stop_order>(&action)) {
        hooks.upstreams.stop(*stop, [this, weak, order = *stop](const cells::call_answer& answer) {
            if (const auto held = weak.lock()) {
                held->onStop(steadyNow(), order, answer);
                pump();
            }
        });
    } else if (const auto* look = std::get_if<cells::look_order>(&action)) {
        hooks.upstreams.look(*look, [this, weak, order = *look](const cells::look_answer& answer) {
            if (const auto held = weak.lock()) {
                held->onLook(steadyNow(), order, answer);
                pump();
            }
        });
    } else {
        answerDesks(std::get<cells::owner_answer>(action));
    }
}

void cell_host::impl::answerDesks(const cells::owner_answer& answer)
{
    for (const std::string& host : answer.desks) {
        if (host == settings.host)
            desk.onAnswer(steadyNow(), host, answer.answer);
        else
            sendTo(host, answer.answer);
    }
}

void cell_host::impl::perform(const cells::desk_action& action)
{
    if (const auto* send = std::get_if<cells::send_order>(&action)) {
        const protocol::job_order& order = send->order;
        logEvent(log_level::info, "job_handed", { { "subject", order.id }, { "cell", order.cell }, { "owner", send->host }, { "token", std::to_string(order.token) }, { "hand_over", std::to_string(order.handOver) }, { "age_ms", std::to_string(order.ageMs) }, { "time_left_ms", std::to_string(order.timeLeftMs) } });
        if (send->host == settings.host)
            onOrder(send->order, settings.host);
        else
            sendTo(send->host, send->order);
        return;
    }
    if (const auto* cancel = std::get_if<cells::send_cancel>(&action)) {
        if (cancel->host != settings.host)
            return sendTo(cancel->host, protocol::job_cancel { cancel->job });
        for (const auto& [cell, dispatcher] : dispatchers)
            dispatcher->cancel(steadyNow(), cancel->job, settings.host);
        return;
    }
    const auto& answer = std::get<cells::answer_callers>(action);
    for (const cells::caller_number caller : answer.callers) {
        if (auto completion = completions.extract(caller); !completion.empty()) {
            metrics.countAnswer(answer.answer.outcome, steadyNow() - completion.mapped().since);
            completion.mapped().done(answer.answer);
        }
    }
}

void cell_host::impl::sendTo(const std::string& host, const cell_message& message)
{
    if (!links.send(host, protocol::encodeCellMessage(message)))
        logEvent(log_level::warning, "message_dropped", { { "host", host }, { "kind", std::to_string(message.index()) } });
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
        self.controlPeers.insert(seed);
        self.links.setPeer(controlMeshName(seed), seed + ':' + std::to_string(self.settings.controlMeshPort));
    }
    self.timers.push_back(self.loop.every(helloInterval, [&self] { self.sayHello(); }));
    self.timers.push_back(self.loop.every(gossipInterval, [&self] { self.gossip({ self.entryPeers.begin(), self.entryPeers.end() }); }));
    self.timers.push_back(self.loop.every(roomInterval, [&self] {
        if (!self.dispatchers.empty())
            self.gossip(self.ownership.ownersBesidesSelf(steadyNow()));
    }));
    self.sayHello();
    self.scheduleTick();
    return boost::outcome_v2::success();
}

cells::caller_number cell_host::submit(protocol::job_order order, job_completion done)
{
    const cells::caller_number caller = ++m_impl->lastCaller;
    m_impl->completions.emplace(caller, impl::waiting_caller { std::move(done), steadyNow() });
    m_impl->desk.submit(steadyNow(), std::move(order), caller);
    m_impl->pump();
    return caller;
}

void cell_host::loseCaller(cells::caller_number caller)
{
    m_impl->completions.erase(caller);
    m_impl->desk.loseCaller(caller);
    m_impl->pump();
}

bool cell_host::cancel(std::string_view job)
{
    const bool isKnown = m_impl->desk.cancel(job);
    m_impl->pump();
    return isKnown;
}

bool cell_host::isReady() const
{
    return !m_impl->isLeaving && m_impl->inForce.version > 0 && m_impl->hadOwner;
}

void cell_host::leave()
{
    m_impl->isLeaving = true;
    m_impl->ownership.leave();
    m_impl->applyOwnership();
    m_impl->gossip({ m_impl->entryPeers.begin(), m_impl->entryPeers.end() });
    m_impl->pump();
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
    self.metrics.openJobs.set(static_cast<double>(self.desk.size()));
    self.metrics.waitingTasks.set(static_cast<double>(waiting));
    self.metrics.ownedCells.set(static_cast<double>(self.dispatchers.size()));
    self.metrics.upstreams.set(static_cast<double>(adopted));
    self.metrics.configurationVersion.set(static_cast<double>(self.inForce.version));
    self.metrics.logLinesLeftOut.set(static_cast<double>(state::logLinesLeftOut()));
    return self.allMetrics.toPrometheus();
}

std::size_t cell_host::openJobs() const
{
    return m_impl->desk.size();
}

} // namespace jackdaw::cell_host
