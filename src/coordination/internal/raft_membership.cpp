// Checks of memberships and membership changes.
#include "coordination/internal/raft_membership.h"

#include <algorithm>

namespace jackdaw::coordination {

using protocol::raft_member_id;
using protocol::raft_membership;

bool isVoter(const raft_membership& membership, const raft_member_id& member)
{
    return std::ranges::find(membership.voters, member) != membership.voters.end();
}

bool isLearner(const raft_membership& membership, const raft_member_id& member)
{
    return std::ranges::find(membership.learners, member) != membership.learners.end();
}

const raft_member_id* addedVoter(const raft_membership& current, const raft_membership& wanted)
{
    for (const raft_member_id& voter : wanted.voters) {
        if (!isVoter(current, voter))
            return &voter;
    }
    return nullptr;
}

bool isAllowedChange(const raft_membership& current, const raft_membership& wanted)
{
    if (wanted.voters.empty())
        return false;
    for (const raft_member_id& voter : wanted.voters) {
        const bool isUnique = std::ranges::count(wanted.voters, voter.host, &raft_member_id::host) == 1;
        if (!isUnique || isLearner(wanted, voter))
            return false;
    }
    const auto isNewIn = [](const raft_membership& membership) {
        return [&membership](const raft_member_id& voter) { return !isVoter(membership, voter); };
    };
    const auto added = std::ranges::count_if(wanted.voters, isNewIn(current));
    const auto removed = std::ranges::count_if(current.voters, isNewIn(wanted));
    if (added + removed > 1)
        return false;
    return added == 0 || isLearner(current, *addedVoter(current, wanted));
}

} // namespace jackdaw::coordination
