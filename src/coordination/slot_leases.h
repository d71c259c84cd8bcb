// Divides the slots of a zone's upstreams among its entry hosts by leases, so that all hosts together never hold more
// slots than an upstream has. Each upstream is owned by one live host, chosen by weighted rendezvous hashing, which
// grants the leases. The code uses no sockets, threads or clock: messages are sent through a hook.
#pragma once

#include "coordination/dispatcher.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jackdaw::coordination {

// One incarnation of an entry host. A restart begins a new incarnation.
struct lease_host {
    std::string name;
    std::uint64_t incarnation = 0;
    double weight = 1; // relative share of owned upstreams; must be positive

    friend bool operator==(const lease_host&, const lease_host&) = default;
};

// The live hosts of the zone in one epoch. The issuer of views must not make a view valid for longer than
// slot_lease_settings::viewValidity, and must not renew a view after it issued one of a later epoch.
struct membership_view {
    std::uint64_t epoch = 0;
    std::vector<lease_host> hosts;
};

struct lease_request {
    struct entry {
        upstream_id upstream;
        std::uint32_t wanted = 0;
        std::uint32_t used = 0; // slots of tasks that still run
        std::uint64_t applied = 0; // number of the grant that the holder applied last; it ignores earlier ones
    };

    std::uint64_t epoch = 0;
    lease_host from;
    std::uint64_t sequence = 0;
    std::vector<entry> entries;
};

struct lease_grant {
    struct entry {
        upstream_id upstream;
        std::uint32_t slots = 0;
        std::uint64_t number = 0; // increases with each grant of an owner
    };

    std::uint64_t epoch = 0;
    lease_host from;
    std::uint64_t sequence = 0; // of the request; the lease begins when the request was sent
    std::vector<entry> entries;
};

using lease_message = std::variant<lease_request, lease_grant>;

struct slot_lease_settings {
    lease_host self;
    duration leaseDuration = std::chrono::seconds(1);
    duration renewInterval = std::chrono::milliseconds(250);
    duration viewValidity = std::chrono::seconds(1); // upper bound of a view's validity after it was issued
    duration clockDriftMargin = std::chrono::milliseconds(200); // tolerance for clock rates that differ between hosts
};

class slot_leases {
public:
    using send_hook = std::function<void(const lease_host& to, lease_message message)>;

    slot_leases(slot_lease_settings settings, send_hook onSend);
    ~slot_leases();

    // Sets the current view, valid on this host until the time point. To be repeated before it expires. A view of an
    // earlier epoch is ignored.
    void setView(time_point now, const membership_view& view, time_point validUntil);

    // Adds an upstream, or changes its number of slots.
    void setUpstream(time_point now, const upstream_id& upstream, std::uint32_t slots);
    void removeUpstream(const upstream_id& upstream);

    // Sets how many slots this host could use now, and how many its running tasks use.
    void setDemand(const upstream_id& upstream, std::uint32_t wanted, std::uint32_t used);

    // Processes a message from another host. Messages of other epochs are ignored.
    void receive(time_point now, const lease_message& message);

    // Sends requests that renew the leases. To be called at nextTimer() or later.
    void advance(time_point now);
    time_point nextTimer() const;

    // The slots that this host currently holds, as input of dispatcher::setSlots().
    std::uint32_t slots(time_point now, const upstream_id& upstream) const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

// Returns the owner of the upstream in the view, or null if the view has no hosts.
const lease_host* ownerOf(const membership_view& view, const upstream_id& upstream);

} // namespace jackdaw::coordination
