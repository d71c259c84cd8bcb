// Expiry of hosts and upstreams, and the contents of directory updates.
#include "apps/hub/host_directory.h"

#include <algorithm>
#include <set>

namespace jackdaw::hub {
namespace {

    constexpr duration silenceLimit = std::chrono::seconds(5); // ten message intervals of hosts, three report intervals of upstreams
    constexpr duration leavingRepeatTime = std::chrono::seconds(3); // two report intervals of 1.5 s: a leaving upstream reports twice
    constexpr duration hostListInterval = std::chrono::seconds(1); // the host list is resent, since a batch can be lost
    constexpr duration refreshBatchInterval = std::chrono::milliseconds(500); // for reports that only show that upstreams run
    // Other zones get one report of a zone at least this often: a host claims a zone without hosts only while it hears reports.
    constexpr duration zoneSignInterval = std::chrono::seconds(1);
    constexpr duration refreshInterval = std::chrono::seconds(10); // several within the time for which entry hosts remember an upstream

    bool isSameButForSequence(protocol::upstream_report report, const protocol::upstream_report& other)
    {
        report.sequence = other.sequence;
        report.coldLeftMs = other.coldLeftMs; // decreases with each report
        return report == other;
    }

    // The report with the time that it still says the upstream is cold.
    protocol::upstream_report withColdTimeLeft(protocol::upstream_report report, duration age)
    {
        const auto ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
        report.coldLeftMs -= static_cast<std::uint32_t>(std::clamp<std::int64_t>(ageMs, 0, report.coldLeftMs));
        return report;
    }

} // namespace

host_directory::host_directory(std::string self, std::vector<std::string> seeds)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
{
}

template <typename Message>
bool host_directory::host_table<Message>::record(time_point now, const Message& message)
{
    const auto [found, isNew] = byName.try_emplace(message.host);
    const bool isNewOrReturned = isNew || now - found->second.receivedAt > silenceLimit || found->second.message.incarnation != message.incarnation;
    found->second = { message, now };
    return isNewOrReturned;
}

template <typename Message>
std::vector<std::string> host_directory::host_table<Message>::live(time_point now) const
{
    std::vector<std::string> out;
    for (const auto& [name, host] : byName) {
        if (now - host.receivedAt <= silenceLimit)
            out.push_back(name);
    }
    return out;
}

template <typename Message>
const Message* host_directory::host_table<Message>::find(std::string_view name) const
{
    const auto found = byName.find(name);
    return found == byName.end() ? nullptr : &found->second.message;
}

bool host_directory::recordDirectoryRequest(time_point now, const protocol::directory_request& request)
{
    const bool isNewOrReturned = m_entryHosts.record(now, request);
    m_hostsChanged = m_hostsChanged || isNewOrReturned;
    return isNewOrReturned;
}

bool host_directory::recordControlHeartbeat(time_point now, const protocol::control_heartbeat& heartbeat)
{
    for (const std::string& host : heartbeat.heardHosts)
        m_namedControlHosts[host] = now;
    std::erase_if(m_namedControlHosts, [now](const auto& named) { return now - named.second > silenceLimit; });
    const bool isNewOrReturned = m_controlHosts.record(now, heartbeat);
    m_hostsChanged = m_hostsChanged || isNewOrReturned;
    return isNewOrReturned;
}

protocol::control_heartbeat host_directory::makeHeartbeat(time_point now, std::uint64_t incarnation, std::string operatorAddress) const
{
    return { m_self, incarnation, std::move(operatorAddress), liveControlHosts(now) };
}

std::vector<std::string> host_directory::heartbeatReceivers(time_point now, std::span<const std::string> groupHosts) const
{
    std::set<std::string> receivers(m_seeds.begin(), m_seeds.end());
    receivers.insert(groupHosts.begin(), groupHosts.end());
    for (const auto& [host, namedAt] : m_namedControlHosts) {
        if (now - namedAt <= silenceLimit)
            receivers.insert(host);
    }
    for (std::string& host : liveControlHosts(now))
        receivers.insert(std::move(host));
    receivers.erase(m_self);
    return { receivers.begin(), receivers.end() };
}

bool host_directory::recordUpstreamReport(time_point now, const protocol::upstream_report& report)
{
    const auto [found, isNew] = m_upstreams.try_emplace(report.id, upstream_record { { report, now }, now, false, true, {} });
    upstream_record& known = found->second;
    const protocol::upstream_report before = known.reports.latest();
    if (!isNew && !known.reports.accept(now, report))
        return false;
    known.isNews = isNew || (known.isNews && !known.isSent) || !isSameButForSequence(known.reports.latest(), before);
    known.receivedAt = now;
    known.isSent = false;
    return true;
}

void host_directory::deregisterUpstream(std::string_view id)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    found->second.reports.markLeaving();
    found->second.isSent = false;
    found->second.isNews = true;
}

bool host_directory::isBatchDue(time_point now) const
{
    if (m_hostsChanged || now - m_lastBatchAt >= hostListInterval)
        return true;
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& item) {
        const upstream_record& upstream = item.second;
        return !upstream.isSent && (upstream.isNews || now - m_lastBatchAt >= refreshBatchInterval);
    });
}

protocol::directory_update host_directory::hostUpdate(time_point now) const
{
    protocol::directory_update update { liveEntryHosts(now), liveControlHosts(now), {} };
    update.controlHosts.push_back(m_self);
    return update;
}

protocol::directory_update host_directory::fullUpdate(time_point now) const
{
    protocol::directory_update update = hostUpdate(now);
    for (const auto& [id, upstream] : m_upstreams) {
        if (now - upstream.receivedAt <= silenceLimit)
            update.reports.push_back(withColdTimeLeft(upstream.reports.latest(), now - upstream.receivedAt));
    }
    return update;
}

protocol::directory_update host_directory::updateOfZone(time_point now, std::string_view zone) const
{
    protocol::directory_update update;
    for (const auto& [id, upstream] : m_upstreams) {
        if (upstream.reports.latest().zone == zone && now - upstream.receivedAt <= silenceLimit)
            update.reports.push_back(withColdTimeLeft(upstream.reports.latest(), now - upstream.receivedAt));
    }
    return update;
}

protocol::directory_update directory_batch::forZone(std::string_view zone) const
{
    if (zone.empty())
        return update;
    protocol::directory_update out { update.entryHosts, update.controlHosts, {} };
    for (std::size_t i = 0; i < update.reports.size(); ++i) {
        if (isForAllZones[i] || update.reports[i].zone == zone)
            out.reports.push_back(update.reports[i]);
    }
    return out;
}

directory_batch host_directory::takeBatch(time_point now)
{
    directory_batch batch;
    if (m_hostsChanged || now - m_lastHostListAt >= hostListInterval) {
        batch.update = hostUpdate(now);
        m_lastHostListAt = now;
    }
    for (auto& [id, upstream] : m_upstreams) {
        const bool isRepeated = upstream.reports.latest().isLeaving && now - upstream.receivedAt <= leavingRepeatTime;
        if (upstream.isSent && !isRepeated)
            continue;
        time_point& lastOfZone = m_lastToAllAt[upstream.reports.latest().zone];
        const bool isForAll = upstream.isNews || isRepeated || now - upstream.sentToAllAt >= refreshInterval || now - lastOfZone >= zoneSignInterval;
        if (isForAll) {
            upstream.sentToAllAt = now;
            lastOfZone = now;
        }
        batch.update.reports.push_back(upstream.reports.latest());
        batch.isForAllZones.push_back(isForAll);
        upstream.isSent = true;
        upstream.isNews = false;
    }
    std::erase_if(m_lastToAllAt, [now](const auto& item) { return now - item.second > 2 * silenceLimit; });
    std::erase_if(m_upstreams, [now](const auto& item) { return now - item.second.receivedAt > 2 * silenceLimit; });
    m_hostsChanged = false;
    m_lastBatchAt = now;
    return batch;
}

std::vector<std::string> host_directory::liveEntryHosts(time_point now) const
{
    return m_entryHosts.live(now);
}

std::vector<std::string> host_directory::liveControlHosts(time_point now) const
{
    return m_controlHosts.live(now);
}

std::string host_directory::zoneOf(std::string_view entryHost) const
{
    const protocol::directory_request* request = m_entryHosts.find(entryHost);
    return request ? request->zone : std::string();
}

std::string host_directory::operatorAddressOf(std::string_view controlHost) const
{
    const protocol::control_heartbeat* heartbeat = m_controlHosts.find(controlHost);
    return heartbeat ? heartbeat->operatorAddress : std::string();
}

std::uint64_t host_directory::configurationVersionOf(std::string_view entryHost) const
{
    const protocol::directory_request* request = m_entryHosts.find(entryHost);
    return request ? request->configurationVersion : 0;
}

std::vector<std::string> host_directory::entryHostsBehind(time_point now, std::uint64_t version) const
{
    std::vector<std::string> out = liveEntryHosts(now);
    std::erase_if(out, [&](const std::string& host) { return configurationVersionOf(host) >= version; });
    return out;
}

} // namespace jackdaw::hub
