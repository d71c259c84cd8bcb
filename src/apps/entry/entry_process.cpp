// Wires the parts of one entry host. Threads: decisions (the main one), callers, operators (with the upstreams'
// announcements), and the upstream gateway's own.
#include "apps/entry/entry_process.h"

#include "apps/entry/caller_api.h"
#include "apps/entry/claim_groups.h"
#include "apps/entry/dispatch_driver.h"
#include "apps/entry/entry_counters.h"
#include "apps/entry/entry_mesh.h"
#include "apps/entry/job_forwarder.h"
#include "apps/entry/job_registry.h"
#include "apps/entry/job_service.h"
#include "apps/entry/loop_thread.h"
#include "apps/entry/operator_api.h"
#include "apps/entry/remote_callers.h"
#include "apps/entry/rules_client.h"
#include "apps/entry/slot_share.h"
#include "apps/entry/upstream_api.h"
#include "apps/entry/upstream_gateway.h"
#include "state/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <optional>
#include <random>
#include <utility>

namespace jackdaw::entry {

using protocol::result;
using state::log_level;
using state::logEvent;
using transport::http_server;

namespace {

    constexpr std::chrono::seconds leaveLimit { 3 }; // for leaving the claim groups
    constexpr std::chrono::seconds connectionLimit { 3 }; // for responses to be sent and requests to be refused once no job is open; as for leaving
    constexpr protocol::duration tickInterval = std::chrono::milliseconds(100);
    constexpr protocol::duration rulesPullInterval = std::chrono::seconds(1);
    constexpr std::size_t maxSmallBodyBytes = 64 * 1024; // of upstreams' and operators' requests

    std::uint64_t randomNumber()
    {
        std::random_device source;
        return (static_cast<std::uint64_t>(source()) << 32) | source();
    }

    transport::http_server_limits callerLimits(const entry_settings& settings)
    {
        transport::http_server_limits limits;
        limits.maxBodyBytes = settings.job.maxBodyBytes;
        limits.maxConnections = settings.maxConnections;
        return limits;
    }

    transport::http_server_limits smallBodyLimits()
    {
        transport::http_server_limits limits;
        limits.maxBodyBytes = maxSmallBodyBytes;
        return limits;
    }

    std::vector<std::string> controlNames(const entry_settings& settings)
    {
        std::vector<std::string> names;
        for (const control_settings& control : settings.controls)
            names.push_back(protocol::controlMeshName(control.host));
        return names;
    }

    enum class serving_state {
        serving,
        leaving, // the balancer is told to go elsewhere; new work is still served
        refusing // new work is refused; open jobs go on
    };

    std::string_view toText(serving_state state)
    {
        switch (state) {
        case serving_state::serving:
            return "serving";
        case serving_state::leaving:
            return "leaving";
        case serving_state::refusing:
            break;
        }
        return "refusing";
    }

} // namespace

class entry_process::impl {
public:
    impl(entry_settings entrySettings, std::string file);
    ~impl() { stopThreads(); }

    result<void> listen(http_server& server, const transport::endpoint& place, std::string_view name);
    result<void> openAll();
    void run();

private:
    entry_mesh::hooks meshHooks();
    rules_client::hooks rulesHooks();
    void setRules(const std::shared_ptr<const coordination::rules>& inForce);
    void hearUpstream(protocol::time_point heardAt, const protocol::announcement& announcement);
    job_service_settings jobSettings() const;
    void onService(const mesh_sender& sender, const protocol::service_message& message);
    void tick();
    void onAnnouncement(protocol::time_point heardAt, const protocol::announcement& announcement);
    std::string statusJson() const;
    void startDrain();
    void refuseNewJobs();
    void endWhenDone();
    void rereadLogLevel() const;
    void stopThreads();

    const entry_settings m_settings;
    const std::string m_settingsFile;
    const std::uint64_t m_incarnation = randomNumber();
    serving_state m_state = serving_state::serving; // on the decision thread
    state::metrics m_metrics;
    entry_counters m_counters { m_metrics }; // of the decision thread
    state::gauge& m_meshFrames = m_metrics.addGauge("jackdaw_mesh_sent_frames", "Frames sent to other hosts since the start");
    state::gauge& m_meshBytes = m_metrics.addGauge("jackdaw_mesh_sent_bytes", "Bytes sent to other hosts since the start");
    apps::job_metrics m_services { m_metrics }; // of the decision thread
    entry_counters m_callerCounters { m_metrics };
    entry_counters m_operatorCounters { m_metrics };

    transport::event_loop m_decisions;
    loop_thread m_callers;
    loop_thread m_operators;

    dispatch_driver m_dispatch;
    rules_client m_rules;
    entry_mesh m_mesh;
    job_forwarder m_forwarder;
    claim_groups m_claims;
    job_registry m_registry;
    job_service m_jobs;
    remote_callers m_remoteCallers;
    upstream_gateway m_gateway;

    caller_api m_callerApi;
    upstream_api m_upstreamApi;
    operator_api m_operatorApi;
    http_server m_callerServer;
    http_server m_upstreamServer;
    http_server m_operatorServer;

    std::unique_ptr<transport::event_loop::timer> m_tick;
    std::unique_ptr<transport::event_loop::timer> m_pullTimer;
    std::unique_ptr<transport::event_loop::timer> m_drainTimer;
    protocol::time_point m_leaveDeadline; // then the process ends also as a voter; set with the refusal of new jobs
    std::optional<protocol::time_point> m_endDeadline; // then the process ends with connections open; set once no job is open
};

entry_process::impl::impl(entry_settings entrySettings, std::string file)
    : m_settings(std::move(entrySettings))
    , m_settingsFile(std::move(file))
    , m_dispatch(m_decisions, { .seed = randomNumber() },
          {
              .onStart = [this](const auto& action) { m_gateway.start(action); },
              .onSettle = [this](const auto& action) { m_gateway.settle(action); },
              .onAnswer = [this](auto action) { m_jobs.onAnswer(std::move(action)); },
          })
    , m_rules(controlNames(m_settings), m_settings.rulesFile, rulesHooks())
    , m_mesh(m_decisions, m_settings, m_incarnation, m_counters, meshHooks())
    , m_forwarder({}, m_mesh.peers(), [this](auto host, const auto& message) { return m_mesh.send(host, message); })
    , m_claims(m_decisions, m_settings, m_incarnation, randomNumber(), [this](auto host, const auto& message) { m_mesh.send(host, message); })
    , m_registry({ .maxStoredBytes = m_settings.maxStoredAnswerBytes })
    , m_jobs(
          jobSettings(), [this](const auto& job, auto onOutcome) { m_claims.claim(job, std::move(onOutcome)); }, m_dispatch, m_registry, m_forwarder, m_counters, m_services)
    , m_remoteCallers(m_jobs, [this](auto host, const auto& message) { return m_mesh.send(host, message); })
    , m_gateway(m_decisions, { .loops = m_settings.upstreamLoops, .maxConnections = m_settings.maxUpstreamConnections }, m_counters,
          [this](coordination::task_report report) { m_dispatch.report(std::move(report)); })
    , m_callerApi(m_callers.loop(), m_decisions, m_settings.job, m_jobs, m_callerCounters)
    , m_upstreamApi(m_operatorCounters, [this](protocol::time_point heardAt, protocol::announcement announcement) {
        m_decisions.post([this, heardAt, announcement = std::move(announcement)] { onAnnouncement(heardAt, announcement); });
    })
    , m_operatorApi([this] { return m_metrics.toPrometheus(); }, [this](std::function<void(std::string)> onStatus) { m_decisions.post([this, onStatus = std::move(onStatus)] {
                                                                                                                         m_operators.loop().post([json = statusJson(), onStatus] { onStatus(json); });
                                                                                                                     }); })
    , m_callerServer(m_callers.loop(), callerLimits(m_settings), [this](const auto& request, auto responder) { m_callerApi.onRequest(request, std::move(responder)); })
    , m_upstreamServer(m_operators.loop(), smallBodyLimits(), [this](const auto& request, const auto& responder) { m_upstreamApi.onRequest(request, *responder); })
    , m_operatorServer(m_operators.loop(), smallBodyLimits(), [this](const auto& request, const auto& responder) { m_operatorApi.onRequest(request, responder); })
{
}

entry_mesh::hooks entry_process::impl::meshHooks()
{
    entry_mesh::hooks hooks;
    hooks.onAnnouncement = [this](auto heardAt, const auto& announcement) { hearUpstream(heardAt, announcement); };
    hooks.onHeartbeat = [this](const auto&, const auto& message) { m_rules.hearVersion(message.rulesVersion); };
    hooks.rulesVersion = [this] { return m_rules.version(); };
    hooks.onForward = [this](const auto& sender, auto message) { m_remoteCallers.onForward(sender.host, sender.incarnation, std::move(message)); };
    hooks.onForwardAnswer = [this](const auto& sender, auto message) { m_forwarder.onAnswer(sender.host, std::move(message)); };
    hooks.onWithdrawal = [this](const auto& sender, const auto& message) { m_remoteCallers.onWithdrawal(sender.host, sender.incarnation, message); };
    hooks.onService = [this](const auto& sender, const auto& message) { onService(sender, message); };
    return hooks;
}

void entry_process::impl::onService(const mesh_sender& sender, const protocol::service_message& message)
{
    if (message.service == protocol::mesh_service::claims)
        m_claims.take(sender.host, message);
    else if (message.service == protocol::mesh_service::configuration)
        m_rules.take(std::string(sender.host), message.bytes);
}

void entry_process::impl::tick()
{
    m_jobs.tick();
    m_meshFrames.set(static_cast<double>(m_mesh.sentFrames()));
    m_meshBytes.set(static_cast<double>(m_mesh.sentBytes()));
    m_operatorApi.setReady(m_state == serving_state::serving && m_claims.isReady());
}

rules_client::hooks entry_process::impl::rulesHooks()
{
    rules_client::hooks hooks;
    hooks.onRules = [this](const auto& inForce) { setRules(inForce); };
    hooks.send = [this](const auto& control, const auto& message) {
        m_mesh.send(control, protocol::service_message { protocol::mesh_service::configuration, protocol::encodeConfigMessage(message) });
    };
    hooks.onDrain = [this] { startDrain(); };
    return hooks;
}

void entry_process::impl::setRules(const std::shared_ptr<const coordination::rules>& inForce)
{
    auto limited = std::make_shared<coordination::rules>(*inForce);
    limited->maxQueuedTasks = std::min(limited->maxQueuedTasks, m_settings.maxQueuedTasks);
    m_registry.setAnswerRetention(limited->answerRetention);
    m_dispatch.setRules(std::move(limited));
}

void entry_process::impl::hearUpstream(protocol::time_point heardAt, const protocol::announcement& announcement)
{
    if (announcement.zone != m_settings.zone)
        return;
    m_dispatch.hear(heardAt, announcement);
    const std::uint32_t share = slotShare(announcement.slots, announcement.name, m_settings.hostsOfZone(m_settings.zone), m_settings.host);
    m_dispatch.setSlots({ announcement.name, announcement.incarnation }, share);
}

job_service_settings entry_process::impl::jobSettings() const
{
    job_service_settings out;
    out.host = m_settings.host;
    out.incarnation = m_incarnation;
    out.zone = m_settings.zone;
    out.zones = m_settings.zones;
    out.abandonAfter = m_settings.abandonAfter;
    return out;
}

result<void> entry_process::impl::listen(http_server& server, const transport::endpoint& place, std::string_view name)
{
    if (auto listening = server.listen(place.host, place.port); !listening)
        return listening.error();
    logEvent(log_level::info, "listening", { { "for", std::string(name) }, { "address", place.host }, { "port", std::to_string(server.port()) } });
    return boost::outcome_v2::success();
}

result<void> entry_process::impl::openAll()
{
    if (auto opened = m_mesh.open(); !opened)
        return opened;
    if (auto opened = listen(m_upstreamServer, m_settings.upstreams, "upstreams"); !opened)
        return opened;
    if (auto opened = listen(m_operatorServer, m_settings.operators, "operators"); !opened)
        return opened;
    return listen(m_callerServer, m_settings.callers, "callers");
}

void entry_process::impl::run()
{
    setRules(std::make_shared<const coordination::rules>());
    m_rules.start();
    m_pullTimer = m_decisions.every(rulesPullInterval, [this] { m_rules.pull(); });
    m_decisions.onSignal(SIGTERM, [this] { startDrain(); });
    m_decisions.onSignal(SIGINT, [this] { startDrain(); });
    m_decisions.onSignal(SIGHUP, [this] { rereadLogLevel(); });
    m_tick = m_decisions.every(tickInterval, [this] { tick(); });
    m_callers.start();
    m_operators.start();
    logEvent(log_level::info, "started", { { "host", m_settings.host }, { "zone", m_settings.zone } });
    m_decisions.run();
    stopThreads();
    logEvent(log_level::info, "stopped", { { "host", m_settings.host } });
}

void entry_process::impl::onAnnouncement(protocol::time_point heardAt, const protocol::announcement& announcement)
{
    hearUpstream(heardAt, announcement);
    m_mesh.relay(heardAt, announcement);
}

std::string entry_process::impl::statusJson() const
{
    const coordination::dispatcher_status status = m_dispatch.status();
    const coordination::claim_service_status claims = m_claims.status();
    return nlohmann::json {
        { "host", m_settings.host },
        { "zone", m_settings.zone },
        { "state", toText(m_state) },
        { "jobs", m_jobs.openJobs() },
        { "queued_tasks", status.queuedTasks },
        { "running_tasks", status.runningTasks },
        { "upstreams", status.upstreams },
        { "ejected_upstreams", status.ejectedUpstreams },
        { "starts", status.starts },
        { "retries", status.retries },
        { "settles", status.settles },
        { "stored_answer_bytes", m_registry.storedBytes() },
        { "rules_version", m_rules.version() },
        { "claims", claims.claims },
        { "claim_leader", claims.leaderHost.value_or("") },
        { "known_submissions", m_registry.records() },
    }
        .dump();
}

void entry_process::impl::startDrain()
{
    if (m_state != serving_state::serving)
        return;
    m_state = serving_state::leaving;
    m_operatorApi.setReady(false);
    m_mesh.startDrain();
    logEvent(log_level::info, "drain_started", { { "open_jobs", std::to_string(m_jobs.openJobs()) } });
    m_drainTimer = m_decisions.after(m_settings.drainLag, [this] { refuseNewJobs(); });
}

void entry_process::impl::refuseNewJobs()
{
    m_state = serving_state::refusing;
    m_jobs.refuseNewJobs();
    m_claims.startDrain();
    m_leaveDeadline = protocol::steadyNow() + leaveLimit;
    m_decisions.post([this] {
        m_drainTimer = m_decisions.every(tickInterval, [this] { endWhenDone(); });
    });
}

void entry_process::impl::endWhenDone()
{
    if (m_jobs.openJobs() > 0 || (!m_claims.hasLeft() && protocol::steadyNow() < m_leaveDeadline))
        return;
    if (!m_endDeadline)
        m_endDeadline = protocol::steadyNow() + connectionLimit;
    m_callers.loop().post([this, deadline = *m_endDeadline] {
        const bool haveCallersEnded = m_callerServer.endConnections();
        m_operators.loop().post([this, deadline, haveCallersEnded] {
            const bool haveUpstreamsEnded = m_upstreamServer.endConnections();
            const bool haveOperatorsEnded = m_operatorServer.endConnections();
            if ((haveCallersEnded && haveUpstreamsEnded && haveOperatorsEnded) || protocol::steadyNow() >= deadline)
                m_decisions.stop();
        });
    });
}

void entry_process::impl::rereadLogLevel() const
{
    const auto settings = readEntrySettings(m_settingsFile);
    if (!settings)
        return logEvent(log_level::error, "settings_refused", { { "reason", settings.error().detail } });
    state::configureLog({ settings.value().logLevel, "jackdaw-entry", settings.value().logFile });
    logEvent(log_level::info, "settings_reread", {});
}

void entry_process::impl::stopThreads()
{
    m_gateway.stop();
    m_callers.stop();
    m_operators.stop();
}

entry_process::entry_process(entry_settings settings, std::string settingsFile)
    : m_impl(std::make_unique<impl>(std::move(settings), std::move(settingsFile)))
{
}

entry_process::~entry_process() = default;

result<void> entry_process::open()
{
    return m_impl->openAll();
}

void entry_process::run()
{
    m_impl->run();
}

} // namespace jackdaw::entry
