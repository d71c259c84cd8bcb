// Claims on cells, and the choice of the host that takes over a cell without an owner.
#include "coordination/cells/cell_ownership.h"

#include "coordination/cells/fencing_token.h"
#include "coordination/cells/zone_cells.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace jackdaw::cells {
namespace {

    // Newer tokens are higher. Tokens that two hosts make in the same millisecond differ, unless the hashes collide.
    constexpr std::uint64_t hostHashMask = (1U << tokenHashBits) - 1;

    constexpr std::uint32_t maxPlausibleMillicores = 1'000'000; // no machine has 1,000 cores

    constexpr std::size_t delegates = 3; // hosts of a zone that gossip to a host of another zone; two may be lost

    constexpr std::size_t listSenders = 3; // two may be lost or just starting themselves

    // Backoff after a claim was fenced off: first for the other owner's gossip to arrive, then for a partition between the two
    // hosts to end.
    constexpr duration minBackoff = std::chrono::milliseconds(300);
    constexpr duration minRemoteBackoff = std::chrono::seconds(10); // a host of the zone still owns the cell
    constexpr duration maxBackoff = std::chrono::seconds(20);
    constexpr duration backoffResetTime = std::chrono::seconds(20);

} // namespace

cell_ownership::cell_ownership(ownership_settings settings)
    : m_settings(std::move(settings))
    , m_mostProcessor(m_settings.processorMillicores)
    , m_cells({ m_settings.zone })
{
}

bool cell_ownership::knows(std::string_view host, std::uint64_t incarnation) const
{
    const auto found = m_hosts.find(host);
    return found != m_hosts.end() && found->second.gossip.incarnation == incarnation;
}

bool cell_ownership::isRepetition(const protocol::host_gossip& gossip) const
{
    const auto found = m_hosts.find(gossip.host);
    if (found == m_hosts.end())
        return false;
    const protocol::host_gossip& known = found->second.gossip;
    const auto isSameClaim = [](const protocol::cell_claim& left, const protocol::cell_claim& right) { return left.cell == right.cell && left.fencingToken == right.fencingToken; };
    return known.incarnation == gossip.incarnation && known.isLeaving == gossip.isLeaving && known.zone == gossip.zone
        && std::equal(known.claims.begin(), known.claims.end(), gossip.claims.begin(), gossip.claims.end(), isSameClaim);
}

bool cell_ownership::onGossip(time_point now, const protocol::host_gossip& gossip)
{
    const auto [known, isNew] = m_hosts.try_emplace(gossip.host);
    const bool isRestarted = !isNew && known->second.gossip.incarnation != gossip.incarnation;
    const bool wasWithoutClaim = !isNew && !isRestarted && known->second.gossip.claims.empty();
    known->second = { gossip, now, wasWithoutClaim ? known->second.idleSince : now };
    m_cells.insert(gossip.zone);
    if (gossip.claims.empty())
        m_claimants.erase(gossip.host);
    else
        m_claimants.insert(gossip.host);
    if (gossip.zone == m_settings.zone)
        m_mostProcessor = std::max(m_mostProcessor, gossip.processorMillicores);
    for (const protocol::cell_claim& claim : gossip.claims) {
        m_highestToken = std::max(m_highestToken, claim.fencingToken);
        recordOwner(claim.cell, claim.fencingToken, gossip.host, gossip.incarnation);
    }
    return isRestarted;
}

void cell_ownership::onDirectoryKnown(time_point now)
{
    if (!m_directoryKnownSince)
        m_directoryKnownSince = now;
}

void cell_ownership::setCells(std::string_view zone, std::uint32_t count)
{
    for (std::uint32_t number = 0; number < count; ++number)
        m_cells.insert(cellName(zone, number));
    std::uint32_t& known = m_cellCounts.try_emplace(std::string(zone), 1).first->second;
    known = std::max(known, count);
}

std::uint32_t cell_ownership::cellCount(std::string_view zone) const
{
    const auto found = m_cellCounts.find(zone);
    return found == m_cellCounts.end() ? 1 : found->second;
}

void cell_ownership::onZoneReport(time_point now, std::string_view zone)
{
    m_cells.emplace(zone);
    m_lastReportAt[std::string(zone)] = now;
}

void cell_ownership::leave()
{
    m_isLeaving = true;
}

void cell_ownership::onFenced(time_point now, std::string_view cell)
{
    const duration first = zoneOfCell(cell) == m_settings.zone ? minBackoff : minRemoteBackoff;
    const auto [found, isNew] = m_claimBackoffs.try_emplace(std::string(cell));
    claim_backoff& backoff = found->second;
    const bool isReset = isNew || now - backoff.until > backoffResetTime;
    backoff.length = isReset ? first : std::min(backoff.length * 2, maxBackoff);
    backoff.until = now + backoff.length;
}

bool cell_ownership::isLive(time_point now, std::string_view host) const
{
    if (host == m_settings.host)
        return true;
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return false;
    return isLive(now, found->second);
}

bool cell_ownership::isLive(time_point now, const known_host& host) const
{
    return now - host.heardAt < (gossipNeed(host) == gossip_need::frequent ? m_settings.silenceLimit : m_settings.occasionalSilenceLimit);
}

// Each of two hosts comes to the same result, as far as they know each other's claims.
gossip_need cell_ownership::gossipNeed(const known_host& host) const
{
    const bool isSameZone = host.gossip.zone == m_settings.zone;
    const int owners = (m_claims.empty() ? 0 : 1) + (host.gossip.claims.empty() ? 0 : 1);
    const bool areNextOwners = isSameZone && m_settings.processorMillicores == m_mostProcessor && host.gossip.processorMillicores == m_mostProcessor;
    if (owners == 2 || (isSameZone && owners == 1) || areNextOwners)
        return gossip_need::frequent;
    return isSameZone || owners == 1 ? gossip_need::occasional : gossip_need::by_delegates;
}

// The live hosts of this zone with the highest hashes are its delegates for the host.
bool cell_ownership::isDelegateFor(time_point now, std::string_view host) const
{
    const std::uint64_t seed = XXH3_64bits(host.data(), host.size());
    const auto score = [seed](std::string_view delegate) { return XXH3_64bits_withSeed(delegate.data(), delegate.size(), seed); };
    const std::uint64_t own = score(m_settings.host);
    std::size_t better = 0;
    for (const auto& [other, known] : m_hosts) {
        if (known.gossip.zone == m_settings.zone && !known.gossip.isLeaving && score(other) > own && isLive(now, known) && ++better == delegates)
            return false;
    }
    return true;
}

bool cell_ownership::isGossipDue(time_point now, std::string_view host, bool isFullRound) const
{
    const bool isStarting = !m_directoryKnownSince || now - *m_directoryKnownSince < m_settings.silenceLimit;
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return isStarting || isFullRound;
    const gossip_need need = gossipNeed(found->second);
    if (need == gossip_need::frequent || (isStarting && need == gossip_need::occasional))
        return true;
    return isFullRound && (need == gossip_need::occasional || isDelegateFor(now, host));
}

void cell_ownership::updateZones(time_point now)
{
    m_mostProcessor = m_settings.processorMillicores;
    m_zoneSizes.clear();
    for (const auto& [host, known] : m_hosts) {
        ++m_zoneSizes[known.gossip.zone];
        if (known.gossip.zone == m_settings.zone && now - known.heardAt < m_settings.occasionalSilenceLimit)
            m_mostProcessor = std::max(m_mostProcessor, known.gossip.processorMillicores);
    }
}

bool cell_ownership::ownsCellOf(std::string_view zone) const
{
    return std::any_of(m_claims.begin(), m_claims.end(), [zone](const auto& claim) { return zoneOfCell(claim.first) == zone; });
}

std::optional<std::size_t> cell_ownership::listSenderRank(time_point now, std::string_view host, std::string_view zone) const
{
    const auto score = [host](std::string_view sender) { return XXH3_64bits_withSeed(sender.data(), sender.size(), XXH3_64bits(host.data(), host.size())); };
    const std::vector<std::string> others = hostsOf(now, zone);
    const bool hasSenderInZone = zone == m_settings.zone || std::any_of(others.begin(), others.end(), [host](const std::string& other) { return other != host; });
    // For a zone without other hosts the owners of cells send theirs, since they all know each other.
    const auto isCandidate = [&](std::string_view hostZone, bool isOwner) { return hasSenderInZone ? hostZone == zone : isOwner; };
    std::size_t rank = 0;
    for (const auto& [other, known] : m_hosts) {
        const bool isSender = other != host && isCandidate(known.gossip.zone, !known.gossip.claims.empty()) && isLive(now, known);
        rank += isSender && score(other) > score(m_settings.host) ? 1 : 0;
    }
    const bool isChosen = isCandidate(m_settings.zone, !m_claims.empty()) && rank < listSenders;
    if (!isChosen && !ownsCellOf(zone))
        return std::nullopt;
    return isChosen ? rank : listSenders;
}

std::vector<std::string> cell_ownership::silentHosts(time_point now) const
{
    std::vector<std::string> out;
    for (const auto& [host, heard] : m_hosts) {
        if (isLive(now, heard))
            continue;
        // Of a zone with more hosts than delegates, others than those may never be heard here.
        const auto size = m_zoneSizes.find(heard.gossip.zone);
        const bool isExpected = gossipNeed(heard) != gossip_need::by_delegates || size == m_zoneSizes.end() || size->second <= delegates;
        if (isExpected)
            out.push_back(host);
    }
    return out;
}

std::optional<cell_owner> cell_ownership::ownerOf(time_point now, std::string_view cell) const
{
    std::optional<cell_owner> best;
    if (const auto own = m_claims.find(cell); own != m_claims.end())
        best = cell_owner { m_settings.host, own->second, true, m_claimedCellCounts.at(own->first) };
    for (const std::string& host : m_claimants) {
        const known_host& heard = m_hosts.find(host)->second;
        if (!isLive(now, heard))
            continue;
        for (const protocol::cell_claim& claim : heard.gossip.claims) {
            if (claim.cell == cell && (!best || claim.fencingToken > best->token))
                best = cell_owner { host, claim.fencingToken, false, claim.zoneCellCount };
        }
    }
    return best;
}

std::vector<std::string> cell_ownership::otherOwners(time_point now) const
{
    std::vector<std::string> out;
    for (const std::string& host : m_claimants) {
        if (isLive(now, m_hosts.find(host)->second))
            out.push_back(host);
    }
    return out;
}

std::vector<std::string> cell_ownership::hostsOf(time_point now, std::string_view zone) const
{
    std::vector<std::string> out;
    for (const auto& [host, heard] : m_hosts) {
        if (heard.gossip.zone == zone && isLive(now, heard))
            out.push_back(host);
    }
    return out;
}

std::vector<std::uint32_t> cell_ownership::zoneProcessors(time_point now) const
{
    if (!m_directoryKnownSince || now - *m_directoryKnownSince < m_settings.settlingTime)
        return {};
    std::vector<std::uint32_t> out { m_settings.processorMillicores };
    for (const auto& [host, known] : m_hosts) {
        const std::uint32_t millicores = known.gossip.processorMillicores;
        if (known.gossip.zone == m_settings.zone && millicores > 0 && millicores <= maxPlausibleMillicores)
            out.push_back(millicores);
    }
    return out;
}

bool cell_ownership::hasLiveHost(time_point now, std::string_view zone, bool isLeaving) const
{
    return std::any_of(m_hosts.begin(), m_hosts.end(), [&](const auto& item) {
        const protocol::host_gossip& gossip = item.second.gossip;
        return gossip.zone == zone && gossip.isLeaving == isLeaving && isLive(now, item.second);
    });
}

bool cell_ownership::isOutsideZone(std::string_view host, std::string_view zone) const
{
    const auto known = m_hosts.find(host);
    return known != m_hosts.end() && known->second.gossip.zone != zone;
}

// Prefers the host with the most processor, then the fewest cells, then the lowest address.
bool cell_ownership::isPreferredClaimant(time_point now, std::string_view zone) const
{
    const bool isOtherZone = zone != m_settings.zone;
    if (isOtherZone && hasLiveHost(now, zone, false))
        return false;
    const auto rank = [](std::uint32_t processor, std::size_t claims, std::string_view host) { return std::tuple(-static_cast<std::int64_t>(processor), claims, host); };
    const auto own = rank(m_settings.processorMillicores, m_claims.size(), m_settings.host);
    return std::none_of(m_hosts.begin(), m_hosts.end(), [&](const auto& item) {
        const protocol::host_gossip& gossip = item.second.gossip;
        if (gossip.isLeaving || !isLive(now, item.second) || (!isOtherZone && gossip.zone != zone))
            return false;
        return rank(gossip.processorMillicores, gossip.claims.size(), item.first) < own;
    });
}

std::uint64_t cell_ownership::nextToken(std::string_view cell, std::int64_t unixMs) const
{
    const std::uint64_t hostHash = XXH3_64bits(m_settings.host.data(), m_settings.host.size()) & hostHashMask;
    std::uint64_t stamp = std::max(static_cast<std::uint64_t>(unixMs), (m_highestToken >> tokenHashBits) + 1);
    for (const auto& [claimed, token] : m_claims)
        stamp = std::max(stamp, (token >> tokenHashBits) + 1);
    if (const auto last = m_lastOwners.find(cell); last != m_lastOwners.end())
        stamp = std::max(stamp, (last->second.token >> tokenHashBits) + stampsPerClaim);
    return (stamp << tokenHashBits) | hostHash;
}

bool cell_ownership::isBackingOff(time_point now, std::string_view cell) const
{
    const auto backoff = m_claimBackoffs.find(cell);
    return backoff != m_claimBackoffs.end() && backoff->second.until > now;
}

bool cell_ownership::mustRelease(time_point now, const std::string& cell) const
{
    return m_isLeaving || isBackingOff(now, cell) || !ownerOf(now, cell)->isSelf || shouldRebalance(now, cell);
}

// Load pattern: a crashed host returns after its cells were taken over. The host that owns several of the zone's cells then
// releases the last of them for a host that owns none and has at least as much processor.
bool cell_ownership::shouldRebalance(time_point now, const std::string& cell) const
{
    const auto isOfZone = [this](std::string_view name) { return zoneOfCell(name) == m_settings.zone; };
    const auto claimed = std::count_if(m_claims.begin(), m_claims.end(), [&](const auto& claim) { return isOfZone(claim.first); });
    const auto last = std::find_if(m_claims.rbegin(), m_claims.rend(), [&](const auto& claim) { return isOfZone(claim.first); });
    if (claimed < 2 || last->first != cell)
        return false;
    return std::any_of(m_hosts.begin(), m_hosts.end(), [&](const auto& item) {
        const protocol::host_gossip& gossip = item.second.gossip;
        const bool isIdle = gossip.claims.empty() && now - item.second.idleSince >= m_settings.rebalanceDelay;
        return isIdle && gossip.zone == m_settings.zone && !gossip.isLeaving && isLive(now, item.second) && gossip.processorMillicores >= m_settings.processorMillicores;
    });
}

bool cell_ownership::mayClaim(time_point now, const std::string& cell)
{
    const std::string_view zone = zoneOfCell(cell);
    const bool isOwnZone = zone == m_settings.zone;
    const auto owner = ownerOf(now, cell);
    // A host of the zone replaces an owner from another zone, since it is closer to the upstreams.
    if (owner && !(isOwnZone && isOutsideZone(owner->host, zone))) {
        m_unclaimedSince.erase(cell);
        return false;
    }
    const time_point since = m_unclaimedSince.try_emplace(cell, now).first->second;
    const bool isListening = !m_directoryKnownSince || now - *m_directoryKnownSince < m_settings.initialClaimDelay;
    if (m_isLeaving || isBackingOff(now, cell) || isListening || !isPreferredClaimant(now, zone))
        return false;
    if (isOwnZone)
        return true;
    const auto heard = m_lastReportAt.find(zone);
    const bool isReachable = heard != m_lastReportAt.end() && now - heard->second <= m_settings.maxReportAge;
    const bool isPlanned = hasLiveHost(now, zone, true);
    return isReachable && (isPlanned || now - since >= m_settings.remoteTakeoverDelay);
}

// Only reports have named the zone, and no longer do: it may never have existed.
bool cell_ownership::isZoneForgotten(time_point now, std::string_view zone) const
{
    const auto heard = m_lastReportAt.find(zone);
    const bool hasReports = heard != m_lastReportAt.end() && now - heard->second <= m_settings.zoneRetention;
    return !hasReports && zone != m_settings.zone && std::none_of(m_hosts.begin(), m_hosts.end(), [zone](const auto& item) { return item.second.gossip.zone == zone; });
}

void cell_ownership::removeForgottenCells(time_point now, std::vector<ownership_change>& changes)
{
    std::erase_if(m_cells, [&](const std::string& cell) {
        if (!isZoneForgotten(now, zoneOfCell(cell)))
            return false;
        if (const auto own = m_claims.find(cell); own != m_claims.end()) {
            m_highestToken = std::max(m_highestToken, own->second);
            m_claims.erase(own);
            changes.push_back({ cell, 0 });
        }
        m_unclaimedSince.erase(cell);
        m_claimBackoffs.erase(cell);
        m_lastOwners.erase(cell);
        return true;
    });
    std::erase_if(m_lastReportAt, [&](const auto& item) { return now - item.second > m_settings.zoneRetention; });
}

void cell_ownership::recordOwner(const std::string& cell, std::uint64_t token, std::string_view host, std::uint64_t incarnation)
{
    last_owner& last = m_lastOwners[cell];
    if (token >= last.token)
        last = { token, std::string(host), incarnation };
}

bool cell_ownership::isLastOwnerLost(time_point now, const std::string& cell) const
{
    const auto last = m_lastOwners.find(cell);
    if (last == m_lastOwners.end())
        return true;
    const last_owner& owner = last->second;
    return owner.host != m_settings.host && !(knows(owner.host, owner.incarnation) && isLive(now, owner.host));
}

std::vector<ownership_change> cell_ownership::advance(time_point now, std::int64_t unixMs)
{
    std::vector<ownership_change> changes;
    updateZones(now);
    removeForgottenCells(now, changes);
    for (const std::string& cell : m_cells) {
        const auto own = m_claims.find(cell);
        const bool isOwned = own != m_claims.end() && !mustRelease(now, cell);
        const bool isDivided = isOwned && m_claimedCellCounts.at(cell) < cellCount(zoneOfCell(cell));
        if (isOwned && !isDivided)
            continue;
        if (own != m_claims.end()) {
            m_highestToken = std::max(m_highestToken, own->second);
            m_claims.erase(own);
            m_unclaimedSince.erase(cell);
            changes.push_back({ cell, 0 });
        }
        if (!isDivided && !mayClaim(now, cell))
            continue;
        const std::uint64_t token = nextToken(cell, unixMs);
        m_claims[cell] = token;
        m_claimedCellCounts[cell] = cellCount(zoneOfCell(cell));
        changes.push_back({ cell, token, isLastOwnerLost(now, cell) });
        recordOwner(cell, token, m_settings.host, m_settings.incarnation);
    }
    return changes;
}

protocol::host_gossip cell_ownership::gossip() const
{
    protocol::host_gossip out { m_settings.host, m_settings.incarnation, m_settings.zone, m_settings.processorMillicores, m_isLeaving, 0, {}, 1 };
    for (const auto& [cell, token] : m_claims)
        out.claims.push_back({ cell, token, {}, m_claimedCellCounts.at(cell) });
    return out;
}

} // namespace jackdaw::cells
