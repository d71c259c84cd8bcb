// Announcements, expiry and slots of upstreams.
#include "coordination/internal/upstream_pool.h"

#include <algorithm>
#include <bit>

namespace jackdaw::coordination {
namespace {

    constexpr std::size_t maxClasses = 64; // bits of a class_mask

    bool sameResources(const protocol::resources& a, const protocol::resources& b)
    {
        return a.fitsInto(b) && b.fitsInto(a);
    }

} // namespace

std::uint32_t upstream_record::slots() const
{
    return std::min(announcedSlots, grantedSlots.value_or(announcedSlots));
}

upstream_pool::change upstream_pool::hear(time_point heardAt, const protocol::announcement& announcement)
{
    change result;
    auto known = m_byName.find(announcement.name);
    if (known != m_byName.end() && heardAt < known->second->heardAt)
        return result;
    if (known != m_byName.end() && known->second->id.incarnation != announcement.incarnation) {
        const upstream_ptr old = known->second;
        stopServing(old);
        old->replaced = true;
        forget(old);
        result.replacedOne = true;
        known = m_byName.end();
    }
    if (known != m_byName.end()) {
        refresh(known->second, heardAt, announcement);
        return result;
    }
    const std::size_t classesBefore = m_classes.size();
    if (const upstream_ptr added = add(announcement))
        refresh(added, heardAt, announcement);
    result.newClass = m_classes.size() != classesBefore;
    return result;
}

upstream_ptr upstream_pool::add(const protocol::announcement& announcement)
{
    auto upstream = std::make_shared<upstream_record>();
    upstream->id = { announcement.name, announcement.incarnation };
    upstream->serial = m_nextSerial++;
    upstream->expired = true; // until refreshed
    if (!assignClass(*upstream, announcement.capacity))
        return nullptr;
    m_byName[announcement.name] = upstream;
    return upstream;
}

// Past the limit of classes an upstream joins the first one that it covers, and is used as if it were that small.
bool upstream_pool::assignClass(upstream_record& upstream, const protocol::resources& capacity)
{
    const bool full = m_classes.size() >= maxClasses;
    for (std::size_t i = 0; i < m_classes.size(); ++i) {
        const protocol::resources& present = m_classes[i].capacity;
        if (!sameResources(present, capacity) && !(full && present.fitsInto(capacity)))
            continue;
        upstream.capacityClass = static_cast<std::uint32_t>(i);
        return true;
    }
    if (full)
        return false;
    upstream.capacityClass = static_cast<std::uint32_t>(m_classes.size());
    m_classes.push_back({ capacity, {}, 0 });
    return true;
}

void upstream_pool::refresh(const upstream_ptr& upstream, time_point heardAt, const protocol::announcement& announcement)
{
    removeFree(upstream);
    const bool wasServing = upstream->isServing();
    upstream->host = announcement.host;
    upstream->port = announcement.port;
    upstream->announcedSlots = announcement.slots;
    upstream->heardAt = heardAt;
    upstream->expiresAt = heardAt + announcement.ttl;
    upstream->leaving = upstream->leaving || announcement.state == protocol::upstream_state::leaving;
    upstream->expired = false;
    m_expiries.cancel(upstream->expiryTimer);
    upstream->expiryTimer = m_expiries.add(upstream->expiresAt, upstream);
    if (upstream->isServing() != wasServing) {
        const int step = wasServing ? -1 : 1;
        m_servingCount += step;
        m_classes[upstream->capacityClass].serving += step;
    }
    place(upstream);
}

void upstream_pool::setSlots(const upstream_id& id, std::uint32_t slots)
{
    const upstream_ptr upstream = find(id);
    if (!upstream)
        return;
    upstream->grantedSlots = slots;
    removeFree(upstream);
    place(upstream);
}

void upstream_pool::setLeaving(const upstream_id& id)
{
    const upstream_ptr upstream = find(id);
    if (!upstream)
        return;
    stopServing(upstream);
    upstream->leaving = true;
}

void upstream_pool::expireDue(time_point now)
{
    while (const auto due = m_expiries.takeDue(now)) {
        const upstream_ptr& upstream = *due;
        upstream->expiryTimer.reset();
        stopServing(upstream);
        upstream->expired = true;
        if (upstream->usedSlots == 0)
            forget(upstream);
    }
}

class_mask upstream_pool::classesFor(const protocol::resources& needs) const
{
    class_mask mask = 0;
    for (std::size_t i = 0; i < m_classes.size(); ++i) {
        if (needs.fitsInto(m_classes[i].capacity))
            mask |= class_mask { 1 } << i;
    }
    return mask;
}

class_mask upstream_pool::servingClasses() const
{
    class_mask mask = 0;
    for (std::size_t i = 0; i < m_classes.size(); ++i) {
        if (m_classes[i].serving > 0)
            mask |= class_mask { 1 } << i;
    }
    return mask;
}

upstream_ptr upstream_pool::pick(class_mask classes, std::uint64_t avoidedSerial) const
{
    const free_entry* best = nullptr;
    const free_entry* avoided = nullptr;
    for (class_mask rest = m_freeClasses & classes; rest != 0; rest &= rest - 1) {
        for (const free_entry& entry : m_classes[std::countr_zero(rest)].free) {
            if (entry.serial == avoidedSerial) {
                avoided = &entry;
                continue;
            }
            if (!best || entry < *best)
                best = &entry;
            break;
        }
    }
    if (best)
        return best->upstream;
    return avoided ? avoided->upstream : nullptr;
}

void upstream_pool::takeSlot(const upstream_ptr& upstream)
{
    removeFree(upstream);
    ++upstream->usedSlots;
    place(upstream);
}

void upstream_pool::releaseSlot(const upstream_ptr& upstream)
{
    removeFree(upstream);
    --upstream->usedSlots;
    if (upstream->expired && upstream->usedSlots == 0)
        forget(upstream);
    place(upstream);
}

upstream_ptr upstream_pool::find(const upstream_id& id) const
{
    const auto found = m_byName.find(id.name);
    if (found == m_byName.end() || found->second->id.incarnation != id.incarnation)
        return nullptr;
    return found->second;
}

void upstream_pool::place(const upstream_ptr& upstream)
{
    if (!upstream->isServing() || upstream->usedSlots >= upstream->slots())
        return;
    upstream->freeKey = ++m_useCounter;
    m_classes[upstream->capacityClass].free.insert({ *upstream->freeKey, upstream->serial, upstream });
    m_freeClasses |= class_mask { 1 } << upstream->capacityClass;
}

void upstream_pool::removeFree(const upstream_ptr& upstream)
{
    if (!upstream->freeKey)
        return;
    auto& free = m_classes[upstream->capacityClass].free;
    free.erase({ *upstream->freeKey, upstream->serial, nullptr });
    upstream->freeKey.reset();
    if (free.empty())
        m_freeClasses &= ~(class_mask { 1 } << upstream->capacityClass);
}

void upstream_pool::stopServing(const upstream_ptr& upstream)
{
    removeFree(upstream);
    if (!upstream->isServing())
        return;
    --m_servingCount;
    --m_classes[upstream->capacityClass].serving;
}

void upstream_pool::forget(const upstream_ptr& upstream)
{
    m_expiries.cancel(upstream->expiryTimer);
    const auto found = m_byName.find(upstream->id.name);
    if (found != m_byName.end() && found->second == upstream)
        m_byName.erase(found);
}

} // namespace jackdaw::coordination
