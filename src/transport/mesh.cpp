// Links between processes: batches messages into frames, counts acknowledgements, dials silent links anew.
#include "transport/mesh.h"

#include "transport/internal/mesh_frame.h"
#include "transport/internal/mesh_link.h"
#include "transport/internal/mesh_listener.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace jackdaw::transport {
namespace {

    using protocol::time_point;
    using connection_id = internal::mesh_listener::connection_id;

    constexpr std::size_t maxHostNameBytes = 255; // as for names in DNS
    constexpr int ticksPerSilenceLimit = 6;
    constexpr int ackShare = 3; // an acknowledgement waits a third of the silence limit for a frame that carries it

    // A host that has just got power loses the first packet of a connection, which the kernel sends again after a second.
    constexpr protocol::duration firstDialPatience = std::chrono::milliseconds(200);

    struct peer {
        std::string address;
        std::unique_ptr<internal::mesh_link> link;
        std::vector<std::string> queue; // goes out with the next frame
        std::size_t queuedBytes = 0;
        std::uint64_t lastSequence = 0; // of the frames with bodies that were sent
        std::uint64_t ackedSequence = 0; // never over lastSequence
        time_point unackedSince; // valid while ackedSequence < lastSequence
        bool isInputAwaited = false; // the link looked silent at the last tick, while bytes of the peer were unread
        std::uint64_t heardIncarnation = 0;
        std::uint64_t heardSequence = 0;
        time_point dialledAt;
        protocol::duration dialPatience = firstDialPatience;
        bool hasSent = false; // over the present link, so it was open
        bool isFlushPosted = false;
        bool owesAck = false; // heard a frame with bodies since the last frame to this peer
        time_point owesAckSince; // valid while owesAck
    };

} // namespace

class mesh::impl {
public:
    impl(event_loop& eventLoop, mesh_settings meshSettings, delivery_hook hook, refusal_hook refusalHook)
        : loop(eventLoop)
        , settings(std::move(meshSettings))
        , onDelivery(std::move(hook))
        , onRefused(std::move(refusalHook))
        , listener(loop, { settings.maxMessageBytes, settings.maxReceivedBytes, settings.maxConnections }, [this](connection_id connection, std::string_view bytes) { receive(connection, bytes); })
        , ticker(loop.every(settings.silenceLimit / ticksPerSilenceLimit, [this] { tick(); }))
    {
    }

    void setPeer(const std::string& host, const std::string& address)
    {
        peer& peer = peers[host];
        if (peer.address == address)
            return;
        peer.address = address;
        peer.ackedSequence = peer.lastSequence;
        dial(host, peer);
    }

    void dial(const std::string& host, peer& peer)
    {
        const auto reportRefusal = [this, host] {
            if (onRefused)
                onRefused(host);
        };
        peer.link = std::make_unique<internal::mesh_link>(loop, peer.address, internal::mesh_link::hooks { [this, host] { onSent(host); }, reportRefusal });
        peer.dialledAt = protocol::steadyNow();
        peer.hasSent = false;
        peer.isInputAwaited = false;
    }

    bool send(std::string_view host, std::string_view body)
    {
        const auto found = peers.find(host);
        if (found == peers.end() || found->second.queuedBytes + body.size() > settings.maxQueuedBytes) {
            ++dropped;
            return false;
        }
        peer& peer = found->second;
        peer.queue.emplace_back(body);
        peer.queuedBytes += body.size();
        if (!peer.isFlushPosted && !peer.link->isSending()) {
            peer.isFlushPosted = true;
            loop.post([this, alive = std::weak_ptr<bool>(aliveToken), name = std::string(host)] {
                if (!alive.expired())
                    flush(name);
            });
        }
        return true;
    }

    void onSent(const std::string& host)
    {
        if (const auto found = peers.find(host); found != peers.end()) {
            found->second.hasSent = true;
            found->second.dialPatience = firstDialPatience;
        }
        flush(host);
    }

    // A link that never opened has sent nothing: its frame goes out over the next one.
    void dialUnopened(const std::string& host, peer& peer)
    {
        std::string unsent = peer.link->takeUnsent();
        dial(host, peer);
        peer.dialPatience = std::min(peer.dialPatience * 2, settings.silenceLimit);
        peer.unackedSince = peer.dialledAt;
        peer.link->send(std::move(unsent));
    }

    void flush(const std::string& host)
    {
        const auto found = peers.find(host);
        if (found == peers.end())
            return;
        found->second.isFlushPosted = false;
        if (!found->second.queue.empty() && !found->second.link->isSending())
            sendFrame(found->second);
    }

    static void takeBodies(peer& peer, internal::mesh_frame& frame)
    {
        if (peer.queue.size() <= internal::maxFrameBodies) {
            frame.bodies.swap(peer.queue);
            peer.queuedBytes = 0;
            return;
        }
        const auto end = peer.queue.begin() + internal::maxFrameBodies;
        for (auto body = peer.queue.begin(); body != end; ++body) {
            peer.queuedBytes -= body->size();
            frame.bodies.push_back(std::move(*body));
        }
        peer.queue.erase(peer.queue.begin(), end);
    }

    void sendFrame(peer& peer)
    {
        internal::mesh_frame frame;
        frame.sender = settings.host;
        frame.senderIncarnation = settings.incarnation;
        frame.ackIncarnation = peer.heardIncarnation;
        frame.ackSequence = peer.heardSequence;
        takeBodies(peer, frame);
        peer.owesAck = false;
        if (!frame.bodies.empty()) {
            if (peer.ackedSequence == peer.lastSequence)
                peer.unackedSince = protocol::steadyNow();
            ++peer.lastSequence;
        }
        frame.sequence = peer.lastSequence;
        std::string bytes = internal::encodeFrame(frame);
        ++sentMessages;
        sentBytes += bytes.size();
        peer.link->send(std::move(bytes));
    }

    void receive(connection_id connection, std::string_view bytes)
    {
        const auto frame = internal::decodeFrame(bytes);
        if (!frame || frame.value().sender.size() > maxHostNameBytes)
            return;
        replaceConnection(frame.value().sender, connection);
        note(frame.value());
        for (const std::string& body : frame.value().bodies)
            onDelivery({ frame.value().sender, frame.value().senderIncarnation, body });
    }

    // A process that lost power or was cut off never ends its connections; it opens new ones when it is back.
    void replaceConnection(const std::string& sender, connection_id connection)
    {
        connection_id& latest = inbound[sender];
        if (connection <= latest)
            return;
        // What the sender wrote on the earlier one comes first.
        if (const connection_id earlier = std::exchange(latest, connection); earlier != 0)
            listener.finish(earlier);
    }

    void note(const internal::mesh_frame& frame)
    {
        const auto found = peers.find(frame.sender);
        if (found == peers.end())
            return;
        peer& peer = found->second;
        if (!peer.owesAck && !frame.bodies.empty()) {
            peer.owesAck = true;
            peer.owesAckSince = protocol::steadyNow();
        }
        const bool isNewIncarnation = peer.heardIncarnation != frame.senderIncarnation;
        peer.heardSequence = isNewIncarnation ? frame.sequence : std::max(peer.heardSequence, frame.sequence);
        peer.heardIncarnation = frame.senderIncarnation;
        if (frame.ackIncarnation != settings.incarnation || frame.ackSequence <= peer.ackedSequence)
            return;
        peer.ackedSequence = std::min(frame.ackSequence, peer.lastSequence);
        peer.unackedSince = protocol::steadyNow();
        peer.isInputAwaited = false;
    }

    // An acknowledgement may wait unread while this process is late. It is read before the next tick, or is not among those bytes.
    bool awaitsInput(const std::string& host, peer& peer) const
    {
        const auto connection = inbound.find(host);
        return !std::exchange(peer.isInputAwaited, true) && connection != inbound.end() && listener.hasUnread(connection->second);
    }

    // Sends the acknowledgements that no frame carried, and dials silent links anew.
    void tick()
    {
        const time_point now = protocol::steadyNow();
        std::erase_if(inbound, [this](const auto& item) { return !listener.isConnected(item.second); });
        for (auto& [host, peer] : peers) {
            const bool isUnopened = !peer.hasSent && !peer.link->isOpen() && peer.link->isSending() && now - peer.dialledAt >= peer.dialPatience;
            const bool isSilent = peer.ackedSequence < peer.lastSequence && now - peer.unackedSince >= settings.silenceLimit;
            if (isUnopened) {
                dialUnopened(host, peer);
            } else if (isSilent && !awaitsInput(host, peer)) {
                peer.ackedSequence = peer.lastSequence; // what is lost is lost: nobody sends it again
                dial(host, peer);
            }
            if (peer.owesAck && now - peer.owesAckSince >= settings.silenceLimit / ackShare && !peer.link->isSending())
                sendFrame(peer);
        }
    }

    event_loop& loop;
    mesh_settings settings;
    delivery_hook onDelivery;
    const refusal_hook onRefused;
    std::map<std::string, peer, std::less<>> peers;
    std::shared_ptr<bool> aliveToken = std::make_shared<bool>(true);
    internal::mesh_listener listener;
    std::map<std::string, connection_id> inbound; // by sender, its latest connection
    std::unique_ptr<event_loop::timer> ticker;
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t dropped = 0;
};

mesh::mesh(event_loop& loop, mesh_settings settings, delivery_hook onDelivery, refusal_hook onRefused)
    : m_impl(std::make_unique<impl>(loop, std::move(settings), std::move(onDelivery), std::move(onRefused)))
{
}

mesh::~mesh() = default;

protocol::result<void> mesh::listen()
{
    return m_impl->listener.listen(m_impl->settings.listenAddress);
}

void mesh::setPeer(const std::string& host, const std::string& address)
{
    m_impl->setPeer(host, address);
}

void mesh::removePeer(const std::string& host)
{
    m_impl->peers.erase(host);
}

bool mesh::send(std::string_view host, std::string_view body)
{
    return m_impl->send(host, body);
}

std::uint64_t mesh::sentMessages() const
{
    return m_impl->sentMessages;
}

std::uint64_t mesh::sentBytes() const
{
    return m_impl->sentBytes;
}

std::size_t mesh::openLinks() const
{
    return static_cast<std::size_t>(std::count_if(m_impl->peers.begin(), m_impl->peers.end(), [](const auto& item) { return item.second.link->isOpen(); }));
}

std::size_t mesh::acceptedConnections() const
{
    return m_impl->listener.connections();
}

std::uint64_t mesh::closedConnections() const
{
    return m_impl->listener.closedConnections();
}

std::uint64_t mesh::droppedMessages() const
{
    return m_impl->dropped;
}

} // namespace jackdaw::transport
