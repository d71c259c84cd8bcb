// One copy is asked for at a time, and no copy of what the leader may still be sending.
#include "coordination/cells/configuration_requests.h"

#include <algorithm>

namespace jackdaw::cells {
namespace {

    constexpr protocol::duration copyTime = std::chrono::milliseconds(300); // twice what 300 KB take on a link of 19 Mbit/s

} // namespace

std::string configuration_requests::nextControlHost(protocol::time_point now, const std::set<std::string>& controlHosts)
{
    if (controlHosts.empty())
        return {};
    m_askedAt = now;
    auto next = controlHosts.upper_bound(m_lastControlHost);
    if (next == controlHosts.end())
        next = controlHosts.begin();
    m_lastControlHost = *next;
    return m_lastControlHost;
}

bool configuration_requests::isPullDue(protocol::time_point now, std::uint64_t ownVersion, std::uint64_t heardVersion)
{
    if (heardVersion <= ownVersion)
        return false;
    // The wait begins with the first version that is missing: a newer one must not prolong it.
    if (m_newestHeard <= ownVersion)
        m_behindSince = now;
    m_newestHeard = std::max(m_newestHeard, heardVersion);
    if (now - m_behindSince < copyTime || now - m_askedAt < copyTime)
        return false;
    m_askedAt = now;
    return true;
}

} // namespace jackdaw::cells
