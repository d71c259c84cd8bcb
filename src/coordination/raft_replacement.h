// Plans how returned incarnations of a group's hosts become voters again, one membership change at a time.
#pragma once

#include "protocol/raft_messages.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <span>

namespace jackdaw::coordination {

using raft_member_predicate = std::function<bool(const protocol::raft_member_id& member)>;

// The next membership to propose, or std::nullopt when each live member is a voter or still catching up. A live member
// becomes a learner first; once it has caught up, the lost incarnation of its host leaves the voters, as long as minVoters
// are left; then it is promoted.
std::optional<protocol::raft_membership> planReplacement(const protocol::raft_membership& current,
    std::span<const protocol::raft_member_id> live, std::size_t minVoters, const raft_member_predicate& isCaughtUp);

// The membership without a voter that is not live, when there are more voters than wanted: a host that was replaced by one at
// another address must not count towards majorities any more. std::nullopt when there is none to remove.
std::optional<protocol::raft_membership> planRemoval(const protocol::raft_membership& current,
    std::span<const protocol::raft_member_id> live, std::size_t wantedVoters);

} // namespace jackdaw::coordination
