// Compares the state of a control member with the state that was logged last.
#include "apps/control/group_log.h"

#include "state/log.h"

namespace jackdaw::control {

using coordination::raft_member_id;
using coordination::raft_role;
using state::log_level;
using state::logEvent;

std::string toText(std::span<const raft_member_id> members)
{
    std::string out;
    for (const raft_member_id& member : members)
        out += (out.empty() ? "" : " ") + member.host + '/' + std::to_string(member.incarnation);
    return out;
}

void group_log::update(const control_node_status& status)
{
    logStorage(status);
    if (status.membership != m_logged.membership)
        logEvent(log_level::info, "membership_changed", { { "voters", toText(status.membership.voters) }, { "learners", toText(status.membership.learners) }, { "commit", std::to_string(status.commitIndex) } });
    logElection(status);
    logLeadership(status);
    m_logged = status;
}

void group_log::logStorage(const control_node_status& status) const
{
    if (status.storageFailure == m_logged.storageFailure)
        return;
    const bool isWorking = status.storageFailure.empty();
    logEvent(isWorking ? log_level::info : log_level::error, isWorking ? "storage_reopened" : "storage_failed", { { "reason", status.storageFailure } });
}

// The election that was logged last has ended when the next one starts.
void group_log::logElection(const control_node_status& status) const
{
    const coordination::raft_election& ended = m_logged.lastElection;
    if (status.lastElection.number == ended.number || m_logged.role != raft_role::candidate)
        return;
    const bool isWon = ended.isPreVote && !status.lastElection.isPreVote;
    if (!isWon)
        logEvent(log_level::warning, "election_failed", { { "term", std::to_string(m_logged.term) }, { "pre_vote", ended.isPreVote ? "yes" : "no" }, { "voters", toText(m_logged.membership.voters) }, { "granted", toText(ended.granted) }, { "refused", toText(ended.refused) } });
}

void group_log::logLeadership(const control_node_status& status) const
{
    const bool isLeader = status.role == raft_role::leader;
    if (isLeader != (m_logged.role == raft_role::leader))
        logEvent(log_level::info, isLeader ? "leadership_won" : "leadership_ended", { { "term", std::to_string(status.term) }, { "voters", std::to_string(status.membership.voters.size()) }, { "discounted", status.discountedVoter ? toText({ &*status.discountedVoter, 1 }) : "" } });
    else if (status.leader != m_logged.leader)
        logEvent(log_level::info, "leader_changed", { { "leader", status.leader ? status.leader->host : "none" }, { "term", std::to_string(status.term) } });
}

} // namespace jackdaw::control
