// Decides which entry host owns which cell, from gossip alone. Safety does not depend on agreement: upstreams refuse calls with
// a fencing token lower than the highest they have seen.
//
// Load pattern: hosts that crash, freeze, leave or are partitioned, on small processors that sometimes answer late. A host keeps
// its claim while its gossip arrives; the best live host takes over a cell without a live owner.
#pragma once

#include "protocol/cell_messages.h"
#include "protocol/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::cells {

using protocol::duration;
using protocol::time_point;

struct ownership_settings {
    std::string host; // this host's address
    std::uint64_t incarnation = 0;
    std::string zone;
    std::uint32_t processorMillicores = 0;
    duration silenceLimit = std::chrono::milliseconds(1000); // six gossip intervals of 150 ms fit; then a host is silent
    // For hosts that gossip occasionally to each other: three intervals of 900 ms.
    duration occasionalSilenceLimit = std::chrono::seconds(3);
    // Three gossip intervals, counted from the receipt of the list of entry hosts. A new host claims no cell before.
    duration initialClaimDelay = std::chrono::milliseconds(450);
    duration remoteTakeoverDelay = std::chrono::seconds(3); // before another zone takes over cells of a zone of silent hosts
    // The directory is known for so long before this host judges by all hosts of the zone: several directory requests and gossip rounds.
    duration settlingTime = std::chrono::seconds(3);
    duration rebalanceDelay = std::chrono::seconds(2); // a host without cells gets one of a host with several after this time
    // A zone counts as reachable for this long after a report of one of its upstreams. Each reports about every 1.5 s.
    duration maxReportAge = std::chrono::milliseconds(2500);
    // Cells of a zone without hosts are given up this long after the last report. Upstreams stay known as long without reports.
    duration zoneRetention = std::chrono::seconds(60);
};

struct cell_owner {
    std::string host;
    std::uint64_t token = 0;
    bool isSelf = false;
    std::uint32_t zoneCellCount = 1; // number of cells into which the zone is divided under this ownership
};

struct ownership_change {
    std::string cell;
    std::uint64_t token = 0; // 0: this host no longer owns the cell
    bool isEarlierOwnerLost = false; // with a token: the last owner is silent, has restarted or is not known
};

// How often a host sends its gossip to another one.
//
// Load pattern: hundreds of hosts with a twentieth of a processor each. If each told each of them everything several times a
// second, they would spend much of their processors and links on gossip, more with each host that is added.
enum class gossip_need {
    frequent, // a take-over or a job depends on noticing at once when one of the two falls silent
    occasional, // the same zone, or one of the two owns a cell
    by_delegates // another zone, and neither owns a cell: a few hosts of each zone show that it has hosts
};

class cell_ownership {
public:
    explicit cell_ownership(ownership_settings settings);

    // The list of entry hosts has been received. This host claims no cell before.
    void onDirectoryKnown(time_point now);

    // Whether gossip of this life of the host has been received.
    bool knows(std::string_view host, std::uint64_t incarnation) const;

    // Whether the gossip says of the host's life, claims and leaving what its last one said. Then nothing has to be decided anew
    // before the next advance(). Load pattern: hundreds of hosts whose gossip nearly always says the same.
    bool isRepetition(const protocol::host_gossip& gossip) const;

    // Returns true if the sender has restarted, which shows as a changed incarnation.
    bool onGossip(time_point now, const protocol::host_gossip& gossip);

    // The zone is divided into count cells, which must have an owner. Own claims under fewer cells are replaced by claims with a new token
    // in the next advance(), so that each ownership holds for one division.
    void setCells(std::string_view zone, std::uint32_t count);

    // An upstream of this zone has reported: the zone's cells need owners, and this host can reach the zone's upstreams.
    void onZoneReport(time_point now, std::string_view zone);

    // From now on this host gives up its cells and claims none.
    void leave();

    // An upstream has seen a higher token than this host's claim has. The host gives up the cell and backs off.
    void onFenced(time_point now, std::string_view cell);

    // Claims and releases cells. Tokens derive from unixMs, the wall clock in milliseconds, so that a new token is also higher
    // than those of hosts that this host has never heard from.
    std::vector<ownership_change> advance(time_point now, std::int64_t unixMs);

    std::optional<cell_owner> ownerOf(time_point now, std::string_view cell) const;

    std::vector<std::string> silentHosts(time_point now) const;
    std::vector<std::string> otherOwners(time_point now) const;
    // Other live hosts of the zone.
    std::vector<std::string> hostsOf(time_point now, std::string_view zone) const;

    // Processor of each entry host of this zone that was ever heard, in millicores, so that the loss of a host changes nothing. Empty
    // until the hosts of the zone can be expected to be known.
    std::vector<std::uint32_t> zoneProcessors(time_point now) const;

    // Whether this host's gossip goes to the host in a round. Every round is for those that need it frequently; a full round, one
    // in several, is for the others as well.
    bool isGossipDue(time_point now, std::string_view host, bool isFullRound) const;

    // The place of this host among those that send the list of upstreams to a host that has just started: a few of its zone, chosen
    // by hash, and the owners of the zone's cells after them. Empty: this host sends none. Load pattern: after a loss of power all
    // hosts start at once, and a list from each to each would fill the links of weak hosts for seconds.
    std::optional<std::size_t> listSenderRank(time_point now, std::string_view host, std::string_view zone) const;

    // This host's gossip. The caller fills in free capacity and the configuration version.
    protocol::host_gossip gossip() const;

private:
    struct known_host {
        protocol::host_gossip gossip;
        time_point heardAt;
        time_point idleSince; // valid while it has no claim
    };

    // Who had the highest token of a cell.
    struct last_owner {
        std::uint64_t token = 0;
        std::string host;
        std::uint64_t incarnation = 0;
    };

    struct claim_backoff {
        time_point until;
        duration length {};
    };

    bool isLive(time_point now, std::string_view host) const;
    bool isLive(time_point now, const known_host& host) const;
    gossip_need gossipNeed(const known_host& host) const;
    bool isDelegateFor(time_point now, std::string_view host) const;
    void updateZones(time_point now);
    bool ownsCellOf(std::string_view zone) const;
    bool isBackingOff(time_point now, std::string_view cell) const;
    bool isPreferredClaimant(time_point now, std::string_view zone) const;
    bool hasLiveHost(time_point now, std::string_view zone, bool isLeaving) const;
    bool isOutsideZone(std::string_view host, std::string_view zone) const;
    bool isZoneForgotten(time_point now, std::string_view zone) const;
    void removeForgottenCells(time_point now, std::vector<ownership_change>& changes);
    bool mustRelease(time_point now, const std::string& cell) const;
    std::uint32_t cellCount(std::string_view zone) const;
    bool shouldRebalance(time_point now, const std::string& cell) const;
    bool mayClaim(time_point now, const std::string& cell);
    std::uint64_t nextToken(std::string_view cell, std::int64_t unixMs) const;
    void recordOwner(const std::string& cell, std::uint64_t token, std::string_view host, std::uint64_t incarnation);
    bool isLastOwnerLost(time_point now, const std::string& cell) const;

    ownership_settings m_settings;
    std::optional<time_point> m_directoryKnownSince;
    bool m_isLeaving = false;
    std::map<std::string, known_host, std::less<>> m_hosts; // other than this host
    std::set<std::string, std::less<>> m_claimants; // of m_hosts, those whose last gossip names claims
    std::uint32_t m_mostProcessor = 0; // of the live hosts of this zone; those that have it take over first
    std::map<std::string, std::size_t, std::less<>> m_zoneSizes; // hosts of m_hosts by zone
    std::map<std::string, std::uint64_t, std::less<>> m_claims; // fencing token by cell
    std::map<std::string, std::uint32_t, std::less<>> m_claimedCellCounts; // of the zone of each cell in m_claims, when it was claimed
    std::map<std::string, std::uint32_t, std::less<>> m_cellCounts; // by zone; absent: 1
    std::map<std::string, time_point, std::less<>> m_unclaimedSince; // cells without an owner
    std::map<std::string, last_owner, std::less<>> m_lastOwners; // by cell
    std::map<std::string, claim_backoff, std::less<>> m_claimBackoffs;
    std::map<std::string, time_point, std::less<>> m_lastReportAt; // by zone
    std::set<std::string, std::less<>> m_cells;
    std::uint64_t m_highestToken = 0;
};

} // namespace jackdaw::cells
