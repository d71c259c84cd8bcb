// Voters of the memberships that count.
#include "coordination/internal/raft_quorum.h"

namespace jackdaw::coordination {

using protocol::raft_member_id;
using protocol::raft_membership;

bool raft_quorum::haveSameVoters(const raft_membership& left, const raft_membership& right)
{
    return std::ranges::is_permutation(left.voters, right.voters);
}

std::vector<raft_member_id> raft_quorum::voters() const
{
    std::vector<raft_member_id> out = m_latest.voters;
    if (needsPrevious()) {
        for (const raft_member_id& voter : m_previous.voters) {
            if (!isVoter(m_latest, voter))
                out.push_back(voter);
        }
    }
    return out;
}

std::optional<raft_member_id> raft_quorum::voterToDiscount(const std::set<raft_member_id>& ended) const
{
    const raft_membership& membership = m_isPending ? m_previous : m_latest;
    if (!canDiscountIn(membership))
        return std::nullopt;
    const auto found = std::ranges::find_if(membership.voters, [&](const raft_member_id& voter) { return ended.contains(voter); });
    return found == membership.voters.end() ? std::nullopt : std::optional(*found);
}

} // namespace jackdaw::coordination
