// Log replication, commit, snapshots and peer tracking, on the leader and on its followers.
#include "coordination/internal/raft_node_impl.h"

#include <algorithm>

namespace jackdaw::coordination {

void raft_node::impl::followLeader(const raft_member_id& from)
{
    becomeFollower(hardState.term, from);
    leaderContact = now;
    resetElectionDeadline();
}

void raft_node::impl::handle(const raft_message& message, const append_request& request)
{
    if (isLeader)
        return;
    followLeader(message.from);
    std::uint64_t previous = request.previousIndex;
    if (previous >= commit && log.termAt(previous) != request.previousTerm) {
        send(message.from, append_reply { false, rejectionHint(previous), previous }, hardState.term);
        return;
    }
    if (!appendReceived(request))
        return;
    previous = std::max(commit, previous + request.entries.size());
    commit = std::max(commit, std::min(request.commitIndex, previous));
    send(message.from, append_reply { true, previous, request.previousIndex }, hardState.term);
}

std::uint64_t raft_node::impl::rejectionHint(std::uint64_t previous) const
{
    if (previous > log.lastIndex())
        return log.lastIndex();
    return std::max(commit, log.firstIndexOfTerm(previous) - 1);
}

bool raft_node::impl::appendReceived(const append_request& request)
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

void raft_node::impl::handle(const raft_message& message, const snapshot_request& request)
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

void raft_node::impl::updatePeers()
{
    const raft_membership& membership = log.membership();
    const std::vector<raft_member_id> voters = quorum().voters();
    std::erase_if(peers, [&](const auto& peer) { return std::ranges::find(voters, peer.first) == voters.end() && !isLearner(membership, peer.first); });
    for (const auto* members : { &voters, &membership.learners }) {
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

raft_proposal raft_node::impl::appendAsLeader(raft_entry entry)
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

std::uint64_t raft_node::impl::matchOf(const raft_member_id& voter) const
{
    if (voter == settings.self)
        return log.lastIndex();
    const auto peer = peers.find(voter);
    return peer == peers.end() ? 0 : peer->second.match;
}

std::uint64_t raft_node::impl::highestReplicated() const
{
    std::uint64_t highest = commit;
    const auto consider = [&](std::uint64_t index) {
        if (index > highest && quorum().isReached([&](const raft_member_id& member) { return matchOf(member) >= index; }, discounted))
            highest = index;
    };
    consider(log.lastIndex());
    for (const auto& [member, progress] : peers)
        consider(progress.match);
    return highest;
}

void raft_node::impl::advanceCommit()
{
    const std::uint64_t replicated = highestReplicated();
    if (replicated <= commit || log.termAt(replicated) != hardState.term)
        return;
    const bool isMembershipPending = commit < log.membershipIndex();
    commit = replicated;
    if (isMembershipPending && log.membershipIndex() <= commit)
        onMembershipCommitted();
}

void raft_node::impl::onMembershipCommitted()
{
    if (settings.discountsEndedVoters) {
        // Its voters may have to decide without this leader, and must know by then that it is committed.
        for (auto& [member, progress] : peers)
            sendHeartbeat(member, progress);
        updatePeers();
    }
    if (!isSelfVoter())
        return becomeFollower(hardState.term, std::nullopt);
    advanceCommit(); // entries after it may need fewer voters
}

void raft_node::impl::sendAppend(const raft_member_id& to, raft_progress& progress, std::vector<raft_entry> entries)
{
    const std::uint64_t previous = progress.mode == raft_progress_mode::snapshot ? 0 : progress.next - 1;
    send(to, append_request { previous, log.termAt(previous).value_or(0), commit, std::move(entries) }, hardState.term);
    progress.lastSent = now;
}

std::vector<raft_entry> raft_node::impl::nextEntries(const raft_progress& progress) const
{
    return log.slice(progress.next, settings.maxEntriesPerAppend, settings.maxBytesPerAppend);
}

void raft_node::impl::flush(const raft_member_id& to, raft_progress& progress)
{
    if (progress.mode != raft_progress_mode::snapshot && progress.next <= log.snapshot().index)
        startSnapshot(to, progress);
    if (progress.mode == raft_progress_mode::probe && !progress.isProbeInFlight && progress.next <= log.lastIndex()) {
        sendAppend(to, progress, nextEntries(progress));
        progress.isProbeInFlight = true;
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

void raft_node::impl::startSnapshot(const raft_member_id& to, raft_progress& progress)
{
    progress.mode = raft_progress_mode::snapshot;
    progress.snapshotIndex = log.snapshot().index;
    progress.snapshotSentAt = now - settings.maxElectionTimeout;
    progress.inflight.clear();
    if (progress.lastHeard == now)
        sendSnapshot(to, progress);
}

void raft_node::impl::sendSnapshot(const raft_member_id& to, raft_progress& progress)
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

void raft_node::impl::handle(const raft_message& message, const append_reply& reply)
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

void raft_node::impl::handleAccepted(const raft_member_id& from, raft_progress& progress, std::uint64_t matchIndex)
{
    const std::uint64_t before = progress.match;
    progress.acknowledge(matchIndex);
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

void raft_node::impl::handleRejected(raft_progress& progress, const append_reply& reply)
{
    const bool isCurrent = progress.mode == raft_progress_mode::probe
        ? reply.previousIndex == progress.next - 1
        : progress.mode == raft_progress_mode::replicate && reply.previousIndex > progress.match;
    if (!isCurrent)
        return;
    const std::uint64_t wanted = std::max(progress.match + 1, std::min(reply.matchIndex + 1, reply.previousIndex));
    // A peer that lost entries it had acknowledged rejects every probe at match + 1. Probing again on each rejection would
    // send appends at the round-trip rate; instead, only heartbeats are sent.
    const bool isNoProgress = progress.mode == raft_progress_mode::probe && wanted == progress.next;
    if (!isNoProgress)
        progress.probeFrom(wanted);
}

void raft_node::impl::advanceLeader()
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

void raft_node::impl::sendHeartbeat(const raft_member_id& to, raft_progress& progress)
{
    if (progress.mode != raft_progress_mode::snapshot && !log.termAt(progress.next - 1))
        startSnapshot(to, progress);
    sendAppend(to, progress, {});
}

bool raft_node::impl::hasQuorumContact() const
{
    return quorum().isReached([this](const raft_member_id& voter) { return voter == settings.self || isReachable(voter); }, discounted);
}

bool raft_node::impl::isReachable(const raft_member_id& member) const
{
    const auto found = peers.find(member);
    return found != peers.end() && now - found->second.lastHeard <= settings.minElectionTimeout;
}

bool raft_node::impl::isCaughtUp(const raft_member_id& member) const
{
    return isReachable(member) && peers.at(member).match + settings.maxEntriesPerAppend >= commit
        && peers.at(member).mode == raft_progress_mode::replicate;
}

time_point raft_node::impl::nextTimer() const
{
    if (!isLeader)
        return isSelfVoter() || leader ? electionDeadline : time_point::max();
    time_point next = quorumCheckAt;
    for (const auto& [member, progress] : peers)
        next = std::min(next, progress.lastSent + settings.heartbeat);
    return transferTarget ? std::min(next, transferDeadline) : next;
}

} // namespace jackdaw::coordination
