// Live members of the control group.
#include "apps/control/heard_members.h"

#include <algorithm>

namespace jackdaw::control {
namespace {

    constexpr std::size_t maxReplacedIncarnations = 16; // of one host

} // namespace

heard_members::heard_members(protocol::duration silenceLimit, protocol::time_point listeningSince)
    : m_silenceLimit(silenceLimit)
    , m_listeningSince(listeningSince)
{
}

void heard_members::hear(protocol::time_point now, const protocol::raft_member_id& member)
{
    const auto [found, isNewHost] = m_hosts.try_emplace(member.host);
    heard_host& host = found->second;
    if (!isNewHost && host.incarnation != member.incarnation) {
        if (std::find(host.replaced.begin(), host.replaced.end(), member.incarnation) != host.replaced.end())
            return;
        host.replaced.push_back(host.incarnation);
        if (host.replaced.size() > maxReplacedIncarnations)
            host.replaced.pop_front();
    }
    host.incarnation = member.incarnation;
    host.heardAt = now;
    host.isStopping = false;
}

bool heard_members::hearStopping(const protocol::raft_member_id& member)
{
    const auto [found, isNewHost] = m_hosts.try_emplace(member.host);
    heard_host& host = found->second;
    if (isNewHost)
        host.incarnation = member.incarnation;
    if (host.incarnation != member.incarnation || host.isStopping)
        return false;
    host.isStopping = true;
    return true;
}

std::vector<protocol::raft_member_id> heard_members::live(protocol::time_point now) const
{
    std::vector<protocol::raft_member_id> out;
    for (const auto& [name, host] : m_hosts) {
        if (!host.isStopping && now - host.heardAt <= m_silenceLimit)
            out.push_back({ name, host.incarnation });
    }
    return out;
}

bool heard_members::isSilent(protocol::time_point now, const protocol::raft_member_id& member) const
{
    const auto found = m_hosts.find(member.host);
    if (found == m_hosts.end())
        return now - m_listeningSince > m_silenceLimit;
    return found->second.incarnation != member.incarnation || found->second.isStopping || now - found->second.heardAt > m_silenceLimit;
}

} // namespace jackdaw::control
