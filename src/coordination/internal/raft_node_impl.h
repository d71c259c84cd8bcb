// The state of one member of a replicated log behind raft_node. Elections are in raft_election.cpp, replication and commit in
// raft_replication.cpp.
#pragma once

#include "coordination/internal/raft_log.h"
#include "coordination/internal/raft_membership.h"
#include "coordination/internal/raft_progress.h"
#include "coordination/raft_node.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace jackdaw::coordination {

class raft_node::impl {
public:
    enum class vote_phase {
        none,
        pre_vote,
        vote
    };

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
    std::uint64_t termStartIndex = 0; // leader only: index of its no-op
    time_point quorumCheckAt; // leader only
    std::optional<raft_member_id> transferTarget; // leader only
    time_point transferDeadline; // valid while transferTarget is set
    std::vector<raft_message> outbox;
    bool wantsSnapshot = false; // a peer needs the data of a lazily compacted log

    bool isSelfVoter() const { return isVoter(log.membership(), settings.self); }
    void resetElectionDeadline();

    template <typename Body>
    void send(const raft_member_id& to, Body body, std::uint64_t term)
    {
        outbox.push_back({ settings.self, to, term, std::move(body) });
    }

    // Elections
    void becomeFollower(std::uint64_t term, std::optional<raft_member_id> newLeader);

    // Learners only forget the leader that went silent.
    void onElectionTimeout();
    void campaign(vote_phase newPhase, bool isTransfer);
    void countVote(const raft_member_id& voter);
    void becomeLeader();

    // A member that hears its leader refuses to help to depose it.
    bool hasRecentLeaderContact() const;
    bool isUpToDate(const vote_request& request) const;
    void handle(const raft_message& message, const vote_request& request);
    void handle(const raft_message& message, const vote_reply& reply);
    void handle(const raft_message& /*message*/, const timeout_now_request& /*request*/);

    // Replication, receiving side
    void followLeader(const raft_member_id& from);
    void handle(const raft_message& message, const append_request& request);
    std::uint64_t rejectionHint(std::uint64_t previous) const;

    // False when the request contradicts what is committed or has gaps: it is not from a sound leader.
    bool appendReceived(const append_request& request);
    void handle(const raft_message& message, const snapshot_request& request);

    // Replication, sending side
    void updatePeers();
    raft_proposal appendAsLeader(raft_entry entry);

    // Only entries of the own term commit by counting; older ones commit with them (Raft, section 5.4.2).
    void advanceCommit();
    void sendAppend(const raft_member_id& to, raft_progress& progress, std::vector<raft_entry> entries);
    std::vector<raft_entry> nextEntries(const raft_progress& progress) const;
    void flush(const raft_member_id& to, raft_progress& progress);

    // A peer that is silent gets heartbeats first, and the snapshot once it answers.
    void startSnapshot(const raft_member_id& to, raft_progress& progress);
    void sendSnapshot(const raft_member_id& to, raft_progress& progress);
    void handle(const raft_message& message, const append_reply& reply);
    void handleAccepted(const raft_member_id& from, raft_progress& progress, std::uint64_t matchIndex);
    static void handleRejected(raft_progress& progress, const append_reply& reply);

    // Timers
    void advanceLeader();

    // It names what was sent last: when that was lost, the peer refuses it and replication starts anew from there.
    void sendHeartbeat(const raft_member_id& to, raft_progress& progress);
    bool hasQuorumContact() const;
    bool isReachable(const raft_member_id& member) const;
    bool isCaughtUp(const raft_member_id& member) const;
    time_point nextTimer() const;

    // Leadership transfer
    void startTransfer();
    void continueTransfer();

    // Messages
    void step(const raft_message& message);

    // Lets a leader or candidate of an old term learn of the new one.
    void replyToStaleTerm(const raft_message& message);

    // False when the message is to be ignored.
    bool adoptTerm(const raft_message& message);
    raft_ready takeReady();
};

} // namespace jackdaw::coordination
