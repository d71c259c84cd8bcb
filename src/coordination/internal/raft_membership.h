// Queries on memberships, and the rule for a valid membership change.
#pragma once

#include "protocol/raft_messages.h"

#include <cstddef>

namespace jackdaw::coordination {

bool isVoter(const protocol::raft_membership& membership, const protocol::raft_member_id& member);
bool isLearner(const protocol::raft_membership& membership, const protocol::raft_member_id& member);

// The number of voters in a majority.
inline std::size_t majorityOf(const protocol::raft_membership& membership)
{
    return membership.voters.size() / 2 + 1;
}

// Returns a voter of wanted that is not a voter in current; nullptr if there is none.
const protocol::raft_member_id* addedVoter(const protocol::raft_membership& current, const protocol::raft_membership& wanted);

// True if wanted has at least one voter, adds or removes at most one, has each host at most once among its voters, has no
// member that is both voter and learner, and any added voter is a learner in current.
bool isAllowedChange(const protocol::raft_membership& current, const protocol::raft_membership& wanted);

} // namespace jackdaw::coordination
