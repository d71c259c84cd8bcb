// Questions about memberships, and the rule for changing one.
#pragma once

#include "protocol/raft_messages.h"

#include <cstddef>

namespace jackdaw::coordination {

bool isVoter(const protocol::raft_membership& membership, const protocol::raft_member_id& member);
bool isLearner(const protocol::raft_membership& membership, const protocol::raft_member_id& member);

// Voters that make a majority.
inline std::size_t majorityOf(const protocol::raft_membership& membership)
{
    return membership.voters.size() / 2 + 1;
}

// The voter of wanted that current does not have; nullptr if there is none.
const protocol::raft_member_id* addedVoter(const protocol::raft_membership& current, const protocol::raft_membership& wanted);

// At least one voter, at most one voter more or fewer than now, each host once among the voters, nobody voter and learner at
// once, and a new voter was a learner.
bool isAllowedChange(const protocol::raft_membership& current, const protocol::raft_membership& wanted);

} // namespace jackdaw::coordination
