// Drives the replicated log: stores, then sends, then applies.
#include "apps/control/control_node.h"

#include "apps/control/group_log.h"
#include "apps/control/heard_members.h"
#include "apps/control/storage_opening.h"
#include "coordination/raft_replacement.h"
#include "state/log.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace jackdaw::control {

using coordination::change_answer;
using coordination::raft_entry;
using coordination::raft_entry_kind;
using coordination::raft_member_id;
using coordination::raft_membership;
using coordination::raft_message;
using coordination::raft_node;
using coordination::raft_ready;
using coordination::raft_role;
using coordination::raft_snapshot;
using coordination::rules_change;
using coordination::rules_store;
using protocol::error_kind;
using protocol::makeError;
using protocol::result;

namespace {

    // A group of two hosts must be able to replace one of them.
    constexpr std::size_t minVotersLeft = 1;

    // Bears that one host is down, also where no disk may be lost.
    constexpr std::size_t minWantedVoters = 3;

    constexpr duration memberSilenceLimit = std::chrono::seconds(3);
    constexpr duration spareVoterSilenceLimit = std::chrono::seconds(1); // ten heartbeats
    constexpr std::uint64_t maxJournalBytes = 4 * 1024 * 1024; // compacts earlier when changes are large: memory holds as much as the journal

    bool isVoter(const raft_membership& membership, const raft_member_id& member)
    {
        return std::ranges::find(membership.voters, member) != membership.voters.end();
    }

    struct pending_change {
        std::uint64_t term = 0;
        time_point deadline;
        control_node::change_completion done;
    };

} // namespace

class control_node::impl {
public:
    impl(control_node_settings wanted, control_storage opened, control_node_hooks wantedHooks, time_point now)
        : settings(std::move(wanted))
        , storage(std::move(opened))
        , hooks(std::move(wantedHooks))
        , selfId(storage->self())
        , heardMembers(memberSilenceLimit, now)
    {
        start(now);
    }

    control_node_settings settings;
    std::optional<control_storage> storage; // empty after a reopening that failed
    control_node_hooks hooks;
    raft_member_id selfId;
    std::unique_ptr<raft_node> raft;

    // State machine at appliedIndex.
    rules_store store;
    std::uint64_t appliedIndex = 0;
    std::uint64_t appliedTerm = 0;
    raft_membership appliedMembership;
    std::uint64_t snapshotIndex = 0;
    bool hasNewMembership = false; // since the snapshot

    std::optional<rules_store> served; // after a reopening: the newer one of before, until the log has caught up
    std::map<std::uint64_t, pending_change> pending; // by log index
    heard_members heardMembers;
    std::string storageFailure; // not empty: nothing is stored, sent or applied
    time_point reopenAt; // valid while storageFailure is set

    void start(time_point now);
    void restoreStore(const std::string& data);
    void process(time_point now);
    bool processReady(time_point now); // false if nothing was ready, or it could not be stored
    void applyReady(const raft_ready& ready);
    void apply(const raft_entry& entry);
    void applyCommand(const raft_entry& entry);
    void logCommitted(const raft_entry& entry, const change_answer& answer) const;
    void compactWhenDue(time_point now);
    void fail(time_point now, const protocol::error& failure, const raft_ready& unstored);
    void reopen(time_point now);
    void answerOverdue(time_point now);
    void replaceMembers(time_point now);
    void onRemovalRequest(const raft_member_id& voter);

    // With one voter more than wanted the group bears no more losses, and too few once that one is lost: so it is while a host is
    // replaced. Larger groups bear them all the same.
    bool hasSpareVoter() const { return raft->membership().voters.size() == wantedVoters() + 1; }
    bool isSpareVoterLost(time_point now, const raft_member_id& voter) const;

    // A change is then stored by more hosts than may lose their disks, and the voters that keep theirs are a majority.
    std::size_t wantedVoters() const { return std::max(minWantedVoters, 2 * settings.toleratedLosses + 1); }
    std::size_t knownHosts(time_point now) const;
};

void control_node::impl::start(time_point now)
{
    const coordination::raft_initial_state& initial = storage->initial();
    snapshotIndex = initial.snapshot.index;
    appliedIndex = initial.snapshot.index;
    appliedTerm = initial.snapshot.term;
    appliedMembership = initial.snapshot.membership;
    restoreStore(initial.snapshot.data);
    coordination::raft_settings raftSettings;
    raftSettings.self = selfId;
    raftSettings.seed = settings.seed;
    raftSettings.heartbeat = settings.heartbeat;
    raftSettings.minElectionTimeout = settings.minElectionTimeout;
    raftSettings.maxElectionTimeout = 2 * settings.minElectionTimeout;
    raftSettings.discountsEndedVoters = true;
    raft = std::make_unique<raft_node>(raftSettings, initial, now);
}

void control_node::impl::restoreStore(const std::string& data)
{
    if (data.empty()) {
        store = rules_store();
        return;
    }
    auto restored = rules_store::restore(data);
    if (restored)
        store = std::move(restored.value());
    else
        storageFailure = restored.error().detail;
}

void control_node::impl::process(time_point now)
{
    while (storageFailure.empty()) {
        if (!processReady(now))
            return;
        compactWhenDue(now);
    }
}

bool control_node::impl::processReady(time_point now)
{
    const raft_ready ready = raft->takeReady();
    if (ready.isEmpty())
        return false;
    if (const auto stored = storage->store(ready); !stored) {
        fail(now, stored.error(), ready);
        return false;
    }
    for (const raft_message& message : ready.messages)
        hooks.send(message);
    applyReady(ready);
    return true;
}

void control_node::impl::applyReady(const raft_ready& ready)
{
    const std::uint64_t before = store.inForce().version;
    const std::uint64_t evacuationBefore = store.evacuations().number();
    if (ready.snapshot) {
        restoreStore(ready.snapshot->data);
        snapshotIndex = ready.snapshot->index;
        appliedIndex = ready.snapshot->index;
        appliedTerm = ready.snapshot->term;
        appliedMembership = ready.snapshot->membership;
    }
    for (const raft_entry& entry : ready.committed)
        apply(entry);
    if (served && store.inForce().version >= served->inForce().version && store.evacuations().number() >= served->evacuations().number())
        served.reset();
    // A host that has no configuration starts no jobs, so it learns of evacuations first.
    if (store.evacuations().number() > evacuationBefore && !served && hooks.onNewEvacuation)
        hooks.onNewEvacuation();
    if (store.inForce().version > before && !served && hooks.onNewVersion)
        hooks.onNewVersion();
}

void control_node::impl::apply(const raft_entry& entry)
{
    appliedIndex = entry.index;
    appliedTerm = entry.term;
    if (entry.kind == raft_entry_kind::membership) {
        appliedMembership = entry.membership;
        hasNewMembership = true;
    }
    if (entry.kind == raft_entry_kind::command)
        applyCommand(entry);
    const auto lost = pending.find(entry.index);
    if (lost == pending.end())
        return;
    // Another leader's entry took the place: the proposed one can't be committed any more.
    pending_change overruled = std::move(lost->second);
    pending.erase(lost);
    overruled.done(makeError(error_kind::not_leader, "another leader was elected before the change was stored"));
}

void control_node::impl::applyCommand(const raft_entry& entry)
{
    const auto change = coordination::decodeRulesChange(entry.data);
    const auto waiting = pending.find(entry.index);
    const bool isOurs = waiting != pending.end() && waiting->second.term == entry.term;
    if (!change) {
        if (isOurs)
            waiting->second.done(change.error());
    } else {
        const std::uint64_t before = store.inForce().version;
        const change_answer answer = store.apply(change.value());
        if (isOurs && answer.inForce.version > before)
            logCommitted(entry, answer);
        if (isOurs)
            waiting->second.done(answer);
    }
    if (isOurs)
        pending.erase(entry.index);
}

void control_node::impl::logCommitted(const raft_entry& entry, const change_answer& answer) const
{
    state::logEvent(state::log_level::info, "change_committed", { { "version", std::to_string(answer.inForce.version) }, { "index", std::to_string(entry.index) }, { "term", std::to_string(entry.term) }, { "voters", toText(raft->membership().voters) }, { "stored_by", toText(raft->votersWithEntry(entry.index)) } });
}

void control_node::impl::compactWhenDue(time_point now)
{
    // A membership goes into the snapshot at once: a member whose journal is lost must not believe in an older, smaller one.
    const bool isDue = hasNewMembership || appliedIndex - snapshotIndex >= settings.compactAfterEntries
        || (storage->journalBytes() > maxJournalBytes && appliedIndex > snapshotIndex);
    if (!isDue || !storageFailure.empty())
        return;
    raft_snapshot snapshot { appliedIndex, appliedTerm, appliedMembership, store.snapshot() };
    if (const auto compacted = storage->compact(snapshot); !compacted)
        return fail(now, compacted.error(), {});
    raft->compact(appliedIndex, std::move(snapshot.data));
    snapshotIndex = appliedIndex;
    hasNewMembership = false;
}

void control_node::impl::fail(time_point now, const protocol::error& failure, const raft_ready& unstored)
{
    storageFailure = failure.detail;
    reopenAt = now + settings.reopenInterval;
    // What this ready would have stored was neither kept nor sent; earlier proposals may have reached a majority.
    const std::uint64_t firstUnstored = unstored.entries.empty() ? UINT64_MAX : unstored.entries.front().index;
    for (auto& [index, change] : std::exchange(pending, {}))
        change.done(index >= firstUnstored ? makeError(error_kind::storage_failed, failure.detail) : makeError(error_kind::timed_out, failure.detail));
}

void control_node::impl::reopen(time_point now)
{
    if (storageFailure.empty() || now < reopenAt)
        return;
    reopenAt = now + settings.reopenInterval;
    if (!served)
        served = std::move(store);
    store = rules_store();
    // The folder's lock is held by the storage in hand, which must go first.
    storage.reset();
    auto opened = openOrCreateStorage(settings.storage, false);
    // A member that can't store yet must not take part: each of its failures can cost the group an election.
    const auto writable = opened ? opened.value().checkWritable() : result<void>(opened.error());
    if (!writable) {
        storageFailure = writable.error().detail;
        return;
    }
    storage.emplace(std::move(opened.value()));
    selfId = storage->self(); // another incarnation when acknowledged entries are missing
    storageFailure.clear();
    start(now);
    process(now);
}

void control_node::impl::answerOverdue(time_point now)
{
    while (!pending.empty()) {
        const auto overdue = std::find_if(pending.begin(), pending.end(), [now](const auto& item) { return item.second.deadline <= now; });
        if (overdue == pending.end())
            return;
        pending_change change = std::move(overdue->second);
        pending.erase(overdue);
        change.done(makeError(error_kind::timed_out, "no majority stored the change in time; send it again with the same change id"));
    }
}

void control_node::impl::replaceMembers(time_point now)
{
    if (raft->role() != raft_role::leader)
        return;
    std::vector<raft_member_id> live = heardMembers.live(now);
    if (live.empty())
        return;
    live.push_back(selfId);
    std::optional<raft_membership> plan;
    if (settings.removesSilentVoters && hasSpareVoter())
        plan = coordination::planRemoval(raft->membership(), wantedVoters(), [&](const raft_member_id& voter) { return isSpareVoterLost(now, voter); });
    if (!plan)
        plan = coordination::planReplacement(raft->membership(), live, minVotersLeft, [&](const raft_member_id& member) { return raft->isCaughtUp(now, member); });
    if (!plan && settings.removesSilentVoters)
        plan = coordination::planRemoval(raft->membership(), wantedVoters(), [&](const raft_member_id& voter) { return voter != selfId && heardMembers.isSilent(now, voter); });
    if (plan)
        raft->proposeMembership(now, *plan);
}

bool control_node::impl::isSpareVoterLost(time_point now, const raft_member_id& voter) const
{
    return voter != selfId && (heardMembers.isSilent(now, voter) || raft->isSilent(now, voter, spareVoterSilenceLimit));
}

void control_node::impl::onRemovalRequest(const raft_member_id& voter)
{
    if (!settings.removesSilentVoters || !hasSpareVoter() || !isVoter(raft->membership(), voter))
        return;
    if (heardMembers.hearStopping(voter))
        logEvent(state::log_level::info, "voter_stopping", { { "host", voter.host }, { "voters", toText(raft->membership().voters) } });
}

std::size_t control_node::impl::knownHosts(time_point now) const
{
    std::set<std::string> hosts { selfId.host };
    for (const raft_member_id& member : heardMembers.live(now))
        hosts.insert(member.host);
    for (const raft_member_id& member : raft->membership().voters)
        hosts.insert(member.host);
    return std::max(hosts.size(), settings.expectedHosts);
}

control_node::control_node(control_node_settings settings, control_storage storage, control_node_hooks hooks, time_point now)
    : m_impl(std::make_unique<impl>(std::move(settings), std::move(storage), std::move(hooks), now))
{
}
control_node::~control_node() = default;

void control_node::step(time_point now, const raft_message& message)
{
    if (!m_impl->storageFailure.empty())
        return;
    // A leader receives timeout_now_request in its own term only from a voter that asks to be removed.
    const bool isLeaderOfTerm = m_impl->raft->role() == raft_role::leader && message.term == m_impl->raft->term();
    if (isLeaderOfTerm && message.to == m_impl->selfId && std::holds_alternative<coordination::timeout_now_request>(message.body))
        m_impl->onRemovalRequest(message.from);
    m_impl->raft->step(now, message);
    m_impl->process(now);
}

void control_node::hearMember(time_point now, const raft_member_id& member)
{
    if (member.host != m_impl->selfId.host)
        m_impl->heardMembers.hear(now, member);
}

void control_node::advance(time_point now)
{
    m_impl->reopen(now);
    if (m_impl->storageFailure.empty()) {
        m_impl->raft->advance(now);
        m_impl->replaceMembers(now);
        m_impl->process(now);
    }
    m_impl->answerOverdue(now);
}

time_point control_node::nextTimer() const
{
    time_point next = m_impl->storageFailure.empty() ? m_impl->raft->nextTimer() : m_impl->reopenAt;
    for (const auto& [index, change] : m_impl->pending)
        next = std::min(next, change.deadline);
    return next;
}

void control_node::change(time_point now, rules_change change, change_completion done)
{
    if (!m_impl->storageFailure.empty())
        return done(makeError(error_kind::storage_failed, m_impl->storageFailure));
    if (!isServingLeader())
        return done(makeError(error_kind::not_leader, {}));
    if (membership().voters.size() < std::min(m_impl->wantedVoters(), m_impl->knownHosts(now)))
        return done(makeError(error_kind::not_leader, "the group has too few voters for the losses that it must bear"));
    std::string command = coordination::encodeRulesChange(std::move(change));
    const auto proposal = m_impl->raft->propose(now, std::move(command));
    if (!proposal)
        return done(makeError(error_kind::not_leader, {}));
    // An earlier proposal at this index lost its place in this member's log, though perhaps not in all logs.
    if (const auto earlier = m_impl->pending.extract(proposal->index); !earlier.empty())
        earlier.mapped().done(makeError(error_kind::timed_out, "the leader changed; send the change again with the same change id"));
    m_impl->pending[proposal->index] = { proposal->term, now + m_impl->settings.changeTimeout, std::move(done) };
    m_impl->process(now);
}

void control_node::transferLeadership(time_point now)
{
    m_impl->raft->transferLeadership(now);
    m_impl->process(now);
}

bool control_node::requestRemoval()
{
    const raft_member_id& self = m_impl->selfId;
    if (!m_impl->storageFailure.empty() || !isVoter(m_impl->appliedMembership, self))
        return false;
    if (!isVoter(membership(), self))
        return true; // the removal is not committed yet
    if (!m_impl->hasSpareVoter())
        return false;
    const auto leader = m_impl->raft->leader();
    if (leader && *leader != self)
        m_impl->hooks.send({ self, *leader, m_impl->raft->term(), coordination::timeout_now_request {} });
    return true;
}

bool control_node::isServingLeader() const
{
    return m_impl->storageFailure.empty() && m_impl->raft->role() == raft_role::leader && m_impl->appliedTerm == m_impl->raft->term();
}

std::optional<raft_member_id> control_node::leader() const
{
    return m_impl->storageFailure.empty() ? m_impl->raft->leader() : std::nullopt;
}

raft_member_id control_node::self() const
{
    return m_impl->selfId;
}

const raft_membership& control_node::membership() const
{
    return m_impl->raft->membership();
}

const rules_store& control_node::rules() const
{
    return m_impl->served ? *m_impl->served : m_impl->store;
}

control_node_status control_node::status() const
{
    const raft_node& raft = *m_impl->raft;
    return { raft.role(), raft.term(), raft.commitIndex(), m_impl->storage ? m_impl->storage->journalBytes() : 0, raft.storedEntries(), m_impl->storageFailure, leader(), raft.membership(), raft.lastElection(), raft.discountedVoter() };
}

} // namespace jackdaw::control
