// The order and the time limits of a planned stop.
#include "apps/control/planned_stop.h"

#include "apps/control/group_log.h"
#include "state/log.h"

#include <algorithm>
#include <utility>

namespace jackdaw::control {

using state::log_level;
using state::logEvent;

namespace {

    constexpr duration leaderTransferTime = std::chrono::milliseconds(500); // time that a stopping leader leaves for the transfer
    constexpr duration maxRemovalTime = std::chrono::seconds(1); // the longest election, 600 ms, and the commit of the removal
    constexpr duration maxRequestTime = std::chrono::seconds(2); // an operator's change is answered within 900 ms
    constexpr duration maxCountedTime = 2 * planned_stop::checkInterval; // of the time between two checks: in a stall no request is read

} // namespace

planned_stop::planned_stop(control_node& node, time_point now)
    : m_node(node)
    , m_transferEnd(now)
    , m_checkedAt(now)
{
    const bool isLeader = node.status().role == coordination::raft_role::leader;
    logEvent(log_level::info, "stopping", { { "leader", isLeader ? "yes" : "no" }, { "voters", toText(node.membership().voters) } });
    if (isLeader)
        m_transferEnd += leaderTransferTime;
    node.transferLeadership(now);
    leaveGroup(now);
}

bool planned_stop::mayEnd(time_point now, const std::function<bool()>& hasNoRequest)
{
    leaveGroup(now);
    const duration sinceCheck = now - std::exchange(m_checkedAt, now);
    if (now < m_transferEnd || m_isLeaving)
        return false;
    m_requestTime += std::min(sinceCheck, maxCountedTime);
    return !hasNoRequest || hasNoRequest() || m_requestTime >= maxRequestTime;
}

void planned_stop::leaveGroup(time_point now)
{
    const bool wasLeaving = m_isLeaving;
    const bool isOverdue = now >= m_transferEnd + maxRemovalTime;
    m_isLeaving = !isOverdue && m_node.requestRemoval();
    m_hasAskedToLeave = m_hasAskedToLeave || m_isLeaving;
    if (wasLeaving && !m_isLeaving)
        logEvent(isOverdue ? log_level::warning : log_level::info, "group_left", { { "removed", isOverdue ? "no" : "yes" }, { "voters", toText(m_node.membership().voters) } });
}

} // namespace jackdaw::control
