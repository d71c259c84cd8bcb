// Which entry host owns which cell, from gossip alone. Safety does not rest on it: the upstreams refuse lower tokens.
//
// Load pattern: hosts that die, freeze, leave or are cut off, on small processors that answer late at times. A claim stays
// with its host while it is heard; the best host that is left takes an unclaimed cell over.
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
    duration silenceLimit = std::chrono::milliseconds(1000); // five intervals of gossip
    duration remoteSilenceLimit = std::chrono::seconds(3); // of other zones' hosts without cells, who are heard less often
    duration initialClaimDelay = std::chrono::milliseconds(450); // three intervals of gossip, before a new host claims anything
    duration remoteTakeoverDelay = std::chrono::seconds(3); // before a zone of silent hosts is taken over from another zone
    duration rebalanceDelay = std::chrono::seconds(2); // a host without cells takes one from a host with several
    duration maxReportAge = std::chrono::milliseconds(2500); // two reports of an upstream come in it
};

struct cell_owner {
    std::string host;
    std::uint64_t token = 0;
    bool isSelf = false;
};

struct ownership_change {
    std::string cell;
    std::uint64_t token = 0; // 0: this host owns the cell no longer
};

class cell_ownership {
public:
    explicit cell_ownership(ownership_settings settings);

    // The other hosts are known from now on. A host claims nothing before.
    void onDirectoryKnown(time_point now);

    // True when the process that spoke for this host before has ended: another incarnation speaks.
    bool onGossip(time_point now, const protocol::host_gossip& gossip);

    // The zone is divided into so many cells.
    void setCells(std::string_view zone, std::uint32_t count);

    // An upstream of this zone has reported: its cells want owners, and this host can reach what reports there.
    void onZoneReport(time_point now, std::string_view zone);

    // This host claims nothing any more.
    void leave();

    // An upstream has seen a higher token than the one of this host's claim.
    void onFenced(time_point now, std::string_view cell);

    // Takes over and drops cells. unixMs makes new tokens higher than those of hosts that were never heard.
    std::vector<ownership_change> advance(time_point now, std::int64_t unixMs);

    std::optional<cell_owner> ownerOf(time_point now, std::string_view cell) const;

    std::vector<std::string> silentHosts(time_point now) const;
    std::vector<std::string> otherOwners(time_point now) const;

    // Load pattern: tens of hosts on a twentieth of a processor each. Hosts of one zone, owners, and hosts that were not heard yet
    // hear this host's gossip at every interval; all others only now and then, since nothing of theirs hangs on it.
    bool needsFrequentGossip(std::string_view host) const;

    // This host's gossip; rooms and configuration are left to the caller.
    protocol::host_gossip gossip() const;

private:
    struct known_host {
        protocol::host_gossip gossip;
        time_point heardAt;
        time_point idleSince; // valid while it claims nothing
    };

    struct claim_backoff {
        time_point until;
        duration length {};
    };

    bool isLive(time_point now, std::string_view host) const;
    bool isBackingOff(time_point now, std::string_view cell) const;
    bool isPreferredClaimant(time_point now, std::string_view zone) const;
    bool hasLiveHost(time_point now, std::string_view zone, bool isLeaving) const;
    bool isOutsideZone(std::string_view host, std::string_view zone) const;
    bool mustRelease(time_point now, const std::string& cell) const;
    bool shouldRebalance(time_point now, const std::string& cell) const;
    bool mayClaim(time_point now, const std::string& cell);
    std::uint64_t nextToken(std::int64_t unixMs) const;

    ownership_settings m_settings;
    std::optional<time_point> m_directoryKnownSince;
    bool m_isLeaving = false;
    std::map<std::string, known_host, std::less<>> m_hosts; // without this one
    std::map<std::string, std::uint64_t, std::less<>> m_claims; // cell and token
    std::map<std::string, time_point, std::less<>> m_unclaimedSince; // cells that want an owner
    std::map<std::string, claim_backoff, std::less<>> m_claimBackoffs;
    std::map<std::string, time_point, std::less<>> m_lastReportAt; // by zone
    std::set<std::string, std::less<>> m_cells;
    std::uint64_t m_highestToken = 0;
};

} // namespace jackdaw::cells
