// Private implementation of raft_node. Elections are in raft_election.cpp, replication and commit in raft_replication.cpp.
#pragma once

#include "coordination/internal/raft_log.h"
#include "coordination/internal/raft_membership.h"
#include "coordination/internal/raft_progress.h"
#include "coordination/internal/raft_quorum.h"
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
    time_point now; // time of the latest event
    raft_log log;
    raft_hard_state hardState;
    raft_hard_state storedHardState; // as last returned by takeReady()
    std::uint64_t commit; // at least the snapshot's index, at most the log's last
    std::uint64_t applied; // last index returned as committed or covered by a snapshot; at most commit
    std::optional<raft_member_id> leader;
    time_point leaderContact; // valid while leader is set and is another member
    time_point electionDeadline; // unused on the leader
    vote_phase phase = vote_phase::none; // other than none on a candidate
    std::set<raft_member_id> votes; // granted in this phase
    raft_election lastElection;
    std::set<raft_member_id> ended; // voters whose host has answered as another incarnation
    std::optional<raft_member_id> discounted; // one of them; chosen when an election starts, and kept for its term
    bool isLeader = false;
    // Leader only: all other members, and the voters of the previous membership that the quorum rule still needs.
    std::map<raft_member_id, raft_progress> peers;
    std::uint64_t termStartIndex = 0; // leader only: index of the no-op that starts its term
    time_point quorumCheckAt; // leader only
    std::optional<raft_member_id> transferTarget; // leader only
    time_point transferDeadline; // valid while transferTarget is set
    std::vector<raft_message> outbox;
    bool wantsSnapshot = false; // a peer needs the snapshot data that compactLazily() left out

    bool isSelfVoter() const { return quorum().hasVoter(settings.self); }
    void resetElectionDeadline();

    template <typename Body>
    void send(const raft_member_id& to, Body body, std::uint64_t term)
    {
        outbox.push_back({ settings.self, to, term, std::move(body) });
    }

    // Quorums
    raft_quorum quorum() const { return { log, commit, settings.discountsEndedVoters }; }
    void answerForEndedIncarnation(const raft_message& message);
    void handle(const raft_message& message, const incarnation_ended& answer);

    // Elections
    void becomeFollower(std::uint64_t term, std::optional<raft_member_id> newLeader);

    // Voters start a pre-vote; learners only reset the known leader.
    void onElectionTimeout();
    void campaign(vote_phase newPhase, bool isTransfer);
    void countVote(const raft_member_id& voter);
    void becomeLeader();

    // True on the leader and on members that heard from it within minElectionTimeout. So that a live leader is not deposed,
    // they ignore vote requests of higher terms (leader stickiness), except those of a leadership transfer.
    bool hasRecentLeaderContact() const;
    bool isUpToDate(const vote_request& request) const;
    void handle(const raft_message& message, const vote_request& request);
    void handle(const raft_message& message, const vote_reply& reply);
    void handle(const raft_message& /*message*/, const timeout_now_request& /*request*/);

    // Replication, receiving side
    void followLeader(const raft_member_id& from);
    void handle(const raft_message& message, const append_request& request);
    std::uint64_t rejectionHint(std::uint64_t previous) const;

    // Appends the entries that the log lacks, and truncates the log at the first conflict. False if the indexes have a gap,
    // which a correct leader never sends.
    bool appendReceived(const append_request& request);
    void handle(const raft_message& message, const snapshot_request& request);

    // Replication, sending side
    void updatePeers();
    raft_proposal appendAsLeader(raft_entry entry);

    // Counts replicas only for entries of the current term; earlier entries commit with them (Raft paper, section 5.4.2).
    void advanceCommit();
    std::uint64_t matchOf(const raft_member_id& voter) const;
    std::uint64_t highestReplicated() const; // the highest index that a quorum has stored; at least commit
    void onMembershipCommitted();
    void sendAppend(const raft_member_id& to, raft_progress& progress, std::vector<raft_entry> entries);
    std::vector<raft_entry> nextEntries(const raft_progress& progress) const;
    void flush(const raft_member_id& to, raft_progress& progress);

    // Sends the snapshot at once only to a peer that has just replied; other peers get heartbeats until they reply.
    void startSnapshot(const raft_member_id& to, raft_progress& progress);
    void sendSnapshot(const raft_member_id& to, raft_progress& progress);
    void handle(const raft_message& message, const append_reply& reply);
    void handleAccepted(const raft_member_id& from, raft_progress& progress, std::uint64_t matchIndex);
    static void handleRejected(raft_progress& progress, const append_reply& reply);

    // Timers
    void advanceLeader();

    // The heartbeat's previousIndex is the last index sent. If those entries were lost, the peer rejects it and replication
    // resumes from the index that the rejection gives.
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

    // Replies to a request of an older term, so that its sender learns of the current one.
    void replyToStaleTerm(const raft_message& message);

    // Adopts the higher term of the message, unless it is a pre-vote request or a granted pre-vote. False for vote requests
    // that leader stickiness ignores.
    bool adoptTerm(const raft_message& message);
    raft_ready takeReady();
};

} // namespace jackdaw::coordination
