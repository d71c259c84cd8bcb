// Elections, replication, commit and membership of one member. The log itself is internal/raft_log.h.
#include "coordination/raft_node.h"

#include "coordination/internal/raft_log.h"
#include "coordination/internal/raft_membership.h"
#include "coordination/internal/raft_progress.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace jackdaw::coordination {
namespace {

    enum class vote_phase {
        none,
        pre_vote,
        vote
    };

} // namespace

class raft_node::impl {
public:
    impl(raft_settings wantedSettings, raft_initial_state initial, time_point start)
        : settings(std::move(wantedSettings))
        , random(settings.seed)
        , now(start)
        , log(std::move(initial.snapshot), std::move(initial.entries))
        , hardState(std::move(initial.hardState))
        , storedHardState(hardState)
        , commit(log.snapshot().index)
        , applied(commit)
    {
        resetElectionDeadline();
    }

    const raft_settings settings;
    std::mt19937_64 random;
    time_point now; // of the latest event
    raft_log log;
    raft_hard_state hardState;
    raft_hard_state storedHardState; // as last handed out to be stored
    std::uint64_t commit; // from the snapshot's index to the log's last
    std::uint64_t applied; // handed out as committed; at most commit
    std::optional<raft_member_id> leader;
    time_point leaderContact; // valid while leader is set and another member
    time_point electionDeadline; // not on the leader
    vote_phase phase = vote_phase::none; // not none: a candidate
    std::set<raft_member_id> votes; // granted in this phase
    bool isLeader = false;
    std::map<raft_member_id, raft_progress> peers; // leader only: all other members
    std::uint64_t firstOfTerm = 0; // leader only: index of its no-op
    time_point quorumCheckAt; // leader only
    std::optional<raft_member_id> transferTarget; // leader only
    time_point transferDeadline; // valid while transferTarget is set
    std::vector<raft_message> outbox;
    bool wantsSnapshot = false; // a peer needs the data of a lazily compacted log

    bool isSelfVoter() const { return isVoter(log.membership(), settings.self); }

    void resetElectionDeadline()
    {
        std::uniform_int_distribution<duration::rep> wait(settings.minElectionTimeout.count(), settings.maxElectionTimeout.count());
        electionDeadline = now + duration(wait(random));
    }

    template <typename Body>
    void send(const raft_member_id& to, Body body, std::uint64_t term)
    {
        outbox.push_back({ settings.self, to, term, std::move(body) });
    }

    // Elections

    void becomeFollower(std::uint64_t term, std::optional<raft_member_id> newLeader)
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
        leader = std::move(newLeader);
    }

    // Learners only forget the leader that went silent.
    void loseLeader()
    {
        if (isSelfVoter())
            campaign(vote_phase::pre_vote, false);
        else
            leader.reset();
    }

    void campaign(vote_phase newPhase, bool isTransfer)
    {
        becomeFollower(hardState.term, std::nullopt);
        resetElectionDeadline();
        phase = newPhase;
        if (phase == vote_phase::vote)
            hardState = { hardState.term + 1, settings.self };
        const bool isPreVote = phase == vote_phase::pre_vote;
        const vote_request request { isPreVote, isTransfer, log.lastIndex(), log.lastTerm() };
        for (const raft_member_id& voter : log.membership().voters) {
            if (voter != settings.self)
                send(voter, request, hardState.term + (isPreVote ? 1 : 0));
        }
        countVote(settings.self);
    }

    void countVote(const raft_member_id& voter)
    {
        votes.insert(voter);
        const auto granted = std::ranges::count_if(log.membership().voters, [this](const raft_member_id& member) { return votes.contains(member); });
        if (static_cast<std::size_t>(granted) < majorityOf(log.membership()))
            return;
        if (phase == vote_phase::pre_vote)
            campaign(vote_phase::vote, false);
        else
            becomeLeader();
    }

    void becomeLeader()
    {
        phase = vote_phase::none;
        votes.clear();
        isLeader = true;
        leader = settings.self;
        quorumCheckAt = now + settings.minElectionTimeout;
        firstOfTerm = log.lastIndex() + 1;
        updatePeers();
        appendOwn({ 0, 0, raft_entry_kind::noop, {}, {} });
    }

    // A member that hears its leader refuses to help to depose it.
    bool isSticky() const
    {
        return isLeader || (leader && now - leaderContact < settings.minElectionTimeout);
    }

    bool isUpToDate(const vote_request& request) const
    {
        return std::pair(request.lastTerm, request.lastIndex) >= std::pair(log.lastTerm(), log.lastIndex());
    }

    void handle(const raft_message& message, const vote_request& request)
    {
        if (request.preVote) {
            const bool granted = message.term > hardState.term && isUpToDate(request);
            send(message.from, vote_reply { true, granted }, granted ? message.term : hardState.term);
            return;
        }
        const bool isFree = !hardState.vote || hardState.vote == message.from;
        const bool granted = isFree && !isLeader && isUpToDate(request);
        if (granted) {
            hardState.vote = message.from;
            resetElectionDeadline();
        }
        send(message.from, vote_reply { false, granted }, hardState.term);
    }

    void handle(const raft_message& message, const vote_reply& reply)
    {
        const vote_phase asked = reply.preVote ? vote_phase::pre_vote : vote_phase::vote;
        const std::uint64_t askedTerm = hardState.term + (reply.preVote ? 1 : 0);
        if (reply.granted && phase == asked && message.term == askedTerm)
            countVote(message.from);
    }

    void handle(const raft_message& /*message*/, const timeout_now_request& /*request*/)
    {
        if (isSelfVoter() && !isLeader)
            campaign(vote_phase::vote, true);
    }

    // Replication, receiving side

    void followLeader(const raft_member_id& from)
    {
        becomeFollower(hardState.term, from);
        leaderContact = now;
        resetElectionDeadline();
    }

    void handle(const raft_message& message, const append_request& request)
    {
        if (isLeader)
            return;
        followLeader(message.from);
        std::uint64_t previous = request.previousIndex;
        if (previous >= commit && log.termAt(previous) != request.previousTerm) {
            send(message.from, append_reply { false, rejectionHint(previous), previous }, hardState.term);
            return;
        }
        if (!takeEntries(request))
            return;
        previous = std::max(commit, previous + request.entries.size());
        commit = std::max(commit, std::min(request.commit, previous));
        send(message.from, append_reply { true, previous, request.previousIndex }, hardState.term);
    }

    std::uint64_t rejectionHint(std::uint64_t previous) const
    {
        if (previous > log.lastIndex())
            return log.lastIndex();
        return std::max(commit, log.firstIndexOfTerm(previous) - 1);
    }

    // False when the request contradicts what is committed or has gaps: it is not from a sound leader.
    bool takeEntries(const append_request& request)
    {
        std::uint64_t index = request.previousIndex;
        for (const raft_entry& entry : request.entries) {
            if (entry.index != ++index)
                return false;
            if (index <= commit || log.termAt(index) == entry.term)
                continue;
            if (index <= log.lastIndex())
                log.truncateFrom(index);
            log.append(entry);
        }
        return true;
    }

    void handle(const raft_message& message, const snapshot_request& request)
    {
        if (isLeader)
            return;
        followLeader(message.from);
        const std::uint64_t index = request.snapshot.index;
        if (index > commit) {
            if (log.termAt(index) != request.snapshot.term) {
                log.install(request.snapshot);
                applied = index;
            }
            commit = index;
        }
        send(message.from, append_reply { true, commit, index }, hardState.term);
    }

    // Replication, sending side

    void updatePeers()
    {
        const raft_membership& membership = log.membership();
        std::erase_if(peers, [&](const auto& peer) { return !isVoter(membership, peer.first) && !isLearner(membership, peer.first); });
        for (const auto* members : { &membership.voters, &membership.learners }) {
            for (const raft_member_id& member : *members) {
                if (member == settings.self || peers.contains(member))
                    continue;
                raft_progress& progress = peers[member];
                progress.next = log.lastIndex() + 1;
                progress.lastSent = now;
                progress.lastHeard = now;
            }
        }
    }

    raft_proposal appendOwn(raft_entry entry)
    {
        entry.index = log.lastIndex() + 1;
        entry.term = hardState.term;
        const bool isMembership = entry.kind == raft_entry_kind::membership;
        const raft_proposal proposal { entry.index, entry.term };
        log.append(std::move(entry));
        if (isMembership)
            updatePeers();
        advanceCommit();
        return proposal;
    }

    // Only entries of the own term commit by counting; older ones commit with them (Raft, section 5.4.2).
    void advanceCommit()
    {
        std::vector<std::uint64_t> matches;
        for (const raft_member_id& voter : log.membership().voters)
            matches.push_back(voter == settings.self ? log.lastIndex() : peers[voter].match);
        const auto middle = matches.begin() + static_cast<std::ptrdiff_t>(majorityOf(log.membership()) - 1);
        std::nth_element(matches.begin(), middle, matches.end(), std::greater<>());
        if (*middle <= commit || log.termAt(*middle) != hardState.term)
            return;
        commit = *middle;
        if (log.membershipIndex() <= commit && !isSelfVoter())
            becomeFollower(hardState.term, std::nullopt);
    }

    void sendAppend(const raft_member_id& to, raft_progress& progress, std::vector<raft_entry> entries)
    {
        const std::uint64_t previous = progress.mode == raft_progress_mode::snapshot ? 0 : progress.next - 1;
        send(to, append_request { previous, log.termAt(previous).value_or(0), commit, std::move(entries) }, hardState.term);
        progress.lastSent = now;
    }

    std::vector<raft_entry> nextEntries(const raft_progress& progress) const
    {
        return log.slice(progress.next, settings.maxEntriesPerAppend, settings.maxBytesPerAppend);
    }

    void flush(const raft_member_id& to, raft_progress& progress)
    {
        if (progress.mode != raft_progress_mode::snapshot && progress.next <= log.snapshot().index)
            startSnapshot(to, progress);
        if (progress.mode == raft_progress_mode::probe && !progress.isProbeOut && progress.next <= log.lastIndex()) {
            sendAppend(to, progress, nextEntries(progress));
            progress.isProbeOut = true;
        }
        if (progress.mode != raft_progress_mode::replicate)
            return;
        while (progress.next <= log.lastIndex() && progress.inflight.size() < settings.maxInflightAppends) {
            auto entries = nextEntries(progress);
            const std::uint64_t last = entries.back().index;
            sendAppend(to, progress, std::move(entries));
            progress.inflight.push_back(last);
            progress.next = last + 1;
        }
    }

    // A peer that is silent gets heartbeats first, and the snapshot once it answers.
    void startSnapshot(const raft_member_id& to, raft_progress& progress)
    {
        progress.mode = raft_progress_mode::snapshot;
        progress.snapshotIndex = log.snapshot().index;
        progress.snapshotSentAt = now - settings.maxElectionTimeout;
        progress.inflight.clear();
        if (progress.lastHeard == now)
            sendSnapshot(to, progress);
    }

    void sendSnapshot(const raft_member_id& to, raft_progress& progress)
    {
        if (now - progress.snapshotSentAt < settings.maxElectionTimeout)
            return;
        if (log.isSnapshotDataMissing()) {
            wantsSnapshot = true;
            return;
        }
        progress.snapshotIndex = log.snapshot().index;
        progress.snapshotSentAt = now;
        progress.lastSent = now;
        send(to, snapshot_request { log.snapshot() }, hardState.term);
    }

    void handle(const raft_message& message, const append_reply& reply)
    {
        const auto found = peers.find(message.from);
        if (!isLeader || found == peers.end())
            return;
        raft_progress& progress = found->second;
        progress.lastHeard = now;
        if (reply.accepted)
            handleAccepted(message.from, progress, reply.matchIndex);
        else
            handleRejected(progress, reply);
    }

    void handleAccepted(const raft_member_id& from, raft_progress& progress, std::uint64_t matchIndex)
    {
        const std::uint64_t before = progress.match;
        progress.confirm(matchIndex);
        if (progress.mode == raft_progress_mode::probe)
            progress.replicateFrom(progress.match + 1);
        if (progress.mode == raft_progress_mode::snapshot) {
            if (progress.match >= progress.snapshotIndex)
                progress.replicateFrom(progress.match + 1);
            else
                sendSnapshot(from, progress);
        }
        if (transferTarget == from)
            continueTransfer();
        if (progress.match > before)
            advanceCommit();
    }

    static void handleRejected(raft_progress& progress, const append_reply& reply)
    {
        const bool isCurrent = progress.mode == raft_progress_mode::probe
            ? reply.previousIndex == progress.next - 1
            : progress.mode == raft_progress_mode::replicate && reply.previousIndex > progress.match;
        if (!isCurrent)
            return;
        const std::uint64_t wanted = std::max(progress.match + 1, std::min(reply.matchIndex + 1, reply.previousIndex));
        const bool isNoProgress = progress.mode == raft_progress_mode::probe && wanted == progress.next;
        if (!isNoProgress) // else a peer that lost what it had acknowledged would be asked at the speed of the link
            progress.probeFrom(wanted);
    }

    // Timers

    void advanceLeader()
    {
        if (transferTarget && now >= transferDeadline)
            transferTarget.reset();
        if (now >= quorumCheckAt) {
            quorumCheckAt = now + settings.minElectionTimeout;
            if (!hasQuorumContact()) {
                becomeFollower(hardState.term, std::nullopt);
                return;
            }
        }
        for (auto& [member, progress] : peers) {
            if (now - progress.lastSent >= settings.heartbeat)
                sendHeartbeat(member, progress);
        }
    }

    // It names what was sent last: when that was lost, the peer refuses it and replication starts anew from there.
    void sendHeartbeat(const raft_member_id& to, raft_progress& progress)
    {
        if (progress.mode != raft_progress_mode::snapshot && !log.termAt(progress.next - 1))
            startSnapshot(to, progress);
        sendAppend(to, progress, {});
    }

    bool hasQuorumContact() const
    {
        const auto contacted = std::ranges::count_if(log.membership().voters, [this](const raft_member_id& voter) {
            return voter == settings.self || isReachable(voter);
        });
        return static_cast<std::size_t>(contacted) >= majorityOf(log.membership());
    }

    bool isReachable(const raft_member_id& member) const
    {
        const auto found = peers.find(member);
        return found != peers.end() && now - found->second.lastHeard <= settings.minElectionTimeout;
    }

    bool isCaughtUp(const raft_member_id& member) const
    {
        return isReachable(member) && peers.at(member).match + settings.maxEntriesPerAppend >= commit
            && peers.at(member).mode == raft_progress_mode::replicate;
    }

    time_point nextTimer() const
    {
        if (!isLeader)
            return isSelfVoter() || leader ? electionDeadline : time_point::max();
        time_point next = quorumCheckAt;
        for (const auto& [member, progress] : peers)
            next = std::min(next, progress.lastSent + settings.heartbeat);
        return transferTarget ? std::min(next, transferDeadline) : next;
    }

    // Leadership transfer

    void startTransfer()
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

    void continueTransfer()
    {
        if (transferTarget && peers[*transferTarget].match == log.lastIndex())
            send(*transferTarget, timeout_now_request {}, hardState.term);
    }

    // Messages

    void step(const raft_message& message)
    {
        if (message.to != settings.self)
            return;
        if (message.term < hardState.term)
            answerStale(message);
        else if (message.term == hardState.term || adoptTerm(message))
            std::visit([&](const auto& body) { handle(message, body); }, message.body);
    }

    // Lets a leader or candidate of an old term learn of the new one.
    void answerStale(const raft_message& message)
    {
        const auto* request = std::get_if<vote_request>(&message.body);
        if (request && request->preVote)
            send(message.from, vote_reply { true, false }, hardState.term);
        if (std::holds_alternative<append_request>(message.body) || std::holds_alternative<snapshot_request>(message.body))
            send(message.from, append_reply { false, 0, 0 }, hardState.term);
    }

    // False when the message is to be ignored.
    bool adoptTerm(const raft_message& message)
    {
        const auto* request = std::get_if<vote_request>(&message.body);
        if (request && !request->transfer && isSticky())
            return false;
        const auto* reply = std::get_if<vote_reply>(&message.body);
        const bool isQuestion = (request && request->preVote) || (reply && reply->preVote && reply->granted);
        if (!isQuestion)
            becomeFollower(message.term, std::nullopt);
        return true;
    }

    raft_ready takeReady()
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
};

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
        m_impl->loseLeader();
}

time_point raft_node::nextTimer() const
{
    return m_impl->nextTimer();
}

std::optional<raft_proposal> raft_node::propose(time_point now, std::string_view command)
{
    m_impl->now = now;
    if (!m_impl->isLeader || m_impl->transferTarget)
        return std::nullopt;
    return m_impl->appendOwn({ 0, 0, raft_entry_kind::command, std::string(command), {} });
}

std::optional<raft_proposal> raft_node::proposeMembership(time_point now, const raft_membership& wanted)
{
    m_impl->now = now;
    const raft_log& log = m_impl->log;
    const std::uint64_t settled = std::max(log.membershipIndex(), m_impl->firstOfTerm);
    if (!m_impl->isLeader || m_impl->transferTarget || m_impl->commit < settled || !isAllowedChange(log.membership(), wanted))
        return std::nullopt;
    const raft_member_id* added = addedVoter(log.membership(), wanted);
    if (added && !m_impl->isCaughtUp(*added))
        return std::nullopt;
    return m_impl->appendOwn({ 0, 0, raft_entry_kind::membership, {}, wanted });
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
    if (m_impl->phase != vote_phase::none)
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

bool raft_node::isCaughtUp(time_point now, const raft_member_id& member) const
{
    m_impl->now = now;
    return m_impl->isLeader && m_impl->isCaughtUp(member);
}

bool raft_node::isReachable(time_point now, const raft_member_id& member) const
{
    m_impl->now = now;
    return m_impl->isLeader && m_impl->isReachable(member);
}

} // namespace jackdaw::coordination
