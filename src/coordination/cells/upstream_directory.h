// The upstreams that an entry host knows of: from control hosts, which relay the upstreams' reports, and from other entry hosts.
// An upstream that can't reach any control host is known only to entry hosts that received its reports earlier, so entry hosts
// exchange their lists: an owner that didn't know such an upstream would neither fence earlier owners there nor find their tasks.
#pragma once

#include "protocol/cell_messages.h"
#include "protocol/time.h"
#include "protocol/upstream_reports.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::cells {

using protocol::duration;
using protocol::time_point;

class upstream_directory {
public:
    struct change {
        bool isAccepted = false; // no newer report was known
        bool isNew = false; // the upstream was not known
    };

    // A report that a control host relayed.
    change onReport(time_point now, const protocol::upstream_report& report);

    // Another entry host's list. Returns the reports that were not known, or are newer than those known.
    std::vector<protocol::upstream_report> onPeerList(time_point now, const protocol::upstream_list& list);

    // Upstreams that another host has told of by name. The same result, but the host may know more of them.
    std::vector<protocol::upstream_report> onNamedUpstreams(time_point now, std::span<const protocol::upstream_report> reports);

    // An update from a control host has arrived, with the control hosts that it knows of.
    void onControlUpdate(time_point now, std::string_view sender, std::span<const std::string> controlHosts);

    // Postpones the expiry of upstreams that answer this host, also if they don't report.
    void refresh(time_point now, std::span<const std::string> ids);

    // Whether the list has not been sent to this process of another entry host yet.
    bool needsList(std::string_view host, std::uint64_t incarnation) const;
    void onListSent(std::string_view host, std::uint64_t incarnation);
    // The host was silent for a time and may have missed reports: it needs the list again.
    void forgetPeer(std::string_view host);

    // Since when every control host has sent updates without a pause, and another entry host has sent its list; time_point::max()
    // before that, and while any control host is silent. An upstream that has started may have reported to that one only.
    time_point heardSince(time_point now) const;

    // A control host has told every upstream of the zone that it knows of, when it was asked at askedAt.
    void onZoneNews(std::string_view sender, std::string_view zone, time_point askedAt);

    // Until when every control host has told every upstream of the zone: one that reported later may be missing. time_point::min() if
    // a control host has not.
    time_point toldUntil(std::string_view zone) const;

    // Upstreams of the zone, not leaving, whose reports arrived within maxAge. Of those at one address only one can still run.
    std::size_t countReporting(time_point now, std::string_view zone, duration maxAge) const;

    // The upstreams for other entry hosts: all, or those with the given ids.
    protocol::upstream_list list(time_point now) const;
    protocol::upstream_list listOfZone(time_point now, std::string_view zone) const;
    protocol::upstream_list list(time_point now, std::span<const std::string> ids) const;
    std::size_t size() const { return m_upstreams.size(); }

    void forEach(const std::function<void(const protocol::upstream_report& report)>& visit) const;

    // The cells that have an upstream for each step of the job, of its service, with the required label and enough capacity.
    std::vector<std::string> cellsThatFit(const protocol::job_order& job, const std::function<std::string(const protocol::upstream_report& report)>& cellOf) const;

    // Removes upstreams and control hosts that nothing was heard of for too long.
    void expire(time_point now);

private:
    struct known_upstream {
        protocol::report_history reports;
        time_point reportedAt = time_point::min(); // last report that a control host relayed
        time_point knownAt; // when any host last heard of it, as far as known
    };

    // Returns whether the report was not known, or is newer than the one known.
    bool merge(time_point now, const protocol::upstream_report& report, time_point heardAt);
    static void append(protocol::upstream_list& list, const known_upstream& known, time_point now);

    std::map<std::string, known_upstream, std::less<>> m_upstreams; // by id
    struct control_host {
        time_point namedAt; // when an update last named it
        time_point since = time_point::max(); // of its updates without a pause
        time_point heardAt; // valid unless since is time_point::max()
        std::map<std::string, time_point, std::less<>> toldAt; // by zone
    };

    std::map<std::string, std::uint64_t, std::less<>> m_sentTo; // incarnation of each host that the list was sent to
    std::map<std::string, control_host, std::less<>> m_controlHosts;
    time_point m_peerSince = time_point::max();
};

} // namespace jackdaw::cells
