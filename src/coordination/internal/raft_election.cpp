// Terms, votes and leadership transfer.
#include "coordination/internal/raft_node_impl.h"

#include <algorithm>

namespace jackdaw::coordination {

void raft_node::impl::resetElectionDeadline()
{
    std::uniform_int_distribution<duration::rep> wait(settings.minElectionTimeout.count(), settings.maxElectionTimeout.count());
    electionDeadline = now + duration(wait(random));
}

void raft_node::impl::becomeFollower(std::uint64_t term, std::optional<raft_member_id> newLeader)
{
    if (term > hardState.term)
        hardState = { term, std::nullopt };
    if (isLeader || phase != vote_phase::none || newLeader != leader)
        resetElectionDeadline();
    isLeader = false;
    phase = vote_phase::none;
    votes.clear();
    peers.clear();
    transferTarget.reset();
    discounted.reset();
    leader = std::move(newLeader);
}

void raft_node::impl::onElectionTimeout()
{
    if (isSelfVoter())
        campaign(vote_phase::pre_vote, false);
    else
        leader.reset();
}

void raft_node::impl::campaign(vote_phase newPhase, bool isTransfer)
{
    becomeFollower(hardState.term, std::nullopt);
    resetElectionDeadline();
    phase = newPhase;
    // Chosen here, so that all votes and acknowledgements of the term are given after that voter ended.
    discounted = quorum().voterToDiscount(ended);
    lastElection = { lastElection.number + 1, phase == vote_phase::pre_vote, {}, {} };
    if (phase == vote_phase::vote)
        hardState = { hardState.term + 1, settings.self };
    const bool isPreVote = phase == vote_phase::pre_vote;
    const vote_request request { isPreVote, isTransfer, log.lastIndex(), log.lastTerm() };
    for (const raft_member_id& voter : quorum().voters()) {
        if (voter != settings.self)
            send(voter, request, hardState.term + (isPreVote ? 1 : 0));
    }
    countVote(settings.self);
}

void raft_node::impl::countVote(const raft_member_id& voter)
{
    if (votes.insert(voter).second)
        lastElection.granted.push_back(voter);
    if (!quorum().isReached([this](const raft_member_id& member) { return votes.contains(member); }, discounted))
        return;
    if (phase == vote_phase::pre_vote)
        campaign(vote_phase::vote, false);
    else
        becomeLeader();
}

void raft_node::impl::becomeLeader()
{
    phase = vote_phase::none;
    votes.clear();
    isLeader = true;
    leader = settings.self;
    quorumCheckAt = now + settings.minElectionTimeout;
    termStartIndex = log.lastIndex() + 1;
    updatePeers();
    appendAsLeader({ 0, 0, raft_entry_kind::noop, {}, {} });
}

bool raft_node::impl::hasRecentLeaderContact() const
{
    return isLeader || (leader && now - leaderContact < settings.minElectionTimeout);
}

bool raft_node::impl::isUpToDate(const vote_request& request) const
{
    return std::pair(request.lastTerm, request.lastIndex) >= std::pair(log.lastTerm(), log.lastIndex());
}

void raft_node::impl::handle(const raft_message& message, const vote_request& request)
{
    if (request.preVote) {
        const bool granted = message.term > hardState.term && isUpToDate(request);
        send(message.from, vote_reply { true, granted }, granted ? message.term : hardState.term);
        return;
    }
    const bool isVoteAvailable = !hardState.votedFor || hardState.votedFor == message.from;
    const bool granted = isVoteAvailable && !isLeader && isUpToDate(request);
    if (granted) {
        hardState.votedFor = message.from;
        resetElectionDeadline();
    }
    send(message.from, vote_reply { false, granted }, hardState.term);
}

void raft_node::impl::handle(const raft_message& message, const vote_reply& reply)
{
    const vote_phase expectedPhase = reply.preVote ? vote_phase::pre_vote : vote_phase::vote;
    const std::uint64_t expectedTerm = hardState.term + (reply.preVote ? 1 : 0);
    if (reply.granted && phase == expectedPhase && message.term == expectedTerm)
        countVote(message.from);
}

void raft_node::impl::handle(const raft_message& /*message*/, const timeout_now_request& /*request*/)
{
    if (isSelfVoter() && !isLeader)
        campaign(vote_phase::vote, true);
}

void raft_node::impl::startTransfer()
{
    if (!isLeader || transferTarget)
        return;
    std::uint64_t best = 0;
    for (const raft_member_id& voter : log.membership().voters) {
        if (voter == settings.self || !isReachable(voter) || (transferTarget && peers[voter].match <= best))
            continue;
        best = peers[voter].match;
        transferTarget = voter;
    }
    transferDeadline = now + settings.maxElectionTimeout;
    continueTransfer();
}

void raft_node::impl::continueTransfer()
{
    if (transferTarget && peers[*transferTarget].match == log.lastIndex())
        send(*transferTarget, timeout_now_request {}, hardState.term);
}

void raft_node::impl::replyToStaleTerm(const raft_message& message)
{
    const auto* request = std::get_if<vote_request>(&message.body);
    if (request && request->preVote)
        send(message.from, vote_reply { true, false }, hardState.term);
    if (std::holds_alternative<append_request>(message.body) || std::holds_alternative<snapshot_request>(message.body))
        send(message.from, append_reply { false, 0, 0 }, hardState.term);
}

bool raft_node::impl::adoptTerm(const raft_message& message)
{
    const auto* request = std::get_if<vote_request>(&message.body);
    if (request && !request->leadershipTransfer && hasRecentLeaderContact())
        return false;
    const auto* reply = std::get_if<vote_reply>(&message.body);
    const bool isPreVoteExchange = (request && request->preVote) || (reply && reply->preVote && reply->granted);
    if (!isPreVoteExchange)
        becomeFollower(message.term, std::nullopt);
    return true;
}

} // namespace jackdaw::coordination
