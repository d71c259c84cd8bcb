// The simulated owners, which store, send and apply; the faults, chosen from a seed; and the checks.
#include "coordination/tests/raft_simulation.h"

#include "coordination/raft_replacement.h"

#include <algorithm>
#include <sstream>

namespace jackdaw::coordination::tests {

using namespace std::chrono_literals;

raft_simulation::raft_simulation(raft_simulation_settings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_link(m_settings.seed + 1)
    , m_now(1s)
    , m_nextFault(m_now + 2s)
    , m_nextProposal(m_now)
{
    m_hasFrequentFaults = happens(0.5);
    m_link.settings.loss = happens(0.5) ? 0.02 * static_cast<double>(randomBelow(8)) : 0;
    m_link.settings.duplication = happens(0.5) ? 0.05 : 0;
    m_link.settings.maxDelay = happens(0.3) ? 150ms : 3ms;
    raft_membership founders;
    for (std::size_t i = 0; i < m_settings.hosts; ++i)
        founders.voters.push_back({ "h" + std::to_string(i), m_nextIncarnation++ });
    for (const raft_member_id& id : founders.voters) {
        m_hosts.push_back({ id, { {}, { 0, 0, founders, {} }, {} }, nullptr, {}, 0 });
        start(m_hosts.back());
    }
}

raft_violation raft_simulation::run()
{
    const time_point healed = m_now + m_settings.faultyTime;
    while (m_violation == raft_violation::none && m_now < healed)
        runEvent();
    m_isFaulty = false;
    healAll();
    const time_point end = m_now + m_settings.healedTime;
    std::uint64_t before = 0;
    while (m_violation == raft_violation::none && m_now < end) {
        runEvent();
        if (m_now < end - 3s)
            before = m_committedCommands;
    }
    if (m_violation == raft_violation::none && m_committedCommands == before)
        fail(raft_violation::not_live);
    if (m_violation == raft_violation::none && !haveAllRejoined())
        fail(raft_violation::not_rejoined);
    return m_violation;
}

void raft_simulation::start(simulated_host& host)
{
    raft_settings settings;
    settings.self = host.id;
    settings.seed = m_random();
    settings.maxEntriesPerAppend = 4;
    settings.discountsEndedVoters = m_settings.discountsEndedVoters;
    host.state = {};
    host.applied = host.disk.snapshot.index;
    if (host.applied > 0)
        std::istringstream(host.disk.snapshot.data) >> host.state.commands >> host.state.hash;
    host.node = std::make_unique<raft_node>(settings, host.disk, m_now);
    processReady(host);
}

void raft_simulation::crash(simulated_host& host, bool losesDisk)
{
    host.node.reset();
    if (!losesDisk)
        return;
    host.disk = {};
    m_lostIncarnations.insert(host.id);
    if (!m_settings.mutation.keepsIncarnation)
        host.id.incarnation = m_nextIncarnation++;
}

raft_membership raft_simulation::newestMembership(const simulated_host& host) const
{
    if (host.node)
        return host.node->membership();
    const auto newest = std::find_if(host.disk.entries.rbegin(), host.disk.entries.rend(), [](const raft_entry& entry) { return entry.kind == raft_entry_kind::membership; });
    return newest == host.disk.entries.rend() ? host.disk.snapshot.membership : newest->membership;
}

// The group survives the loss if, by every host's membership, a majority of voters remains, or half of an even number. All hosts
// must be up, unless ended voters are discounted.
bool raft_simulation::canLoseDisk(const simulated_host& host) const
{
    return std::ranges::all_of(m_hosts, [&](const simulated_host& other) {
        const raft_membership membership = newestMembership(other);
        const auto kept = std::ranges::count_if(membership.voters, [&](const raft_member_id& voter) {
            const auto found = std::ranges::find(m_hosts, voter, &simulated_host::id);
            return found != m_hosts.end() && found->id != host.id;
        });
        if (!other.node && !m_settings.discountsEndedVoters)
            return false;
        const std::size_t missing = membership.voters.size() - static_cast<std::size_t>(kept);
        return 2 * missing < membership.voters.size() || (2 * missing == membership.voters.size() && canLoseHalf(other, membership));
    });
}

bool raft_simulation::canLoseHalf(const simulated_host& host, const raft_membership& membership) const
{
    const bool isPending = std::ranges::any_of(host.disk.entries, [&](const raft_entry& entry) { return entry.kind == raft_entry_kind::membership && entry.index > host.applied; });
    return m_settings.discountsEndedVoters && membership.voters.size() >= 4 && !isPending;
}

time_point raft_simulation::nextTimer() const
{
    time_point next = time_point::max();
    for (const simulated_host& host : m_hosts) {
        if (host.node)
            next = std::min(next, host.node->nextTimer());
    }
    return next;
}

void raft_simulation::runEvent()
{
    const time_point timer = nextTimer();
    const time_point next = std::min({ timer, m_link.nextDelivery(), m_nextProposal, m_nextFault });
    m_now = std::max(m_now, next);
    if (next == m_nextProposal)
        return propose();
    if (next == m_nextFault)
        return injectFault();
    if (next == m_link.nextDelivery()) {
        const auto delivery = m_link.takeDelivery();
        const auto host = std::ranges::find(m_hosts, delivery.to, [](const simulated_host& candidate) { return candidate.id.host; });
        if (!host->node)
            return;
        host->node->step(m_now, delivery.message);
        return processReady(*host);
    }
    for (simulated_host& host : m_hosts) {
        if (host.node && host.node->nextTimer() == timer) {
            host.node->advance(m_now);
            return processReady(host);
        }
    }
}

void raft_simulation::injectFault()
{
    m_nextFault = m_now + std::chrono::milliseconds(m_hasFrequentFaults ? 5 + randomBelow(150) : 50 + randomBelow(900));
    if (!m_isFaulty)
        return;
    simulated_host& host = m_hosts[randomBelow(m_hosts.size())];
    if (!host.node)
        return start(host);
    const std::size_t choice = randomBelow(10);
    if (choice < 3)
        return m_settings.discountsEndedVoters && happens(0.5) ? cutIntoHalves() : cutRandomLinks();
    if (choice < 4)
        return m_link.heal();
    if (choice < 5) {
        host.node->transferLeadership(m_now);
        return processReady(host);
    }
    const bool losesDisk = !m_settings.hasDisks || choice < 7;
    if (!losesDisk || canLoseDisk(host))
        crash(host, losesDisk);
}

void raft_simulation::cutRandomLinks()
{
    const std::string& host = m_hosts[randomBelow(m_hosts.size())].id.host;
    const time_point until = m_now + (happens(0.3) && !m_hasFrequentFaults ? 8s : 500ms);
    const bool isIsolated = happens(0.5);
    const bool isOneWay = happens(0.4);
    for (const simulated_host& other : m_hosts) {
        if (other.id.host == host || (!isIsolated && happens(0.5)))
            continue;
        m_link.cut(host, other.id.host, until);
        if (!isOneWay)
            m_link.cut(other.id.host, host, until);
    }
}

void raft_simulation::cutIntoHalves()
{
    std::vector<std::string> hosts;
    for (const simulated_host& host : m_hosts)
        hosts.push_back(host.id.host);
    std::shuffle(hosts.begin(), hosts.end(), m_random);
    const time_point until = m_now + (happens(0.3) ? 4s : 1s);
    for (std::size_t i = 0; i < hosts.size() / 2; ++i) {
        for (std::size_t k = hosts.size() / 2; k < hosts.size(); ++k) {
            m_link.cut(hosts[i], hosts[k], until);
            m_link.cut(hosts[k], hosts[i], until);
        }
    }
}

void raft_simulation::healAll()
{
    m_link.heal();
    m_link.settings = {};
    for (simulated_host& host : m_hosts) {
        if (!host.node)
            start(host);
    }
}

bool raft_simulation::haveAllRejoined() const
{
    constexpr std::size_t lagLimit = 40; // entries that may have been committed in the last heartbeat interval
    return std::ranges::all_of(m_hosts, [&](const simulated_host& host) {
        const bool isVoter = std::ranges::find(host.node->membership().voters, host.id) != host.node->membership().voters.end();
        return isVoter && host.applied + lagLimit >= m_committed.size();
    });
}

void raft_simulation::propose()
{
    m_nextProposal = m_now + std::chrono::milliseconds(5 + randomBelow(60));
    for (simulated_host& host : m_hosts) {
        if (!host.node || host.node->role() != raft_role::leader)
            continue;
        for (std::size_t i = randomBelow(5); i > 0; --i)
            host.node->propose(m_now, std::to_string(m_random()));
        maintainMembership(host);
        processReady(host);
    }
}

void raft_simulation::maintainMembership(simulated_host& leader)
{
    std::vector<raft_member_id> live;
    for (const simulated_host& host : m_hosts) {
        if (host.node)
            live.push_back(host.id);
    }
    auto plan = planReplacement(leader.node->membership(), live, 1,
        [&](const raft_member_id& member) { return leader.node->isCaughtUp(m_now, member); });
    const std::vector<raft_member_id>& voters = leader.node->membership().voters;
    const bool areAllLive = std::ranges::all_of(voters, [&](const raft_member_id& voter) { return std::ranges::find(live, voter) != live.end(); });
    if (m_settings.discountsEndedVoters && m_isFaulty && areAllLive && voters.size() % 2 == 0 && happens(0.3)) {
        const auto isLeaving = [&](const raft_member_id& voter) { return voter != leader.id && happens(0.3); };
        if (const auto removal = planRemoval(leader.node->membership(), 3, isLeaving))
            plan = removal;
    }
    if (plan)
        leader.node->proposeMembership(m_now, *plan);
}

// Processes the member's output, with rare crashes before storing, or after storing and before sending.
void raft_simulation::processReady(simulated_host& host)
{
    raft_ready ready = host.node->takeReady();
    if (ready.isEmpty())
        return;
    const bool isCrashing = m_isFaulty && m_settings.hasDisks && happens(0.0005);
    if (isCrashing && happens(0.5))
        return crash(host, false);
    store(host, ready);
    if (isCrashing)
        return crash(host, false);
    checkLeader(host);
    sendAll(host, ready.messages);
    apply(host, ready);
    // As control_node does it: after a restart a committed membership is known to be committed.
    const bool hasNewMembership = m_settings.discountsEndedVoters && std::ranges::any_of(ready.committed, [](const raft_entry& entry) { return entry.kind == raft_entry_kind::membership; });
    if (host.applied > host.disk.snapshot.index + 20 || hasNewMembership) {
        std::ostringstream data;
        data << host.state.commands << ' ' << host.state.hash;
        host.node->compact(host.applied, data.str());
        std::erase_if(host.disk.entries, [&](const raft_entry& entry) { return entry.index <= host.applied; });
        const raft_entry& last = m_committed[host.applied - 1].entry;
        host.disk.snapshot = { host.applied, last.term, host.disk.snapshot.membership, data.str() };
        for (std::uint64_t index = host.applied; index > 0; --index) {
            if (m_committed[index - 1].entry.kind != raft_entry_kind::membership)
                continue;
            host.disk.snapshot.membership = m_committed[index - 1].entry.membership;
            break;
        }
    }
}

void raft_simulation::store(simulated_host& host, const raft_ready& ready)
{
    if (ready.hardState && !m_settings.mutation.skipsVoteStorage)
        host.disk.hardState = *ready.hardState;
    if (ready.snapshot) {
        host.disk.snapshot = *ready.snapshot;
        host.disk.entries.clear();
    }
    if (ready.entries.empty() || m_settings.mutation.skipsEntryStorage)
        return;
    const std::uint64_t first = ready.entries.front().index;
    std::erase_if(host.disk.entries, [first](const raft_entry& entry) { return entry.index >= first; });
    host.disk.entries.insert(host.disk.entries.end(), ready.entries.begin(), ready.entries.end());
}

void raft_simulation::sendAll(simulated_host& host, std::vector<raft_message>& messages)
{
    for (raft_message& message : messages) {
        checkVote(message);
        m_settings.mutation.onMessage(message);
        const std::string to = message.to.host;
        m_link.send(m_now, host.id.host, to, std::move(message));
    }
}

void raft_simulation::apply(simulated_host& host, const raft_ready& ready)
{
    if (ready.snapshot) {
        host.applied = ready.snapshot->index;
        if (!m_settings.mutation.skipsSnapshotRestore)
            std::istringstream(ready.snapshot->data) >> host.state.commands >> host.state.hash;
    }
    for (const raft_entry& entry : ready.committed) {
        if (entry.kind == raft_entry_kind::command) {
            ++host.state.commands;
            host.state.hash = host.state.hash * 1099511628211U + std::hash<std::string>()(entry.data);
        }
        if (entry.index != ++host.applied || entry.index > m_committed.size() + 1)
            return fail(raft_violation::state_diverged);
        if (entry.index > m_committed.size()) {
            m_committed.push_back({ entry, host.state });
            m_committedCommands += entry.kind == raft_entry_kind::command ? 1 : 0;
        }
        const committed_entry& expected = m_committed[entry.index - 1];
        if (expected.entry != entry)
            return fail(raft_violation::committed_changed);
        if (expected.stateAfter.commands != host.state.commands || expected.stateAfter.hash != host.state.hash)
            return fail(raft_violation::state_diverged);
    }
}

void raft_simulation::checkVote(const raft_message& message)
{
    if (m_lostIncarnations.contains(message.from))
        fail(raft_violation::lost_incarnation_sent);
    const auto* reply = std::get_if<protocol::vote_reply>(&message.body);
    if (!reply || reply->preVote || !reply->granted)
        return;
    const auto [vote, isFirst] = m_votes.try_emplace({ message.from, message.term }, message.to);
    if (!isFirst && vote->second != message.to)
        fail(raft_violation::voted_twice);
}

// Each term has at most one leader, and a new leader has all committed entries.
void raft_simulation::checkLeader(const simulated_host& host)
{
    if (host.node->role() != raft_role::leader)
        return;
    const auto [leader, isFirst] = m_leaders.try_emplace(host.node->term(), host.id);
    if (leader->second != host.id)
        return fail(raft_violation::two_leaders_in_a_term);
    if (!isFirst || m_settings.mutation.skipsEntryStorage)
        return;
    for (std::uint64_t index = host.disk.snapshot.index + 1; index <= m_committed.size(); ++index) {
        const std::size_t position = index - host.disk.snapshot.index - 1;
        if (position >= host.disk.entries.size() || host.disk.entries[position] != m_committed[index - 1].entry)
            return fail(raft_violation::committed_lost);
    }
}

void raft_simulation::fail(raft_violation violation)
{
    if (m_violation == raft_violation::none)
        m_violation = violation;
}

} // namespace jackdaw::coordination::tests
