// Links between the system's own processes: one listener for each process and one sending connection for each peer, all on
// the event loop. Sends never block; each peer has a bounded queue. A silent link is closed and dialled anew.
#pragma once

#include "protocol/result.h"
#include "protocol/time.h"
#include "transport/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace jackdaw::transport {

struct mesh_settings {
    std::string host; // this process's name in the mesh
    std::uint64_t incarnation = 0; // random for each start
    std::string listenAddress; // "ip:port"
    std::size_t maxQueuedBytes = 4 * 1024 * 1024; // for each peer; what is over it is dropped
    std::size_t maxMessageBytes = 32 * 1024 * 1024; // of a received message: a sender's queue goes out as one
    std::size_t maxReceivedBytes = 64 * 1024 * 1024; // of all unfinished messages together
    std::size_t maxConnections = 4096; // accepted ones
    protocol::duration silenceLimit = std::chrono::milliseconds(1500); // nothing heard for so long: dial anew
};

// A message as it arrived. The views hold during the hook only.
struct mesh_delivery {
    std::string_view sender;
    std::uint64_t senderIncarnation = 0;
    std::string_view body;
};

class mesh {
public:
    using delivery_hook = std::function<void(const mesh_delivery& delivery)>;

    // Nobody listens at the peer's address: its process has ended, and its links with it. Runs for each attempt to reach it.
    using refusal_hook = std::function<void(std::string_view host)>;

    // The hooks run on the loop's thread. onRefused may be empty, and must not change the peers.
    mesh(event_loop& loop, mesh_settings settings, delivery_hook onDelivery, refusal_hook onRefused = {});
    ~mesh();

    protocol::result<void> listen();

    // Adds or moves a peer; links to it are opened in the background.
    void setPeer(const std::string& host, const std::string& address);
    void removePeer(const std::string& host);

    // Queues a message. False when there is no such peer or its queue is full: the message is dropped.
    bool send(std::string_view host, std::string_view body);

    std::uint64_t sentMessages() const;
    std::uint64_t sentBytes() const;
    std::uint64_t droppedMessages() const;
    std::size_t openLinks() const; // sending connections on which the peer has answered
    std::size_t acceptedConnections() const;
    std::uint64_t closedConnections() const; // accepted ones that were closed because of a limit

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::transport
