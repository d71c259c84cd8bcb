// Event handling and public interface of raft_node.
#include "coordination/internal/raft_node_impl.h"

#include <algorithm>
#include <utility>

namespace jackdaw::coordination {

void raft_node::impl::step(const raft_message& message)
{
    if (message.to != settings.self)
        return answerForEndedIncarnation(message);
    if (const auto* answer = std::get_if<incarnation_ended>(&message.body))
        return handle(message, *answer); // whatever its term, which says nothing
    // Recorded whatever its term: a voter refuses with its own one.
    if (const auto* reply = std::get_if<vote_reply>(&message.body); reply && !reply->granted && phase != vote_phase::none)
        lastElection.refused.push_back(message.from);
    if (message.term < hardState.term)
        replyToStaleTerm(message);
    else if (message.term == hardState.term || adoptTerm(message))
        std::visit([&](const auto& body) { handle(message, body); }, message.body);
}

// A host runs one incarnation at a time. The addressee existed before this host answers as another one, so it has ended.
void raft_node::impl::answerForEndedIncarnation(const raft_message& message)
{
    const bool isRequest = std::holds_alternative<vote_request>(message.body) || std::holds_alternative<append_request>(message.body)
        || std::holds_alternative<snapshot_request>(message.body);
    if (settings.discountsEndedVoters && isRequest && message.to.host == settings.self.host)
        send(message.from, incarnation_ended { message.to.incarnation }, 0);
}

void raft_node::impl::handle(const raft_message& message, const incarnation_ended& answer)
{
    std::erase_if(ended, [this](const raft_member_id& known) { return !isVoter(log.membership(), known) && !isVoter(log.previousMembership(), known); });
    if (settings.discountsEndedVoters)
        ended.insert({ message.from.host, answer.incarnation });
}

raft_ready raft_node::impl::takeReady()
{
    if (isLeader) {
        for (auto& [member, progress] : peers)
            flush(member, progress);
    }
    raft_ready ready;
    if (hardState != storedHardState) {
        ready.hardState = hardState;
        storedHardState = hardState;
    }
    ready.snapshot = log.takeUnstoredSnapshot();
    ready.entries = log.takeUnstored();
    ready.messages = std::exchange(outbox, {});
    while (applied < commit)
        ready.committed.push_back(log.at(++applied));
    ready.wantsSnapshot = std::exchange(wantsSnapshot, false);
    return ready;
}

raft_node::raft_node(raft_settings settings, raft_initial_state initial, time_point now)
    : m_impl(std::make_unique<impl>(std::move(settings), std::move(initial), now))
{
}

raft_node::~raft_node() = default;

void raft_node::step(time_point now, const raft_message& message)
{
    m_impl->now = now;
    m_impl->step(message);
}

void raft_node::advance(time_point now)
{
    m_impl->now = now;
    if (m_impl->isLeader)
        m_impl->advanceLeader();
    else if (now >= m_impl->electionDeadline)
        m_impl->onElectionTimeout();
}

time_point raft_node::nextTimer() const
{
    return m_impl->nextTimer();
}

std::optional<raft_proposal> raft_node::propose(time_point now, std::string command)
{
    m_impl->now = now;
    if (!m_impl->isLeader || m_impl->transferTarget)
        return std::nullopt;
    return m_impl->appendAsLeader({ 0, 0, raft_entry_kind::command, std::move(command), {} });
}

std::optional<raft_proposal> raft_node::proposeMembership(time_point now, const raft_membership& wanted)
{
    m_impl->now = now;
    const raft_log& log = m_impl->log;
    const std::uint64_t settled = std::max(log.membershipIndex(), m_impl->termStartIndex);
    if (!m_impl->isLeader || m_impl->transferTarget || m_impl->commit < settled || !isAllowedChange(log.membership(), wanted))
        return std::nullopt;
    const raft_member_id* added = addedVoter(log.membership(), wanted);
    if (added && !m_impl->isCaughtUp(*added))
        return std::nullopt;
    return m_impl->appendAsLeader({ 0, 0, raft_entry_kind::membership, {}, wanted });
}

raft_ready raft_node::takeReady()
{
    return m_impl->takeReady();
}

void raft_node::compact(std::uint64_t index, std::string data)
{
    raft_log& log = m_impl->log;
    const bool isNeeded = index > log.snapshot().index || (index == log.snapshot().index && log.isSnapshotDataMissing());
    if (isNeeded && index <= m_impl->applied)
        log.compact(index, std::move(data));
}

void raft_node::compactLazily(std::uint64_t index)
{
    if (index > m_impl->log.snapshot().index && index <= m_impl->applied)
        m_impl->log.compactLazily(index);
}

void raft_node::transferLeadership(time_point now)
{
    m_impl->now = now;
    m_impl->startTransfer();
}

raft_role raft_node::role() const
{
    if (m_impl->isLeader)
        return raft_role::leader;
    if (m_impl->phase != impl::vote_phase::none)
        return raft_role::candidate;
    return m_impl->isSelfVoter() ? raft_role::follower : raft_role::learner;
}

std::uint64_t raft_node::term() const
{
    return m_impl->hardState.term;
}

std::uint64_t raft_node::commitIndex() const
{
    return m_impl->commit;
}

std::uint64_t raft_node::lastIndex() const
{
    return m_impl->log.lastIndex();
}

std::optional<raft_member_id> raft_node::leader() const
{
    return m_impl->leader;
}

const raft_membership& raft_node::membership() const
{
    return m_impl->log.membership();
}

std::size_t raft_node::storedEntries() const
{
    return m_impl->log.size();
}

const raft_election& raft_node::lastElection() const
{
    return m_impl->lastElection;
}

std::vector<raft_member_id> raft_node::votersWithEntry(std::uint64_t index) const
{
    std::vector<raft_member_id> out;
    if (!m_impl->isLeader)
        return out;
    for (const raft_member_id& voter : m_impl->log.membership().voters) {
        const auto peer = m_impl->peers.find(voter);
        if (voter == m_impl->settings.self || (peer != m_impl->peers.end() && peer->second.match >= index))
            out.push_back(voter);
    }
    return out;
}

bool raft_node::isCaughtUp(time_point now, const raft_member_id& member) const
{
    m_impl->now = now;
    return m_impl->isLeader && m_impl->isCaughtUp(member);
}

bool raft_node::isSilent(time_point now, const raft_member_id& member, duration limit) const
{
    const auto peer = m_impl->peers.find(member);
    return m_impl->isLeader && peer != m_impl->peers.end() && now - peer->second.lastHeard > limit;
}

const std::optional<raft_member_id>& raft_node::discountedVoter() const
{
    return m_impl->discounted;
}

bool raft_node::isReachable(time_point now, const raft_member_id& member) const
{
    m_impl->now = now;
    return m_impl->isLeader && m_impl->isReachable(member);
}

} // namespace jackdaw::coordination
