// One event loop: mesh, HTTP server, timers, signals.
#include "apps/control/control_process.h"

#include "apps/control/control_messages.h"
#include "apps/control/group_log.h"
#include "apps/control/operator_api.h"
#include "apps/control/rules_publisher.h"
#include "apps/shared/zone_address.h"
#include "protocol/mesh_messages.h"
#include "state/log.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"
#include "transport/mesh.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace jackdaw::control {

using coordination::raft_message;
using protocol::result;
using protocol::steadyNow;
using state::log_level;
using state::logEvent;

namespace {

    constexpr protocol::duration helloInterval = std::chrono::milliseconds(500);
    constexpr protocol::duration pushAgainInterval = std::chrono::milliseconds(200);
    constexpr protocol::duration handOverTime = std::chrono::milliseconds(500); // for the transfer of leadership at a stop
    constexpr protocol::duration stopCheckInterval = std::chrono::milliseconds(50);

    std::vector<std::string> entryNames(const control_settings& settings)
    {
        std::vector<std::string> names;
        for (const entry_address& entry : settings.entries)
            names.push_back(entry.host);
        return names;
    }

} // namespace

class control_process::impl {
public:
    impl(control_settings wanted, operator_tokens wantedTokens, control_storage storage, std::uint64_t seed)
        : settings(std::move(wanted))
        , tokens(std::move(wantedTokens))
        , links(
              loop, meshSettings(settings, seed), [this](const transport::mesh_delivery& delivery) { onDelivery(delivery); })
        , publisher(entryNames(settings), [this](const std::string& host, const protocol::config_message& message) {
            sendToEntry(host, message);
        })
        , node(nodeSettings(settings, seed), std::move(storage), nodeHooks(), steadyNow())
        , api(settings, tokens, node, publisher, { steadyNow, [this](const std::string& host) { return sendToEntry(host, protocol::drain_request {}); } })
        , server(loop, {}, [this](const transport::http_request& request, const std::shared_ptr<transport::http_responder>& responder) {
            api.onRequest(request, responder);
            rearm();
        })
    {
    }

    const control_settings settings;
    const operator_tokens tokens;
    transport::event_loop loop;
    transport::mesh links;
    rules_publisher publisher;
    control_node node;
    operator_api api;
    transport::http_server server;
    std::unique_ptr<transport::event_loop::timer> nodeTimer;
    std::unique_ptr<transport::event_loop::timer> helloTimer;
    std::unique_ptr<transport::event_loop::timer> pushTimer;
    std::unique_ptr<transport::event_loop::timer> stopTimer;
    group_log groupLog;

    static transport::mesh_settings meshSettings(const control_settings& settings, std::uint64_t seed)
    {
        transport::mesh_settings out;
        out.host = protocol::controlMeshName(settings.host);
        out.incarnation = seed;
        out.listenAddress = apps::toText(settings.self().mesh);
        return out;
    }

    static control_node_settings nodeSettings(const control_settings& settings, std::uint64_t seed)
    {
        control_node_settings out;
        out.storage = { settings.dataFolder, settings.host, settings.group, {} };
        out.seed = seed;
        out.heartbeat = settings.heartbeat;
        out.minElectionTimeout = settings.minElectionTimeout;
        out.changeTimeout = settings.changeTimeout;
        out.compactAfterEntries = settings.compactAfterEntries;
        out.toleratedLosses = (settings.members.size() - 1) / 2;
        return out;
    }

    control_node_hooks nodeHooks()
    {
        return { [this](const raft_message& message) { links.send(protocol::controlMeshName(message.to.host), encode({ settings.group, message })); },
            [this] { publish(); } };
    }

    result<void> open();
    void run();
    void onDelivery(const transport::mesh_delivery& delivery);
    bool sendToEntry(const std::string& host, const protocol::config_message& message);
    void onEntryMessage(const transport::mesh_delivery& delivery);
    void onControlMessage(const transport::mesh_delivery& delivery);
    void logDamaged(std::string_view sender, const protocol::error& failure) const;
    void publish();
    void sayHello();
    void rearm();
    void stop();
};

result<void> control_process::impl::open()
{
    if (auto listening = links.listen(); !listening)
        return listening;
    const transport::endpoint& operators = settings.self().operators;
    if (auto listening = server.listen(operators.host, operators.port); !listening)
        return listening;
    for (const control_member& member : settings.members) {
        if (member.host != settings.host)
            links.setPeer(protocol::controlMeshName(member.host), apps::toText(member.mesh));
    }
    for (const entry_address& entry : settings.entries)
        links.setPeer(entry.host, apps::toText(entry.mesh));
    return boost::outcome_v2::success();
}

void control_process::impl::run()
{
    loop.onSignal(SIGTERM, [this] { stop(); });
    loop.onSignal(SIGINT, [this] { stop(); });
    helloTimer = loop.every(helloInterval, [this] { sayHello(); });
    pushTimer = loop.every(pushAgainInterval, [this] {
        if (node.isServingLeader())
            publisher.pushAgain(steadyNow());
    });
    publish();
    rearm();
    logEvent(log_level::info, "started", { { "host", settings.host }, { "incarnation", std::to_string(node.self().incarnation) }, { "operators", apps::toText(settings.self().operators) } });
    loop.run();
    logEvent(log_level::info, "stopped", { { "host", settings.host } });
}

bool control_process::impl::sendToEntry(const std::string& host, const protocol::config_message& message)
{
    return links.send(host, protocol::encode(protocol::service_message { protocol::mesh_service::configuration, protocol::encodeConfigMessage(message) }));
}

void control_process::impl::onDelivery(const transport::mesh_delivery& delivery)
{
    const bool isControl = delivery.sender.starts_with(protocol::controlMeshName({}));
    if (!isControl)
        return onEntryMessage(delivery);
    onControlMessage(delivery);
    rearm();
}

void control_process::impl::onEntryMessage(const transport::mesh_delivery& delivery)
{
    const auto envelope = protocol::decodeMeshMessage(delivery.body);
    if (!envelope)
        return logDamaged(delivery.sender, envelope.error());
    const auto* service = std::get_if<protocol::service_message>(&envelope.value());
    if (!service || service->service != protocol::mesh_service::configuration)
        return;
    const auto message = protocol::decodeConfigMessage(service->bytes);
    if (!message)
        return logDamaged(delivery.sender, message.error());
    if (const auto* pull = std::get_if<protocol::rules_pull>(&message.value()))
        publisher.onPull(steadyNow(), delivery.sender, pull->version);
}

void control_process::impl::onControlMessage(const transport::mesh_delivery& delivery)
{
    const auto message = decodeControlMessage(delivery.body);
    if (!message)
        return logDamaged(delivery.sender, message.error());
    if (message.value().group != settings.group)
        return;
    if (const auto* raft = std::get_if<raft_message>(&message.value().body))
        return node.step(steadyNow(), *raft);
    const auto& hello = std::get<member_hello>(message.value().body);
    if (settings.findMember(hello.member.host))
        node.hearMember(steadyNow(), hello.member);
}

void control_process::impl::logDamaged(std::string_view sender, const protocol::error& failure) const
{
    logEvent(log_level::warning, "damaged_message", { { "sender", std::string(sender) }, { "detail", failure.detail } });
}

void control_process::impl::publish()
{
    const coordination::rules_version& inForce = node.rules().inForce();
    publisher.publish(inForce.version, node.rules().text(), node.isServingLeader());
}

void control_process::impl::sayHello()
{
    const std::string hello = encode({ settings.group, member_hello { node.self() } });
    for (const control_member& member : settings.members) {
        if (member.host != settings.host)
            links.send(protocol::controlMeshName(member.host), hello);
    }
}

void control_process::impl::rearm()
{
    groupLog.update(node.status());
    const auto delay = std::max(node.nextTimer() - steadyNow(), protocol::duration::zero());
    nodeTimer = loop.after(delay, [this] {
        node.advance(steadyNow());
        rearm();
    });
}

void control_process::impl::stop()
{
    if (stopTimer)
        return;
    const bool isLeader = node.status().role == coordination::raft_role::leader;
    node.transferLeadership(steadyNow());
    const protocol::time_point handedOver = steadyNow() + (isLeader ? handOverTime : protocol::duration::zero());
    // An open change is answered within its time-out.
    stopTimer = loop.every(stopCheckInterval, [this, handedOver, end = handedOver + settings.changeTimeout + stopCheckInterval] {
        if (steadyNow() >= handedOver && (server.endConnections() || steadyNow() >= end))
            loop.stop();
    });
}

control_process::control_process(control_settings settings, operator_tokens tokens, control_storage storage, std::uint64_t seed)
    : m_impl(std::make_unique<impl>(std::move(settings), std::move(tokens), std::move(storage), seed))
{
}
control_process::~control_process() = default;

result<void> control_process::open()
{
    return m_impl->open();
}

void control_process::run()
{
    m_impl->run();
}

} // namespace jackdaw::control
