// Plans membership changes that replace lost incarnations of a group's hosts, one change at a time.
#pragma once

#include "protocol/raft_messages.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <span>

namespace jackdaw::coordination {

using raft_member_predicate = std::function<bool(const protocol::raft_member_id& member)>;

// Returns the next membership to propose, or std::nullopt if none is due. A live member is added as a learner first. Once it
// has caught up, the lost incarnation of its host is removed from the voters, provided that minVoters remain; then the
// learner is promoted.
std::optional<protocol::raft_membership> planReplacement(const protocol::raft_membership& current,
    std::span<const protocol::raft_member_id> live, std::size_t minVoters, const raft_member_predicate& isCaughtUp);

// Returns the membership without one voter that is silent, if there are more voters than wanted: a host that was replaced
// by one at another address must no longer count towards majorities. std::nullopt if there is no such voter.
std::optional<protocol::raft_membership> planRemoval(const protocol::raft_membership& current, std::size_t wantedVoters,
    const raft_member_predicate& isSilent);

} // namespace jackdaw::coordination
