// Founding, joining and leaving of generations, replacement of restarted voters, and processing of the Raft member's output.
#include "coordination/internal/claim_group.h"

#include "coordination/internal/raft_membership.h"
#include "coordination/raft_replacement.h"

#include <algorithm>

namespace jackdaw::coordination {

using protocol::claim_bootstrap;
using protocol::claim_generation;
using protocol::claim_hello;
using protocol::claim_raft_message;

namespace {

    constexpr int availableHelloIntervals = 4; // a peer counts as alive for this many hello intervals after its last hello

    std::size_t majority(std::size_t members)
    {
        return members / 2 + 1;
    }

} // namespace

claim_group::claim_group(claim_group_settings settings, claim_group_hooks hooks, time_point now)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_random(m_settings.seed)
    , m_now(now)
    , m_self { m_settings.host, m_settings.incarnation }
    , m_leaderKnownAt(now)
    , m_nextHello(now)
{
}

bool claim_group::isVoterHost() const
{
    return std::ranges::find(m_settings.voters, m_settings.host) != m_settings.voters.end();
}

// The smallest number of voters whose majority intersects every set of founders: then a generation has lost its quorum before
// another one can be founded.
std::size_t claim_group::minVoters() const
{
    const std::size_t hosts = m_settings.voters.size();
    std::size_t voters = 1;
    while (majority(voters) + std::max(majority(hosts), voters) <= hosts)
        ++voters;
    return voters;
}

std::size_t claim_group::minFounders() const
{
    return std::max(majority(m_settings.voters.size()), minVoters());
}

std::optional<std::string> claim_group::leaderHost() const
{
    if (!m_node || !m_node->leader())
        return std::nullopt;
    return m_node->leader()->host;
}

// Hosts without a leader find each other by hellos. Members with a leader send hellos only in reply to hosts outside their
// generation.

void claim_group::sendHello(const std::string& host, bool wantsReply)
{
    m_hooks.send(host, claim_hello { m_self.incarnation, m_generation, wantsReply });
}

void claim_group::broadcastHello()
{
    for (const std::string& host : m_settings.voters) {
        if (host != m_settings.host)
            sendHello(host, true);
    }
}

void claim_group::step(time_point now, const std::string& from, const claim_hello& hello)
{
    m_now = now;
    if (!isVoterHost() || std::ranges::find(m_settings.voters, from) == m_settings.voters.end())
        return;
    if (m_leaving == leave_phase::requested && m_generation && hello.generation == m_generation && !hello.wantsReply)
        finishLeaving();
    if (hasLeft())
        return;
    m_peers[from] = { hello.incarnation, hello.generation, now };
    if (hello.wantsReply && m_generation && hello.generation != m_generation)
        sendHello(from, false);
    if (isLeader())
        maintainMembership();
    processReady();
}

// Generations

// Only a host that is in no generation may join, and only under an incarnation that never was in one.
void claim_group::joinGeneration(const claim_generation& generation, const std::vector<raft_member_id>& voters)
{
    raft_settings settings;
    settings.self = m_self;
    settings.seed = m_random();
    settings.heartbeat = m_settings.heartbeat;
    settings.minElectionTimeout = m_settings.minElectionTimeout;
    settings.maxElectionTimeout = m_settings.maxElectionTimeout;
    raft_initial_state initial;
    if (!voters.empty()) {
        // Equivalent to a leader of term 1 that replicated this entry to all founders; a later leader replicates it to the
        // other members.
        initial.hardState.term = 1;
        initial.entries.push_back({ 1, 1, raft_entry_kind::membership, {}, { voters, {} } });
    }
    m_generation = generation;
    m_node.emplace(std::move(settings), std::move(initial), m_now);
    m_leaderKnownAt = m_now;
    m_lastLeadingTerm = 0;
}

// Has the effect of a restart: no message is sent under the old incarnation again.
void claim_group::leaveGeneration()
{
    m_generation.reset();
    m_node.reset();
    m_founders.clear();
    ++m_self.incarnation;
    m_applied = 0;
    m_logBytes = 0;
    m_leaderKnownAt = m_now + duration(std::uniform_int_distribution<duration::rep>(0, m_settings.helloInterval.count())(m_random));
    m_nextHello = m_now;
    m_hooks.reset();
}

// True if the peer sent a hello recently and was then in no generation.
bool claim_group::isAvailable(const known_peer& peer) const
{
    return !peer.generation && m_now - peer.lastHeard <= availableHelloIntervals * m_settings.helloInterval;
}

// Of the available hosts, the first by name founds a generation with all others that it hears from, if there are at least
// minFounders().
void claim_group::foundGeneration()
{
    std::vector<raft_member_id> voters { m_self };
    for (const auto& [host, peer] : m_peers) {
        if (isAvailable(peer) && host < m_settings.host)
            return;
        if (isAvailable(peer))
            voters.push_back({ host, peer.incarnation });
    }
    if (voters.size() < minFounders())
        return;
    joinGeneration(m_self, voters);
    m_founders = voters;
    sendFounding();
}

void claim_group::sendFounding()
{
    for (const raft_member_id& voter : m_founders) {
        if (voter != m_self)
            m_hooks.send(voter.host, claim_bootstrap { *m_generation, m_founders });
    }
}

void claim_group::step(time_point now, const std::string& /*from*/, const claim_bootstrap& founding)
{
    m_now = now;
    const bool isNamed = std::ranges::find(founding.voters, m_self) != founding.voters.end();
    if (!m_generation && isNamed && m_leaving == leave_phase::none)
        joinGeneration(founding.generation, founding.voters);
    processReady();
}

void claim_group::step(time_point now, const std::string& /*from*/, const claim_raft_message& raft)
{
    m_now = now;
    const bool isToSelf = raft.message.to == m_self && isVoterHost();
    if (!m_generation && isToSelf && m_leaving == leave_phase::none)
        joinGeneration(raft.generation, {});
    if (m_generation != raft.generation || !isToSelf)
        return;
    // A leader receives timeout_now_request in its own term only from a voter that asks to be removed.
    if (isLeader() && std::holds_alternative<protocol::timeout_now_request>(raft.message.body))
        removeVoter(raft.message.from);
    m_node->step(now, raft.message);
    processReady();
}

// Timers

void claim_group::advance(time_point now)
{
    m_now = now;
    if (!isVoterHost() || hasLeft())
        return;
    if (m_node)
        m_node->advance(now);
    processReady();
    if (m_leaving == leave_phase::requested && now >= m_nextHello) {
        continueLeaving();
        m_nextHello = now + m_settings.helloInterval;
        return;
    }
    if (now >= m_nextHello) {
        if (isLeader())
            maintainMembership();
        else if (!leaderHost())
            advanceLeaderless();
        m_nextHello = now + m_settings.helloInterval;
    }
    processReady();
}

void claim_group::advanceLeaderless()
{
    broadcastHello();
    if (m_generation && shouldAbandonGeneration())
        leaveGeneration();
    if (m_generation)
        sendFounding();
    else if (m_now - m_leaderKnownAt >= m_settings.foundingDelay)
        foundGeneration();
}

// True if the generation is unlikely to get a leader that serves this host. After formationTimeout without a leader: if this
// host knows of no committed entry, is not a voter, or the voters that did not restart are no majority. After abandonDelay:
// also if any voter restarted. Leaving is safe at any time, as a restart is.
bool claim_group::shouldAbandonGeneration() const
{
    const duration leaderless = m_now - m_leaderKnownAt;
    if (leaderless < m_settings.formationTimeout)
        return false;
    const raft_membership& membership = m_node->membership();
    if (m_node->commitIndex() == 0 || !isVoter(membership, m_self))
        return true;
    const auto restarted = static_cast<std::size_t>(std::ranges::count_if(membership.voters, [this](const raft_member_id& voter) {
        const auto found = m_peers.find(voter.host);
        return found != m_peers.end() && found->second.incarnation != voter.incarnation && found->second.generation != m_generation;
    }));
    if (membership.voters.size() - restarted < majorityOf(membership))
        return true;
    return restarted > 0 && leaderless >= m_settings.abandonDelay;
}

time_point claim_group::nextTimer() const
{
    if (!isVoterHost() || hasLeft())
        return time_point::max();
    const time_point hello = leaderHost() && m_leaving == leave_phase::none && !isLeader() ? time_point::max() : m_nextHello;
    return m_node ? std::min(hello, m_node->nextTimer()) : hello;
}

// Replacement of restarted voters by the leader

bool claim_group::isLearnerUnreachable(const raft_member_id& learner) const
{
    const auto found = m_peers.find(learner.host);
    const bool isHeard = found != m_peers.end() && found->second.incarnation == learner.incarnation && isAvailable(found->second);
    return !isHeard && !m_node->isReachable(m_now, learner);
}

std::vector<raft_member_id> claim_group::liveMembers() const
{
    std::vector<raft_member_id> live;
    for (const auto& [host, peer] : m_peers) {
        if (isAvailable(peer))
            live.push_back({ host, peer.incarnation });
    }
    for (const raft_member_id& learner : m_node->membership().learners) {
        if (std::ranges::find(live, learner.host, &raft_member_id::host) == live.end() && !isLearnerUnreachable(learner))
            live.push_back(learner);
    }
    return live;
}

void claim_group::maintainMembership()
{
    const raft_membership& current = m_node->membership();
    auto plan = planReplacement(current, liveMembers(), minVoters(),
        [this](const raft_member_id& member) { return m_node->isCaughtUp(m_now, member); });
    const auto isLost = [this](const raft_member_id& learner) { return isLearnerUnreachable(learner); };
    if (!plan && std::ranges::any_of(current.learners, isLost)) {
        plan = current;
        std::erase_if(plan->learners, isLost);
    }
    if (plan)
        m_node->proposeMembership(m_now, *plan);
}

// Leaving at a planned stop

void claim_group::startLeaving(time_point now)
{
    m_now = now;
    if (m_leaving != leave_phase::none)
        return;
    m_leaving = leave_phase::requested;
    m_nextHello = now;
    continueLeaving();
}

void claim_group::continueLeaving()
{
    if (!m_node || (isLeader() && m_node->membership().voters.size() == 1))
        return finishLeaving();
    if (isLeader())
        return transferLeadership(m_now);
    const std::optional<raft_member_id> leader = m_node->leader();
    if (leader)
        m_hooks.send(leader->host, claim_raft_message { *m_generation, { m_self, *leader, m_node->term(), protocol::timeout_now_request {} } });
}

void claim_group::finishLeaving()
{
    m_leaving = leave_phase::left;
    leaveGeneration();
}

// Never goes below minVoters(): with fewer voters, the hosts that left could return and found a second generation.
void claim_group::removeVoter(const raft_member_id& voter)
{
    raft_membership wanted = m_node->membership();
    if (!isVoter(wanted, voter)) {
        if (m_node->commitIndex() == m_node->lastIndex())
            sendHello(voter.host, false);
        return;
    }
    if (wanted.voters.size() <= minVoters())
        return;
    std::erase(wanted.voters, voter);
    m_peers.erase(voter.host);
    m_node->proposeMembership(m_now, wanted);
}

// The Raft member

void claim_group::propose(time_point now, std::string command)
{
    m_now = now;
    if (m_node)
        m_node->propose(now, std::move(command));
    processReady();
}

void claim_group::transferLeadership(time_point now)
{
    m_now = now;
    if (m_node)
        m_node->transferLeadership(now);
    processReady();
}

void claim_group::processReady()
{
    if (!m_node)
        return;
    if (m_node->leader())
        m_leaderKnownAt = m_now;
    raft_ready ready = m_node->takeReady();
    for (raft_message& message : ready.messages) {
        const std::string host = message.to.host;
        m_hooks.send(host, claim_raft_message { *m_generation, std::move(message) });
    }
    if (ready.snapshot) {
        m_hooks.restore(ready.snapshot->data);
        m_applied = ready.snapshot->index;
        m_logBytes = 0;
    }
    for (const raft_entry& entry : ready.committed)
        apply(entry);
    if (ready.wantsSnapshot)
        m_node->compact(m_applied, m_hooks.snapshot());
    if (!m_founders.empty() && m_node->commitIndex() > 0)
        m_founders.clear();
    if (isLeader() && m_lastLeadingTerm != m_node->term()) {
        m_lastLeadingTerm = m_node->term();
        m_nextHello = m_now;
        m_hooks.leaderElected();
    }
}

// Compacts without snapshot data, which is serialized only when a member needs it.
void claim_group::apply(const raft_entry& entry)
{
    if (entry.kind == raft_entry_kind::command)
        m_hooks.apply(entry.data);
    m_applied = entry.index;
    m_logBytes += entry.data.size();
    if (m_logBytes < m_settings.maxLogBytes)
        return;
    m_logBytes = 0;
    m_node->compactLazily(entry.index);
}

} // namespace jackdaw::coordination
