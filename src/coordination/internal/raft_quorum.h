// Which voters decide elections and commits: a majority, and in a group of an even number also half of the voters, if one of the
// others is known to have ended.
//
// In a group of 2n voters, any n of the 2n - 1 other than an ended voter X have a member in common with each majority (n + 1
// voters), and with any other n that leave out X. If n voters leave out X and n leave out Y, they have none in common only if
// the first contain Y and the second contain X. Both act only after the voter that they leave out has ended, so X and Y would
// each have acted after the other one's end, which is impossible. For this, a candidate knows of the end before it asks for
// votes, and discounts the same voter throughout its term.
//
// Majorities of the memberships before and after a change have a member in common as well, but n voters may have none in common
// with a majority of another membership. So voters are discounted only in a committed membership, and a change away from 2n
// voters needs a quorum of both memberships, as does each election on its basis until it is known to be committed.
#pragma once

#include "coordination/internal/raft_log.h"
#include "coordination/internal/raft_membership.h"

#include <algorithm>
#include <optional>
#include <set>
#include <vector>

namespace jackdaw::coordination {

class raft_quorum {
public:
    // The commit index is the one that this member knows of. Refers to the log.
    raft_quorum(const raft_log& log, std::uint64_t commit, bool discountsEndedVoters)
        : m_latest(log.membership())
        , m_previous(log.previousMembership())
        , m_discountsEndedVoters(discountsEndedVoters)
        , m_isPending(discountsEndedVoters && commit < log.membershipIndex() && !haveSameVoters(m_latest, m_previous))
    {
    }

    // The voters that elections and commits depend on.
    std::vector<protocol::raft_member_id> voters() const;
    bool hasVoter(const protocol::raft_member_id& member) const { return isVoter(m_latest, member) || (needsPrevious() && isVoter(m_previous, member)); }

    // One of the members that have ended, if the rest decides without it.
    std::optional<protocol::raft_member_id> voterToDiscount(const std::set<protocol::raft_member_id>& ended) const;

    // Whether the voters for which the predicate holds decide.
    template <typename Predicate>
    bool isReached(const Predicate& holds, const std::optional<protocol::raft_member_id>& discounted) const
    {
        if (!m_isPending)
            return isReachedIn(m_latest, holds, discounted);
        return isReachedIn(m_latest, holds, std::nullopt) && (!needsPrevious() || isReachedIn(m_previous, holds, discounted));
    }

private:
    // A pair of voters decides by itself only if none of the two has ended.
    static constexpr std::size_t minDiscountingVoters = 4;

    static bool haveSameVoters(const protocol::raft_membership& left, const protocol::raft_membership& right);
    bool needsPrevious() const { return m_isPending && canDiscountIn(m_previous); }
    bool canDiscountIn(const protocol::raft_membership& membership) const
    {
        return m_discountsEndedVoters && membership.voters.size() % 2 == 0 && membership.voters.size() >= minDiscountingVoters;
    }

    template <typename Predicate>
    bool isReachedIn(const protocol::raft_membership& membership, const Predicate& holds, const std::optional<protocol::raft_member_id>& discounted) const
    {
        const std::size_t wanted = majorityOf(membership);
        const auto counted = static_cast<std::size_t>(std::ranges::count_if(membership.voters, holds));
        if (counted >= wanted || !discounted || !canDiscountIn(membership) || !isVoter(membership, *discounted))
            return counted >= wanted;
        return counted - (holds(*discounted) ? 1 : 0) >= wanted - 1;
    }

    const protocol::raft_membership& m_latest;
    const protocol::raft_membership& m_previous;
    bool m_discountsEndedVoters;
    bool m_isPending; // the latest membership has other voters than the previous one, and is not known to be committed
};

} // namespace jackdaw::coordination
