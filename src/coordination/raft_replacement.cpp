// Replacement order: add a learner, remove the lost incarnation, promote the learner.
#include "coordination/raft_replacement.h"

#include "coordination/internal/raft_membership.h"

#include <algorithm>

namespace jackdaw::coordination {
namespace {

    using protocol::raft_member_id;
    using protocol::raft_membership;

    raft_membership withLearner(raft_membership membership, const raft_member_id& member)
    {
        std::erase_if(membership.learners, [&](const raft_member_id& learner) { return learner.host == member.host; });
        membership.learners.push_back(member);
        return membership;
    }

    raft_membership promoted(raft_membership membership, const raft_member_id& member)
    {
        std::erase(membership.learners, member);
        membership.voters.push_back(member);
        return membership;
    }

} // namespace

std::optional<raft_membership> planReplacement(const raft_membership& current, std::span<const raft_member_id> live,
    std::size_t minVoters, const raft_member_predicate& isCaughtUp)
{
    for (const raft_member_id& member : live) {
        if (isVoter(current, member))
            continue;
        if (!isLearner(current, member))
            return withLearner(current, member);
        if (!isCaughtUp(member))
            continue;
        const auto lost = std::ranges::find(current.voters, member.host, &raft_member_id::host);
        if (lost == current.voters.end())
            return promoted(current, member);
        if (current.voters.size() <= minVoters)
            continue;
        raft_membership reduced = current;
        std::erase(reduced.voters, raft_member_id(*lost));
        return reduced;
    }
    return std::nullopt;
}

std::optional<raft_membership> planRemoval(const raft_membership& current, std::size_t wantedVoters, const raft_member_predicate& isSilent)
{
    if (current.voters.size() <= wantedVoters)
        return std::nullopt;
    const auto silent = std::ranges::find_if(current.voters, isSilent);
    if (silent == current.voters.end())
        return std::nullopt;
    raft_membership reduced = current;
    std::erase(reduced.voters, raft_member_id(*silent));
    return reduced;
}

} // namespace jackdaw::coordination
