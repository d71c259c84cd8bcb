// Heartbeats and messages between entry hosts.
#include "apps/entry/entry_mesh.h"

#include "apps/entry/announcement_relay.h"
#include "protocol/config_messages.h"
#include "state/log.h"
#include "transport/mesh.h"

#include <set>
#include <string>
#include <utility>

namespace jackdaw::entry {

using protocol::heartbeat;
using protocol::job_forward;
using protocol::job_forward_answer;
using protocol::job_withdrawal;
using protocol::mesh_message;
using protocol::service_message;
using protocol::steadyNow;
using state::log_level;
using state::logEvent;

namespace {

    transport::mesh_settings linkSettings(const entry_settings& settings, std::uint64_t incarnation)
    {
        transport::mesh_settings out;
        out.host = settings.host;
        out.incarnation = incarnation;
        out.listenAddress = settings.mesh.host + ':' + std::to_string(settings.mesh.port);
        out.silenceLimit = settings.peerSilenceLimit;
        return out;
    }

    message_purpose purposeOf(const mesh_message& message)
    {
        if (std::holds_alternative<heartbeat>(message))
            return message_purpose::heartbeat;
        const auto* service = std::get_if<service_message>(&message);
        if (!service)
            return message_purpose::forward;
        switch (service->service) {
        case protocol::mesh_service::claims:
            return message_purpose::claim;
        case protocol::mesh_service::slot_leases:
            return message_purpose::lease;
        case protocol::mesh_service::configuration:
            break;
        }
        return message_purpose::config;
    }

} // namespace

class entry_mesh::impl {
public:
    impl(transport::event_loop& decisions, const entry_settings& entrySettings, std::uint64_t incarnation, entry_counters& counterPage, hooks meshHooks)
        : loop(decisions)
        , settings(entrySettings)
        , counters(counterPage)
        , actions(std::move(meshHooks))
        , peers(settings.peers, settings.zone, settings.peerSilenceLimit)
        , relay(settings.peers, actions.onAnnouncement)
        , links(decisions, linkSettings(settings, incarnation), [this](const transport::mesh_delivery& delivery) { receive(delivery); })
    {
        for (const peer_settings& peer : settings.peers)
            links.setPeer(peer.host, peer.address);
        for (const control_settings& control : settings.controls) {
            const std::string name = protocol::controlMeshName(control.host);
            controls.insert(name);
            links.setPeer(name, control.address);
        }
    }

    bool send(std::string_view host, const mesh_message& message)
    {
        counters.countMessages(purposeOf(message));
        return links.send(host, protocol::encode(message));
    }

    void beat()
    {
        const bool isOtherZonesTurn = beats % otherZoneHeartbeatRatio == 0;
        ++beats;
        for (const peer_settings& peer : settings.peers) {
            if (isOtherZonesTurn || peer.zone == settings.zone)
                beatTo(peer.host);
        }
        relay.expire(steadyNow());
    }

    void beatToAll()
    {
        for (const peer_settings& peer : settings.peers)
            beatTo(peer.host);
    }

    void beatTo(const std::string& peer)
    {
        heartbeat message;
        message.zone = settings.zone;
        message.isDraining = isDraining;
        message.rulesVersion = actions.rulesVersion ? actions.rulesVersion() : 0;
        relay.fill(steadyNow(), peer, message);
        send(peer, std::move(message));
    }

    void receive(const transport::mesh_delivery& delivery)
    {
        if (!peers.find(delivery.sender) && !controls.contains(delivery.sender))
            return logEvent(log_level::warning, "unknown_peer", { { "peer", std::string(delivery.sender) } });
        auto message = protocol::decodeMeshMessage(delivery.body);
        if (!message)
            return logEvent(log_level::warning, "message_refused", { { "peer", std::string(delivery.sender) }, { "reason", message.error().detail } });
        const mesh_sender sender { delivery.sender, delivery.senderIncarnation };
        std::visit([&](auto&& body) { take(sender, std::forward<decltype(body)>(body)); }, std::move(message.value()));
    }

    void take(const mesh_sender& sender, const heartbeat& message)
    {
        const std::string host(sender.host);
        if (!peers.find(host))
            return;
        const peer_state& known = *peers.find(host);
        const bool isNewIncarnation = known.incarnation != sender.incarnation;
        peers.hear(steadyNow(), sender.host, sender.incarnation, message);
        if (isNewIncarnation) {
            logEvent(log_level::info, "peer_heard", { { "peer", host }, { "zone", known.zone }, { "incarnation", std::to_string(sender.incarnation) } });
            relay.reset(host);
            beatTo(host);
        }
        relay.take(steadyNow(), host, message);
        if (actions.onHeartbeat)
            actions.onHeartbeat(sender, message);
    }

    void take(const mesh_sender& sender, job_forward&& message) { actions.onForward(sender, std::move(message)); }
    void take(const mesh_sender& sender, job_forward_answer&& message) { actions.onForwardAnswer(sender, std::move(message)); }
    void take(const mesh_sender& sender, const job_withdrawal& message) { actions.onWithdrawal(sender, message); }
    void take(const mesh_sender& sender, const service_message& message) { actions.onService(sender, message); }

    transport::event_loop& loop;
    const entry_settings& settings;
    entry_counters& counters;
    const hooks actions;
    peer_table peers;
    std::uint64_t beats = 0;
    std::set<std::string, std::less<>> controls; // names of the control hosts in the mesh
    announcement_relay relay;
    transport::mesh links;
    std::unique_ptr<transport::event_loop::timer> heartbeatTimer;
    bool isDraining = false;
};

entry_mesh::entry_mesh(transport::event_loop& decisions, const entry_settings& settings, std::uint64_t incarnation, entry_counters& counters, hooks meshHooks)
    : m_impl(std::make_unique<impl>(decisions, settings, incarnation, counters, std::move(meshHooks)))
{
}

entry_mesh::~entry_mesh() = default;

protocol::result<void> entry_mesh::open()
{
    if (m_impl->settings.isAlone())
        return boost::outcome_v2::success();
    if (auto listening = m_impl->links.listen(); !listening)
        return listening;
    m_impl->heartbeatTimer = m_impl->loop.every(m_impl->settings.heartbeat, [this] { m_impl->beat(); });
    m_impl->beat();
    return boost::outcome_v2::success();
}

const peer_table& entry_mesh::peers() const
{
    return m_impl->peers;
}

void entry_mesh::relay(protocol::time_point heardAt, const protocol::announcement& announcement)
{
    m_impl->relay.hear(heardAt, announcement);
}

bool entry_mesh::send(std::string_view host, const mesh_message& message)
{
    return m_impl->send(host, message);
}

std::uint64_t entry_mesh::sentFrames() const
{
    return m_impl->links.sentMessages();
}

std::uint64_t entry_mesh::sentBytes() const
{
    return m_impl->links.sentBytes();
}

void entry_mesh::startDrain()
{
    m_impl->isDraining = true;
    m_impl->beatToAll();
}

} // namespace jackdaw::entry
