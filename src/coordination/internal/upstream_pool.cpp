// Implements announcements, expiry, and the index of upstreams by class and speed.
#include "coordination/internal/upstream_pool.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

namespace jackdaw::coordination {
namespace {

    constexpr std::size_t maxClasses = 64; // number of bits in a class_mask

    constexpr double bandsPerOctave = 6; // speed bands for each doubling of the factor
    constexpr int factorOneBand = 18; // index of the band with factor 1

    bool isSameCapacity(const protocol::resources& a, const protocol::resources& b)
    {
        return a.fitsIn(b) && b.fitsIn(a);
    }

} // namespace

std::uint32_t upstream_record::slots() const
{
    return std::min({ announcedSlots, grantedSlots.value_or(announcedSlots), health.allowedSlots() });
}

upstream_pool::change upstream_pool::applyAnnouncement(time_point receivedAt, const protocol::announcement& announcement)
{
    change result;
    auto known = m_byName.find(announcement.name);
    if (known != m_byName.end() && receivedAt < known->second->receivedAt)
        return result;
    if (known != m_byName.end() && known->second->id.incarnation != announcement.incarnation) {
        const upstream_ptr old = known->second;
        removeFromIndex(*old);
        old->replaced = true;
        remove(*old);
        result.replacedIncarnation = true;
        known = m_byName.end();
    }
    if (known != m_byName.end()) {
        refresh(*known->second, receivedAt, announcement);
        return result;
    }
    const std::size_t classesBefore = m_classes.size();
    if (const upstream_ptr added = add(announcement))
        refresh(*added, receivedAt, announcement);
    result.addedClass = m_classes.size() != classesBefore;
    return result;
}

upstream_ptr upstream_pool::add(const protocol::announcement& announcement)
{
    auto upstream = std::make_shared<upstream_record>();
    upstream->id = { announcement.name, announcement.incarnation };
    upstream->serial = m_nextSerial++;
    upstream->expired = true; // until refresh()
    if (!assignClass(*upstream, announcement.capacity))
        return nullptr;
    m_byName[announcement.name] = upstream;
    return upstream;
}

// When maxClasses is reached, an upstream is assigned to the first class that fits into its capacity; the excess
// capacity is not used.
bool upstream_pool::assignClass(upstream_record& upstream, const protocol::resources& capacity)
{
    const bool full = m_classes.size() >= maxClasses;
    for (std::size_t i = 0; i < m_classes.size(); ++i) {
        const protocol::resources& present = m_classes[i].capacity;
        if (!isSameCapacity(present, capacity) && !(full && present.fitsIn(capacity)))
            continue;
        upstream.capacityClass = static_cast<std::uint32_t>(i);
        return true;
    }
    if (full)
        return false;
    upstream.capacityClass = static_cast<std::uint32_t>(m_classes.size());
    m_classes.push_back({ capacity, {}, 0, 0, 0 });
    return true;
}

void upstream_pool::refresh(upstream_record& upstream, time_point receivedAt, const protocol::announcement& announcement)
{
    removeFromIndex(upstream);
    upstream.host = announcement.host;
    upstream.port = announcement.port;
    upstream.announcedSlots = announcement.slots;
    upstream.receivedAt = receivedAt;
    upstream.expiresAt = receivedAt + announcement.ttl;
    upstream.leaving = upstream.leaving || announcement.state == protocol::upstream_state::leaving;
    upstream.expired = false;
    m_expiries.cancel(upstream.expiryTimer);
    upstream.expiryTimer = m_expiries.add(upstream.expiresAt, upstream.shared_from_this());
    addToIndex(upstream);
}

void upstream_pool::setSlots(const upstream_id& id, std::uint32_t slots)
{
    const upstream_ptr upstream = find(id);
    if (!upstream)
        return;
    removeFromIndex(*upstream);
    upstream->grantedSlots = slots;
    addToIndex(*upstream);
}

void upstream_pool::setLeaving(const upstream_id& id)
{
    const upstream_ptr upstream = find(id);
    if (!upstream)
        return;
    removeFromIndex(*upstream);
    upstream->leaving = true;
}

void upstream_pool::advance(time_point now)
{
    while (const auto due = m_expiries.takeDue(now)) {
        upstream_record& upstream = **due;
        upstream.expiryTimer.reset();
        removeFromIndex(upstream);
        upstream.expired = true;
        if (upstream.usedSlots == 0)
            remove(upstream);
    }
    while (const auto due = m_probes.takeDue(now)) {
        upstream_record& upstream = **due;
        upstream.probeTimer.reset();
        removeFromIndex(upstream);
        upstream.health.beginProbe();
        addToIndex(upstream);
    }
}

std::optional<time_point> upstream_pool::nextTimer() const
{
    const auto expiry = m_expiries.next();
    const auto probe = m_probes.next();
    if (!expiry || !probe)
        return expiry ? expiry : probe;
    return std::min(*expiry, *probe);
}

void upstream_pool::recordSuccess(upstream_record& upstream)
{
    removeFromIndex(upstream);
    upstream.health.recordSuccess();
    addToIndex(upstream);
}

void upstream_pool::recordFailure(time_point now, upstream_record& upstream, double maxEjectedRatio)
{
    removeFromIndex(upstream);
    upstream.health.recordFailure();
    const double maxEjected = maxEjectedRatio * static_cast<double>(m_servingCount + 1);
    if (upstream.health.shouldEject() && static_cast<double>(m_ejectedCount + 1) <= maxEjected)
        upstream.probeTimer = m_probes.add(now + upstream.health.eject(), upstream.shared_from_this());
    addToIndex(upstream);
}

class_mask upstream_pool::classesFor(const protocol::resources& needs) const
{
    class_mask mask = 0;
    for (std::size_t i = 0; i < m_classes.size(); ++i) {
        if (needs.fitsIn(m_classes[i].capacity))
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

upstream_pool::class_capacity upstream_pool::capacityOf(class_mask classes) const
{
    class_capacity result;
    std::size_t fastest = bandCount;
    for (class_mask rest = classes & servingClasses(); rest != 0; rest &= rest - 1) {
        const capacity_class& each = m_classes[std::countr_zero(rest)];
        fastest = std::min<std::size_t>(fastest, std::countr_zero(each.servingBands));
        for (std::uint64_t bands = each.servingBands; bands != 0; bands &= bands - 1) {
            const auto band = static_cast<std::size_t>(std::countr_zero(bands));
            result.speed += each.bands[band].slots / factorOf(band);
        }
    }
    if (fastest < bandCount)
        result.fastestFactor = factorOf(fastest);
    return result;
}

wait_forecast upstream_pool::forecast(class_mask classes, double meanWork) const
{
    wait_forecast result;
    std::array<std::uint32_t, bandCount> used {};
    std::uint64_t bands = 0;
    for (class_mask rest = classes & servingClasses(); rest != 0; rest &= rest - 1) {
        const capacity_class& each = m_classes[std::countr_zero(rest)];
        bands |= each.servingBands;
        for (std::uint64_t serving = each.servingBands; serving != 0; serving &= serving - 1)
            used[std::countr_zero(serving)] += each.bands[std::countr_zero(serving)].used;
    }
    double releasesPerMicrosecond = 0;
    for (; bands != 0; bands &= bands - 1) {
        const auto band = static_cast<std::size_t>(std::countr_zero(bands));
        const double factor = factorOf(band);
        releasesPerMicrosecond += used[band] / (meanWork * factor);
        if (releasesPerMicrosecond > 0)
            result.m_rows[result.m_count++] = { factor, 1 / releasesPerMicrosecond };
    }
    return result;
}

double wait_forecast::earliestEnd(double work, double tasksAhead, double belowFactor) const
{
    double best = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < m_count && m_rows[i].factor < belowFactor; ++i)
        best = std::min(best, (tasksAhead + 1) * m_rows[i].microsecondsPerSlot + work * m_rows[i].factor);
    return best;
}

upstream_record* upstream_pool::fastestFree(class_mask classes, std::uint64_t avoidedSerial) const
{
    upstream_record* best = nullptr;
    for (class_mask rest = m_freeClasses & classes; rest != 0; rest &= rest - 1) {
        const capacity_class& each = m_classes[std::countr_zero(rest)];
        for (std::uint64_t bands = each.freeBands; bands != 0; bands &= bands - 1) {
            upstream_record* first = firstFreeIn(each.bands[std::countr_zero(bands)], avoidedSerial);
            if (!best || best->serial == avoidedSerial || (first->serial != avoidedSerial && first->band < best->band))
                best = first;
            if (first->serial != avoidedSerial)
                break;
        }
    }
    return best;
}

upstream_record* upstream_pool::slowestFree(class_mask classes, double maxFactor, std::uint64_t avoidedSerial) const
{
    const int limit = factorOneBand + static_cast<int>(std::floor(std::log2(std::max(maxFactor, 1e-6)) * bandsPerOctave));
    if (limit < 0)
        return nullptr;
    const auto highest = std::min<std::size_t>(limit, bandCount - 1);
    const std::uint64_t allowed = ~std::uint64_t { 0 } >> (bandCount - 1 - highest);
    upstream_record* best = nullptr;
    for (class_mask rest = m_freeClasses & classes; rest != 0; rest &= rest - 1) {
        const capacity_class& each = m_classes[std::countr_zero(rest)];
        for (std::uint64_t bands = each.freeBands & allowed; bands != 0;) {
            const int band = std::bit_width(bands) - 1;
            bands &= ~(std::uint64_t { 1 } << band);
            upstream_record* first = firstFreeIn(each.bands[band], avoidedSerial);
            if (first->serial == avoidedSerial)
                continue;
            if (!best || first->band > best->band)
                best = first;
            break;
        }
    }
    return best;
}

upstream_record* upstream_pool::firstFreeIn(const speed_band& band, std::uint64_t avoidedSerial)
{
    upstream_record* first = band.firstFree;
    return first->serial == avoidedSerial && first->nextFree ? first->nextFree : first;
}

void upstream_pool::takeSlot(upstream_record& upstream)
{
    removeFromIndex(upstream);
    ++upstream.usedSlots;
    addToIndex(upstream);
}

void upstream_pool::releaseSlot(upstream_record& upstream)
{
    removeFromIndex(upstream);
    --upstream.usedSlots;
    if (upstream.expired && upstream.usedSlots == 0)
        remove(upstream);
    addToIndex(upstream);
}

void upstream_pool::recordRunTime(upstream_record& upstream, double observedOverExpected, double expectationVariance)
{
    removeFromIndex(upstream);
    upstream.speed.addSample(observedOverExpected, expectationVariance);
    addToIndex(upstream);
}

std::uint32_t upstream_pool::bandOf(double factor)
{
    const int band = factorOneBand + static_cast<int>(std::lround(std::log2(factor) * bandsPerOctave));
    return static_cast<std::uint32_t>(std::clamp(band, 0, static_cast<int>(bandCount) - 1));
}

double upstream_pool::factorOf(std::size_t band)
{
    static const auto factors = [] {
        std::array<double, bandCount> table {};
        for (std::size_t i = 0; i < bandCount; ++i)
            table[i] = std::exp2((static_cast<double>(i) - factorOneBand) / bandsPerOctave);
        return table;
    }();
    return factors[band];
}

upstream_ptr upstream_pool::find(const upstream_id& id) const
{
    const auto found = m_byName.find(id.name);
    if (found == m_byName.end() || found->second->id.incarnation != id.incarnation)
        return nullptr;
    return found->second;
}

void upstream_pool::addToIndex(upstream_record& upstream)
{
    if (!upstream.isServing())
        return;
    upstream.band = bandOf(upstream.speed.factor());
    capacity_class& in = m_classes[upstream.capacityClass];
    speed_band& band = in.bands[upstream.band];
    upstream.counted = true;
    ++m_servingCount;
    ++in.serving;
    if (upstream.health.isEjected()) {
        ++m_ejectedCount;
        return;
    }
    upstream.inBand = true;
    ++band.upstreams;
    band.slots += upstream.slots();
    band.used += upstream.usedSlots;
    in.servingBands |= std::uint64_t { 1 } << upstream.band;
    if (upstream.usedSlots >= upstream.slots())
        return;
    upstream.inFreeList = true;
    upstream.previousFree = band.lastFree;
    upstream.nextFree = nullptr;
    (band.lastFree ? band.lastFree->nextFree : band.firstFree) = &upstream;
    band.lastFree = &upstream;
    in.freeBands |= std::uint64_t { 1 } << upstream.band;
    m_freeClasses |= class_mask { 1 } << upstream.capacityClass;
}

// Removes the upstream from all counts and lists. Its slots and used slots must be unchanged since addToIndex().
void upstream_pool::removeFromIndex(upstream_record& upstream)
{
    if (!upstream.counted)
        return;
    capacity_class& in = m_classes[upstream.capacityClass];
    speed_band& band = in.bands[upstream.band];
    upstream.counted = false;
    --m_servingCount;
    --in.serving;
    if (!upstream.inBand) {
        --m_ejectedCount;
        return;
    }
    upstream.inBand = false;
    --band.upstreams;
    band.slots -= upstream.slots();
    band.used -= upstream.usedSlots;
    if (band.upstreams == 0)
        in.servingBands &= ~(std::uint64_t { 1 } << upstream.band);
    if (!upstream.inFreeList)
        return;
    upstream.inFreeList = false;
    (upstream.previousFree ? upstream.previousFree->nextFree : band.firstFree) = upstream.nextFree;
    (upstream.nextFree ? upstream.nextFree->previousFree : band.lastFree) = upstream.previousFree;
    if (!band.firstFree)
        in.freeBands &= ~(std::uint64_t { 1 } << upstream.band);
    if (in.freeBands == 0)
        m_freeClasses &= ~(class_mask { 1 } << upstream.capacityClass);
}

void upstream_pool::remove(upstream_record& upstream)
{
    m_expiries.cancel(upstream.expiryTimer);
    m_probes.cancel(upstream.probeTimer);
    const auto found = m_byName.find(upstream.id.name);
    if (found != m_byName.end() && found->second.get() == &upstream)
        m_byName.erase(found);
}

} // namespace jackdaw::coordination
