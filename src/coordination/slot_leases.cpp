// Implements requests, grants and expiry of slot leases.
#include "coordination/slot_leases.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <utility>

namespace jackdaw::coordination {
namespace {

    struct outstanding_grant {
        std::uint64_t number = 0;
        std::uint32_t slots = 0;
        time_point expiresAt {}; // later than at the holder, by clockDriftMargin and the request's delay
    };

    // The owner's record of one holder. Its reserved slots are unavailable to other holders until its grants and its
    // report of used slots expire.
    struct holder_record {
        lease_host host;
        std::uint32_t wanted = 0;
        std::uint32_t used = 0;
        time_point usedUntil {}; // end of validity of the reported used slots
        std::vector<outstanding_grant> grants; // grants that the holder may still apply

        std::uint32_t reserved(time_point now) const
        {
            std::uint32_t most = now < usedUntil ? used : 0;
            for (const outstanding_grant& grant : grants)
                most = std::max(most, now < grant.expiresAt ? grant.slots : 0);
            return most;
        }
    };

    struct upstream_lease {
        std::uint32_t slots = 0;
        std::uint32_t wanted = 0;
        std::uint32_t used = 0;

        // State as a holder.
        std::uint32_t held = 0;
        std::uint64_t appliedNumber = 0;
        lease_host appliedFrom;
        time_point heldUntil {};

        // State as the owner.
        bool owned = false;
        time_point grantsAllowedFrom {}; // leases granted by earlier owners have expired by then
        std::vector<holder_record> holders;
    };

    // Highest random weight hashing. The logarithm makes a host's share of the upstreams proportional to its weight.
    double rendezvousScore(const lease_host& host, const upstream_id& upstream)
    {
        const std::uint64_t seed = XXH3_64bits_withSeed(host.name.data(), host.name.size(), host.incarnation);
        const std::uint64_t hash = XXH3_64bits_withSeed(upstream.name.data(), upstream.name.size(), seed);
        const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
        return -host.weight / std::log(uniform);
    }

    bool isSameHost(const lease_host& a, const lease_host& b)
    {
        return a.name == b.name && a.incarnation == b.incarnation;
    }

} // namespace

const lease_host* ownerOf(const membership_view& view, const upstream_id& upstream)
{
    const auto best = std::max_element(view.hosts.begin(), view.hosts.end(), [&](const lease_host& a, const lease_host& b) {
        return rendezvousScore(a, upstream) < rendezvousScore(b, upstream);
    });
    return best == view.hosts.end() ? nullptr : &*best;
}

class slot_leases::impl {
public:
    impl(slot_lease_settings settings, send_hook onSend)
        : m_settings(std::move(settings))
        , m_onSend(std::move(onSend))
    {
    }

    void setView(time_point now, const membership_view& view, time_point validUntil);
    void setUpstream(time_point now, const upstream_id& upstream, std::uint32_t slots);
    void removeUpstream(const upstream_id& upstream) { m_upstreams.erase(upstream); }
    void setDemand(const upstream_id& upstream, std::uint32_t wanted, std::uint32_t used);
    void receive(time_point now, const lease_request& request);
    void receive(time_point now, const lease_grant& grant);
    void advance(time_point now);
    time_point nextTimer() const { return m_nextRenewal; }
    std::uint32_t slots(time_point now, const upstream_id& upstream) const;

private:
    bool isViewValid(time_point now) const { return now < m_viewValidUntil; }
    duration handoverTime() const { return m_settings.viewValidity + m_settings.leaseDuration + m_settings.clockDriftMargin; }
    const lease_host* find(const lease_host& host) const;
    void assignOwner(const upstream_id& upstream, upstream_lease& lease) const;
    std::uint32_t allocate(time_point now, upstream_lease& lease, holder_record& to);
    std::uint32_t fairShareOf(const upstream_lease& lease, const lease_host& host) const;
    holder_record& findOrAddHolder(upstream_lease& lease, const lease_host& host) const;

    const slot_lease_settings m_settings;
    const send_hook m_onSend;
    membership_view m_view;
    time_point m_viewSince {}; // when this epoch was first received, or received again after its view had expired
    time_point m_viewValidUntil {};
    std::map<upstream_id, upstream_lease> m_upstreams;
    std::map<std::uint64_t, time_point> m_requestTimes; // by sequence; entries older than leaseDuration are removed
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_nextGrant = 1;
    time_point m_nextRenewal {};
};

void slot_leases::impl::setView(time_point now, const membership_view& view, time_point validUntil)
{
    if (view.epoch < m_view.epoch)
        return;
    // After a view has expired, owners in views unknown to this host may have granted leases.
    const bool viewExpired = !isViewValid(now);
    const bool changed = view.epoch != m_view.epoch;
    m_viewValidUntil = validUntil;
    if (!changed && !viewExpired)
        return;
    const bool isConsecutive = view.epoch == m_view.epoch + 1 && !viewExpired;
    m_view = view;
    m_viewSince = now;
    for (auto& [upstream, lease] : m_upstreams) {
        const bool wasOwned = lease.owned;
        assignOwner(upstream, lease);
        if (lease.owned && wasOwned && isConsecutive)
            continue;
        lease.holders.clear();
        lease.grantsAllowedFrom = now + handoverTime();
    }
}

void slot_leases::impl::setUpstream(time_point now, const upstream_id& upstream, std::uint32_t slots)
{
    const auto [found, added] = m_upstreams.try_emplace(upstream);
    found->second.slots = slots;
    if (!added)
        return;
    assignOwner(upstream, found->second);
    // This host may have removed the upstream earlier in this view, and with it the record of leases that it had
    // granted.
    found->second.grantsAllowedFrom = std::max(m_viewSince + handoverTime(), now + m_settings.leaseDuration + m_settings.clockDriftMargin);
}

void slot_leases::impl::setDemand(const upstream_id& upstream, std::uint32_t wanted, std::uint32_t used)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    found->second.wanted = wanted;
    found->second.used = used;
}

const lease_host* slot_leases::impl::find(const lease_host& host) const
{
    const auto found = std::find_if(m_view.hosts.begin(), m_view.hosts.end(), [&](const lease_host& each) { return isSameHost(each, host); });
    return found == m_view.hosts.end() ? nullptr : &*found;
}

void slot_leases::impl::assignOwner(const upstream_id& upstream, upstream_lease& lease) const
{
    const lease_host* owner = ownerOf(m_view, upstream);
    lease.owned = owner && isSameHost(*owner, m_settings.self);
}

void slot_leases::impl::advance(time_point now)
{
    if (now < m_nextRenewal)
        return;
    m_nextRenewal = now + m_settings.renewInterval;
    if (!isViewValid(now) || !find(m_settings.self))
        return;
    const std::uint64_t sequence = m_nextSequence++;
    m_requestTimes[sequence] = now;
    std::erase_if(m_requestTimes, [&](const auto& entry) { return entry.second + m_settings.leaseDuration < now; });
    std::map<std::string, std::pair<lease_host, lease_request>> requests;
    for (const auto& [upstream, lease] : m_upstreams) {
        const lease_host* owner = ownerOf(m_view, upstream);
        auto& [to, request] = requests[owner->name];
        to = *owner;
        const std::uint64_t applied = isSameHost(lease.appliedFrom, *owner) ? lease.appliedNumber : 0;
        request.entries.push_back({ upstream, lease.wanted, lease.used, applied });
    }
    for (auto& [name, entry] : requests) {
        auto& [to, request] = entry;
        request.epoch = m_view.epoch;
        request.from = m_settings.self;
        request.sequence = sequence;
        if (isSameHost(to, m_settings.self))
            receive(now, request);
        else
            m_onSend(to, std::move(request));
    }
}

void slot_leases::impl::receive(time_point now, const lease_request& request)
{
    if (request.epoch != m_view.epoch || !isViewValid(now) || !find(request.from))
        return;
    lease_grant grant { m_view.epoch, m_settings.self, request.sequence, {} };
    for (const lease_request::entry& entry : request.entries) {
        const auto found = m_upstreams.find(entry.upstream);
        if (found == m_upstreams.end() || !found->second.owned || now < found->second.grantsAllowedFrom)
            continue;
        upstream_lease& lease = found->second;
        holder_record& holder = findOrAddHolder(lease, request.from);
        holder.wanted = entry.wanted;
        holder.used = entry.used;
        holder.usedUntil = now + m_settings.leaseDuration;
        std::erase_if(holder.grants, [&](const outstanding_grant& each) { return each.number < entry.applied || each.expiresAt <= now; });
        const std::uint32_t slots = allocate(now, lease, holder);
        const std::uint64_t number = m_nextGrant++;
        holder.grants.push_back({ number, slots, now + m_settings.leaseDuration + m_settings.clockDriftMargin });
        grant.entries.push_back({ entry.upstream, slots, number });
    }
    if (grant.entries.empty())
        return;
    if (isSameHost(request.from, m_settings.self))
        receive(now, grant);
    else
        m_onSend(request.from, std::move(grant));
}

void slot_leases::impl::receive(time_point now, const lease_grant& grant)
{
    const auto sent = m_requestTimes.find(grant.sequence);
    if (grant.epoch != m_view.epoch || sent == m_requestTimes.end())
        return;
    const time_point until = sent->second + m_settings.leaseDuration;
    if (until <= now)
        return;
    for (const lease_grant::entry& entry : grant.entries) {
        const auto found = m_upstreams.find(entry.upstream);
        if (found == m_upstreams.end())
            continue;
        upstream_lease& lease = found->second;
        if (isSameHost(lease.appliedFrom, grant.from) && entry.number <= lease.appliedNumber)
            continue;
        lease.appliedFrom = grant.from;
        lease.appliedNumber = entry.number;
        lease.held = entry.slots;
        lease.heldUntil = until;
    }
}

holder_record& slot_leases::impl::findOrAddHolder(upstream_lease& lease, const lease_host& host) const
{
    const auto found = std::find_if(lease.holders.begin(), lease.holders.end(), [&](const holder_record& each) { return isSameHost(each.host, host); });
    if (found != lease.holders.end())
        return *found;
    lease.holders.push_back({ host, 0, 0, {}, {} });
    return lease.holders.back();
}

// Limits the share to the slots that no other holder has reserved. Holders that left the view count until their leases
// expire.
std::uint32_t slot_leases::impl::allocate(time_point now, upstream_lease& lease, holder_record& to)
{
    std::uint32_t reserved = 0;
    for (const holder_record& holder : lease.holders)
        reserved += &holder == &to ? 0 : holder.reserved(now);
    const std::uint32_t available = lease.slots - std::min(lease.slots, reserved);
    return std::min(available, fairShareOf(lease, to.host));
}

// Gives each host up to an equal share. Slots that a host does not want go to hosts that want more, and any remaining
// slots are divided equally.
std::uint32_t slot_leases::impl::fairShareOf(const upstream_lease& lease, const lease_host& host) const
{
    const std::size_t count = m_view.hosts.size();
    std::vector<std::uint32_t> wanted(count, lease.slots);
    for (std::size_t i = 0; i < count; ++i) {
        for (const holder_record& holder : lease.holders) {
            if (isSameHost(holder.host, m_view.hosts[i]))
                wanted[i] = holder.wanted;
        }
    }
    std::vector<std::uint32_t> targets(count, 0);
    for (std::uint32_t left = lease.slots; left > 0; --left) {
        std::size_t next = 0;
        const auto before = [&](std::size_t a, std::size_t b) { return std::pair(targets[a] >= wanted[a], targets[a]) < std::pair(targets[b] >= wanted[b], targets[b]); };
        for (std::size_t i = 1; i < count; ++i)
            next = before(i, next) ? i : next;
        ++targets[next];
    }
    return targets[static_cast<std::size_t>(find(host) - m_view.hosts.data())];
}

std::uint32_t slot_leases::impl::slots(time_point now, const upstream_id& upstream) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || now >= found->second.heldUntil)
        return 0;
    return found->second.held;
}

slot_leases::slot_leases(slot_lease_settings settings, send_hook onSend)
    : m_impl(std::make_unique<impl>(std::move(settings), std::move(onSend)))
{
}

slot_leases::~slot_leases() = default;

void slot_leases::setView(time_point now, const membership_view& view, time_point validUntil)
{
    m_impl->setView(now, view, validUntil);
}

void slot_leases::setUpstream(time_point now, const upstream_id& upstream, std::uint32_t slots)
{
    m_impl->setUpstream(now, upstream, slots);
}

void slot_leases::removeUpstream(const upstream_id& upstream)
{
    m_impl->removeUpstream(upstream);
}

void slot_leases::setDemand(const upstream_id& upstream, std::uint32_t wanted, std::uint32_t used)
{
    m_impl->setDemand(upstream, wanted, used);
}

void slot_leases::receive(time_point now, const lease_message& message)
{
    std::visit([&](const auto& each) { m_impl->receive(now, each); }, message);
}

void slot_leases::advance(time_point now)
{
    m_impl->advance(now);
}

time_point slot_leases::nextTimer() const
{
    return m_impl->nextTimer();
}

std::uint32_t slot_leases::slots(time_point now, const upstream_id& upstream) const
{
    return m_impl->slots(now, upstream);
}

} // namespace jackdaw::coordination
