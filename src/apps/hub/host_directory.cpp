// Directory of hosts and upstreams.
#include "apps/hub/host_directory.h"

#include <algorithm>

namespace jackdaw::hub {
namespace {

    constexpr duration silenceLimit = std::chrono::seconds(5); // ten hellos
    constexpr duration repeatFor = std::chrono::seconds(3); // two reports of a leaving upstream come in it
    constexpr duration fullInterval = std::chrono::seconds(1); // hosts that a lost batch left unknown

} // namespace

host_directory::host_directory(std::string self)
    : m_self(std::move(self))
{
}

template <typename Hello>
bool host_directory::heard_hosts<Hello>::hear(time_point now, const Hello& hello)
{
    const auto [found, isNew] = byName.try_emplace(hello.host);
    const bool isBack = isNew || now - found->second.heardAt > silenceLimit || found->second.hello.incarnation != hello.incarnation;
    found->second = { hello, now };
    return isBack;
}

template <typename Hello>
std::vector<std::string> host_directory::heard_hosts<Hello>::live(time_point now) const
{
    std::vector<std::string> out;
    for (const auto& [name, host] : byName) {
        if (now - host.heardAt <= silenceLimit)
            out.push_back(name);
    }
    return out;
}

template <typename Hello>
const Hello* host_directory::heard_hosts<Hello>::find(std::string_view name) const
{
    const auto found = byName.find(name);
    return found == byName.end() ? nullptr : &found->second.hello;
}

bool host_directory::hearEntry(time_point now, const protocol::directory_request& hello)
{
    const bool isBack = m_entries.hear(now, hello);
    m_hasNewHosts = m_hasNewHosts || isBack;
    return isBack;
}

bool host_directory::hearControl(time_point now, const protocol::control_heartbeat& hello)
{
    const bool isBack = m_controls.hear(now, hello);
    m_hasNewHosts = m_hasNewHosts || isBack;
    return isBack;
}

bool host_directory::hearUpstream(time_point now, const protocol::upstream_report& report)
{
    const auto [found, isNew] = m_upstreams.try_emplace(report.id);
    heard_upstream& known = found->second;
    if (!isNew && !protocol::isNewer(report, known.report))
        return false;
    known = { report, now, false };
    return true;
}

void host_directory::forgetUpstream(std::string_view id)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    // Its last word: newer than the report before.
    ++found->second.report.sequence;
    found->second.report.isLeaving = true;
    found->second.isTold = false;
}

bool host_directory::hasNews(time_point now) const
{
    if (m_hasNewHosts || now - m_lastBatch >= fullInterval)
        return true;
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [](const auto& item) { return !item.second.isTold; });
}

protocol::directory_update host_directory::hostsOnly(time_point now) const
{
    protocol::directory_update update { liveEntries(now), liveControls(now), {} };
    update.controlHosts.push_back(m_self);
    return update;
}

protocol::directory_update host_directory::wholeUpdate(time_point now) const
{
    protocol::directory_update update = hostsOnly(now);
    for (const auto& [id, upstream] : m_upstreams) {
        if (now - upstream.heardAt <= silenceLimit)
            update.reports.push_back(upstream.report);
    }
    return update;
}

protocol::directory_update host_directory::takeBatch(time_point now)
{
    protocol::directory_update update = hostsOnly(now);
    for (auto& [id, upstream] : m_upstreams) {
        const bool isRepeated = upstream.report.isLeaving && now - upstream.heardAt <= repeatFor;
        if (!upstream.isTold || isRepeated)
            update.reports.push_back(upstream.report);
        upstream.isTold = true;
    }
    std::erase_if(m_upstreams, [now](const auto& item) { return now - item.second.heardAt > 2 * silenceLimit; });
    m_hasNewHosts = false;
    m_lastBatch = now;
    return update;
}

std::vector<std::string> host_directory::liveEntries(time_point now) const
{
    return m_entries.live(now);
}

std::vector<std::string> host_directory::liveControls(time_point now) const
{
    return m_controls.live(now);
}

std::string host_directory::operatorAddressOf(std::string_view controlHost) const
{
    const protocol::control_heartbeat* hello = m_controls.find(controlHost);
    return hello ? hello->operatorAddress : std::string();
}

std::uint64_t host_directory::versionOf(std::string_view entryHost) const
{
    const protocol::directory_request* hello = m_entries.find(entryHost);
    return hello ? hello->configurationVersion : 0;
}

} // namespace jackdaw::hub
