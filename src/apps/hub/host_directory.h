// Directory of the entry hosts, the other control hosts and the upstreams, as one control host knows them, and the updates
// that it sends to the entry hosts.
//
// Load pattern: some hundred reports a second from upstreams, over links that occasionally lose a message. Reports are sent in
// batches. Those of leaving upstreams are repeated, because a task that is sent to a leaving upstream is lost when it ends.
#pragma once

#include "protocol/cell_messages.h"
#include "protocol/time.h"
#include "protocol/upstream_reports.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::hub {

using protocol::duration;
using protocol::time_point;

// What control hosts send to all entry hosts, many times a second.
//
// Load pattern: a thousand upstreams report every 1.5 s, and each report would go to each of hundreds of entry hosts. A host
// needs each report of its own zone; of other zones it needs to know who came, changed or left, and that the zone still reports.
struct directory_batch {
    protocol::directory_update update;
    std::vector<bool> isForAllZones; // of each report

    // The batch for entry hosts of the zone; everything if the zone is empty.
    protocol::directory_update forZone(std::string_view zone) const;
};

class host_directory {
public:
    // The seeds are control hosts from the settings, and may include this host.
    host_directory(std::string self, std::vector<std::string> seeds);

    // True when the host is new, sent no message within the silence limit before this one, or has restarted.
    bool recordDirectoryRequest(time_point now, const protocol::directory_request& request);
    bool recordControlHeartbeat(time_point now, const protocol::control_heartbeat& heartbeat);

    protocol::control_heartbeat makeHeartbeat(time_point now, std::uint64_t incarnation, std::string operatorAddress) const;

    // The control hosts that this host knows of, without this host: the seeds, those heard or named in a heartbeat within the
    // silence limit, and the members of the group. The members are known from the disk, also while all others are down.
    std::vector<std::string> heartbeatReceivers(time_point now, std::span<const std::string> groupHosts) const;

    // False when the report is late, or not the upstream's own; it is then ignored.
    bool recordUpstreamReport(time_point now, const protocol::upstream_report& report);

    // The upstream has ended: marks it as leaving, so that the next batch announces it.
    void deregisterUpstream(std::string_view id);

    // All hosts and reports that are not timed out, for an entry host that has just started: otherwise it would have to wait
    // until each upstream has reported again.
    protocol::directory_update fullUpdate(time_point now) const;

    // All reports of the zone that are not timed out, also those that were sent before: batches are lost with links.
    protocol::directory_update updateOfZone(time_point now, std::string_view zone) const;

    // The reports that are new since the last batch or are repeated, and the live hosts if they have changed or were not part of a
    // batch for a while. Drops upstreams that did not report for twice the silence limit.
    directory_batch takeBatch(time_point now);

    // True when a host or report is new, or when the host list must be resent.
    bool isBatchDue(time_point now) const;

    std::vector<std::string> liveEntryHosts(time_point now) const;
    std::vector<std::string> liveControlHosts(time_point now) const; // without this host
    std::string zoneOf(std::string_view entryHost) const; // empty when it is not known
    std::string operatorAddressOf(std::string_view controlHost) const; // empty when the host is unknown
    std::uint64_t configurationVersionOf(std::string_view entryHost) const; // 0 when the host is unknown
    std::vector<std::string> entryHostsBehind(time_point now, std::uint64_t version) const; // live ones with an older version

private:
    // Last message of each host of one kind.
    template <typename Message>
    struct host_table {
        struct host_record {
            Message message;
            time_point receivedAt;
        };
        std::map<std::string, host_record, std::less<>> byName;

        bool record(time_point now, const Message& message); // returns the same as recordDirectoryRequest()
        std::vector<std::string> live(time_point now) const;
        const Message* find(std::string_view name) const; // null when it never sent a message
    };

    struct upstream_record {
        protocol::report_history reports;
        time_point receivedAt;
        bool isSent = false; // was part of a batch
        bool isNews = true; // says more than that the upstream still runs
        time_point sentToAllAt; // when it was last part of a batch for all zones
    };

    protocol::directory_update hostUpdate(time_point now) const;

    std::string m_self;
    std::vector<std::string> m_seeds;
    host_table<protocol::directory_request> m_entryHosts;
    host_table<protocol::control_heartbeat> m_controlHosts;
    std::map<std::string, time_point> m_namedControlHosts; // when another control host last named it
    std::map<std::string, upstream_record, std::less<>> m_upstreams;
    bool m_hostsChanged = false; // since the last batch
    time_point m_lastBatchAt;
    time_point m_lastHostListAt;
    std::map<std::string, time_point, std::less<>> m_lastToAllAt; // by zone: when a report of it last went to all zones
};

} // namespace jackdaw::hub
