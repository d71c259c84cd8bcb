// This host's place among the entry hosts: links, heartbeats, and the passing on of announcements. Lives on the decision
// loop's thread.
#pragma once

#include "apps/entry/entry_counters.h"
#include "apps/entry/entry_settings.h"
#include "apps/entry/peer_table.h"
#include "protocol/mesh_messages.h"
#include "protocol/result.h"
#include "transport/event_loop.h"

#include <functional>
#include <memory>
#include <string_view>

namespace jackdaw::entry {

struct mesh_sender {
    std::string_view host;
    std::uint64_t incarnation = 0;
};

class entry_mesh {
public:
    struct hooks {
        std::function<void(protocol::time_point heardAt, const protocol::announcement& announcement)> onAnnouncement; // heard by a peer
        std::function<void(const mesh_sender& sender, protocol::job_forward message)> onForward;
        std::function<void(const mesh_sender& sender, protocol::job_forward_answer message)> onForwardAnswer;
        std::function<void(const mesh_sender& sender, const protocol::job_withdrawal& message)> onWithdrawal;
        std::function<void(const mesh_sender& sender, const protocol::service_message& message)> onService;
        std::function<void(const mesh_sender& sender, const protocol::heartbeat& message)> onHeartbeat; // may be empty
        std::function<std::uint64_t()> rulesVersion; // of the rules in force here; may be empty
    };

    entry_mesh(transport::event_loop& decisions, const entry_settings& settings, std::uint64_t incarnation, entry_counters& counters, hooks meshHooks);
    ~entry_mesh();

    // Opens the listener and starts the heartbeats.
    protocol::result<void> open();

    const peer_table& peers() const;

    // An upstream announced itself to this host.
    void relay(protocol::time_point heardAt, const protocol::announcement& announcement);

    // False when the message was certainly not sent.
    bool send(std::string_view host, const protocol::mesh_message& message);

    // What the links carried so far, with framing and acknowledgements.
    std::uint64_t sentFrames() const;
    std::uint64_t sentBytes() const;

    // Tells the peers at once that this host takes no forwarded jobs any more.
    void startDrain();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::entry
