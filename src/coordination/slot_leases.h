// Shares the slots of a zone's upstreams between its entry hosts by leases, so that together they never hold more than
// an upstream has. Each upstream has one owner among the live hosts, chosen by a weighted rendezvous hash. Pure decision
// code: messages and slots leave through hooks.
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

// One incarnation of an entry host. A host that restarts is another one.
struct lease_host {
    std::string name;
    std::uint64_t incarnation = 0;
    double weight = 1; // its share of the ownership; always positive

    friend bool operator==(const lease_host&, const lease_host&) = default;
};

// The live hosts of the zone, as agreed under an epoch. Whoever issues views lets each be valid for at most
// slot_lease_settings::viewTime, and confirms no older one once it issued a newer one.
struct membership_view {
    std::uint64_t epoch = 0;
    std::vector<lease_host> hosts;
};

struct lease_request {
    struct entry {
        upstream_id upstream;
        std::uint32_t wanted = 0;
        std::uint32_t used = 0; // by tasks that still run
        std::uint64_t applied = 0; // number of the grant in force; earlier ones will never be applied
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
        std::uint64_t number = 0; // grows with each grant of one owner
    };

    std::uint64_t epoch = 0;
    lease_host from;
    std::uint64_t sequence = 0; // of the request; the lease begins when that was sent
    std::vector<entry> entries;
};

using lease_message = std::variant<lease_request, lease_grant>;

struct slot_lease_settings {
    lease_host self;
    duration leaseDuration = std::chrono::seconds(1);
    duration renewInterval = std::chrono::milliseconds(250);
    duration viewValidity = std::chrono::seconds(1); // the longest validity of a view after it was issued
    duration clockDriftMargin = std::chrono::milliseconds(200); // for clocks of different rate
};

class slot_leases {
public:
    using send_hook = std::function<void(const lease_host& to, lease_message message)>;

    slot_leases(slot_lease_settings settings, send_hook onSend);
    ~slot_leases();

    // The view in force, valid here until the time point. To be repeated before that.
    void setView(time_point now, const membership_view& view, time_point validUntil);

    void setUpstream(time_point now, const upstream_id& upstream, std::uint32_t slots);
    void removeUpstream(const upstream_id& upstream);

    // How many slots this host could use now, and how many are used by its running tasks.
    void setDemand(const upstream_id& upstream, std::uint32_t wanted, std::uint32_t used);

    void receive(time_point now, const lease_message& message);

    // Renews leases. To be called at nextTimer() or later.
    void advance(time_point now);
    time_point nextTimer() const;

    // The slots that this host may start tasks on now; for dispatcher::setSlots.
    std::uint32_t slots(time_point now, const upstream_id& upstream) const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

// The owner of an upstream under a view; null when it has no hosts.
const lease_host* ownerOf(const membership_view& view, const upstream_id& upstream);

} // namespace jackdaw::coordination
