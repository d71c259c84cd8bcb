// Reports by upstream, their age, and the hosts that were sent the list.
#include "coordination/cells/upstream_directory.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace jackdaw::cells {
namespace {

    // Keeps upstreams known while all control hosts are down. A control host that nobody hears for as long was removed.
    constexpr duration retention = std::chrono::seconds(60);
    constexpr duration controlSilenceLimit = std::chrono::milliseconds(2500); // each control host sends an update at least every second

} // namespace

upstream_directory::change upstream_directory::onReport(time_point now, const protocol::upstream_report& report)
{
    const auto [found, isNew] = m_upstreams.try_emplace(report.id, known_upstream { { report, now }, time_point::min(), {} });
    known_upstream& known = found->second;
    if (!isNew && report != known.reports.latest() && !known.reports.accept(now, report))
        return {};
    known.reportedAt = now;
    known.knownAt = now;
    return { true, isNew };
}

std::vector<protocol::upstream_report> upstream_directory::onPeerList(time_point now, const protocol::upstream_list& list)
{
    m_peerSince = std::min(m_peerSince, now);
    std::vector<protocol::upstream_report> changed;
    for (std::size_t i = 0; i < std::min(list.reports.size(), list.agesMs.size()); ++i) {
        if (merge(now, list.reports[i], now - std::chrono::milliseconds(list.agesMs[i])))
            changed.push_back(list.reports[i]);
    }
    return changed;
}

std::vector<protocol::upstream_report> upstream_directory::onNamedUpstreams(time_point now, std::span<const protocol::upstream_report> reports)
{
    std::vector<protocol::upstream_report> changed;
    std::copy_if(reports.begin(), reports.end(), std::back_inserter(changed), [&](const protocol::upstream_report& report) { return merge(now, report, now); });
    return changed;
}

bool upstream_directory::merge(time_point now, const protocol::upstream_report& report, time_point heardAt)
{
    const auto [found, isNew] = m_upstreams.try_emplace(report.id, known_upstream { { report, now }, time_point::min(), {} });
    known_upstream& known = found->second;
    known.knownAt = std::max(known.knownAt, heardAt);
    const protocol::upstream_report& latest = known.reports.latest();
    const bool isEndOfLife = report.startedUnixMs == latest.startedUnixMs && report.isLeaving && !latest.isLeaving;
    return isNew || ((isEndOfLife || protocol::isNewer(report, latest)) && known.reports.accept(now, report));
}

void upstream_directory::onControlUpdate(time_point now, std::string_view sender, std::span<const std::string> controlHosts)
{
    for (const std::string& host : controlHosts)
        m_controlHosts[host].namedAt = now;
    control_host& heard = m_controlHosts[std::string(sender)];
    if (heard.since == time_point::max() || now - heard.heardAt > controlSilenceLimit)
        heard.since = now;
    heard.heardAt = now;
    heard.namedAt = now;
}

void upstream_directory::refresh(time_point now, std::span<const std::string> ids)
{
    for (const std::string& id : ids) {
        if (const auto found = m_upstreams.find(id); found != m_upstreams.end())
            found->second.knownAt = now;
    }
}

bool upstream_directory::needsList(std::string_view host, std::uint64_t incarnation) const
{
    const auto sent = m_sentTo.find(host);
    return sent == m_sentTo.end() || sent->second != incarnation;
}

void upstream_directory::onListSent(std::string_view host, std::uint64_t incarnation)
{
    m_sentTo[std::string(host)] = incarnation;
}

void upstream_directory::forgetPeer(std::string_view host)
{
    if (const auto sent = m_sentTo.find(host); sent != m_sentTo.end())
        m_sentTo.erase(sent);
}

time_point upstream_directory::heardSince(time_point now) const
{
    time_point since = m_controlHosts.empty() ? time_point::max() : m_peerSince;
    for (const auto& [host, known] : m_controlHosts) {
        const bool isSilent = known.since == time_point::max() || now - known.heardAt > controlSilenceLimit;
        since = std::max(since, isSilent ? time_point::max() : known.since);
    }
    return since;
}

void upstream_directory::onZoneNews(std::string_view sender, std::string_view zone, time_point askedAt)
{
    time_point& told = m_controlHosts[std::string(sender)].toldAt[std::string(zone)];
    told = std::max(told, askedAt);
}

time_point upstream_directory::toldUntil(std::string_view zone) const
{
    time_point until = m_controlHosts.empty() ? time_point::min() : time_point::max();
    for (const auto& [host, known] : m_controlHosts) {
        const auto told = known.toldAt.find(zone);
        until = std::min(until, told == known.toldAt.end() ? time_point::min() : told->second);
    }
    return until;
}

std::size_t upstream_directory::countReporting(time_point now, std::string_view zone, duration maxAge) const
{
    std::set<std::string_view> addresses;
    for (const auto& [id, known] : m_upstreams) {
        if (known.reports.latest().zone == zone && !known.reports.latest().isLeaving && known.reportedAt >= now - maxAge)
            addresses.insert(known.reports.latest().address);
    }
    return addresses.size();
}

void upstream_directory::append(protocol::upstream_list& list, const known_upstream& known, time_point now)
{
    list.reports.push_back(known.reports.latest());
    list.agesMs.push_back(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - known.knownAt).count()));
}

protocol::upstream_list upstream_directory::list(time_point now) const
{
    protocol::upstream_list out;
    for (const auto& [id, known] : m_upstreams)
        append(out, known, now);
    return out;
}

protocol::upstream_list upstream_directory::listOfZone(time_point now, std::string_view zone) const
{
    protocol::upstream_list out;
    for (const auto& [id, known] : m_upstreams) {
        if (known.reports.latest().zone == zone)
            append(out, known, now);
    }
    return out;
}

protocol::upstream_list upstream_directory::list(time_point now, std::span<const std::string> ids) const
{
    protocol::upstream_list out;
    for (const std::string& id : ids) {
        if (const auto found = m_upstreams.find(id); found != m_upstreams.end())
            append(out, found->second, now);
    }
    return out;
}

void upstream_directory::forEach(const std::function<void(const protocol::upstream_report& report)>& visit) const
{
    for (const auto& [id, known] : m_upstreams)
        visit(known.reports.latest());
}

std::vector<std::string> upstream_directory::cellsThatFit(const protocol::job_order& job, const std::function<std::string(const protocol::upstream_report& report)>& cellOf) const
{
    std::map<std::string, std::vector<bool>> fitting; // steps that fit, by cell
    for (const auto& [id, known] : m_upstreams) {
        const protocol::upstream_report& report = known.reports.latest();
        if (report.isLeaving || report.service != job.service)
            continue;
        std::vector<bool>& steps = fitting.try_emplace(cellOf(report), job.steps.size()).first->second;
        for (std::size_t i = 0; i < job.steps.size(); ++i) {
            const protocol::job_step& step = job.steps[i];
            const bool isLabelled = step.requiredLabel.empty() || std::find(report.labels.begin(), report.labels.end(), step.requiredLabel) != report.labels.end();
            steps[i] = steps[i] || (isLabelled && step.need.fitsIn(report.capacity));
        }
    }
    std::vector<std::string> cells;
    for (const auto& [cell, steps] : fitting) {
        if (std::find(steps.begin(), steps.end(), false) == steps.end())
            cells.push_back(cell);
    }
    return cells;
}

void upstream_directory::expire(time_point now)
{
    std::erase_if(m_upstreams, [now](const auto& item) { return now - item.second.knownAt > retention; });
    std::erase_if(m_controlHosts, [now](const auto& item) { return now - item.second.namedAt > retention; });
}

} // namespace jackdaw::cells
