// Runs this host's part in the claim groups on the decision loop: as a client of its own zone's group, and as a voter
// there and, as a witness, in the group of a zone that has only two hosts.
#pragma once

#include "apps/entry/entry_settings.h"
#include "apps/entry/job_service.h"
#include "coordination/claim_service.h"
#include "protocol/mesh_messages.h"
#include "transport/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::entry {

// The hosts that vote in a zone's claim group: up to three of its own; two get a witness from the next zone.
std::vector<std::string> claimVoters(const entry_settings& settings, const std::string& zone);

class claim_groups {
public:
    using send_hook = std::function<void(std::string_view host, const protocol::mesh_message& message)>;

    claim_groups(transport::event_loop& decisions, const entry_settings& settings, std::uint64_t incarnation, std::uint64_t seed, send_hook send);
    ~claim_groups();

    // Claims a submission of this zone for this host. The completion runs once, never before this returns.
    void claim(const protocol::job_request& job, claim_completion onOutcome);

    // A message of the claim services.
    void take(std::string_view host, const protocol::service_message& message);

    // Whether claims of new submissions can be granted now, as far as this host knows.
    bool isReady() const;

    // Leaves the groups, before this host stops.
    void startDrain();
    bool hasLeft() const;

    // Of this zone's group.
    coordination::claim_service_status status() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::entry
