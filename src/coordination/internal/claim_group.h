// Membership of one host in its zone's claim group: founds, joins and leaves generations of the Raft group, and runs the Raft
// member of the current generation. docs/design/claims.md explains why two generations never both grant claims.
#pragma once

#include "coordination/raft_node.h"
#include "protocol/claim_messages.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::coordination {

struct claim_group_settings {
    std::string host;
    std::uint64_t incarnation = 0; // random for each start
    std::uint64_t seed = 1;
    std::vector<std::string> voters; // host names; the list must be the same on every host
    duration heartbeat = std::chrono::milliseconds(100);
    duration minElectionTimeout = std::chrono::milliseconds(500);
    duration maxElectionTimeout = std::chrono::milliseconds(1000);
    duration helloInterval = std::chrono::milliseconds(200); // while no leader is known
    duration foundingDelay = std::chrono::milliseconds(1000); // wait to be added to a generation before founding one
    duration formationTimeout = std::chrono::milliseconds(2000); // leaderless time before a generation may be left
    duration abandonDelay = std::chrono::seconds(10); // leaderless time before a generation with any restarted voter is left
    std::size_t maxLogBytes = 4 * 1024 * 1024; // of applied commands that are kept for lagging members
};

struct claim_group_hooks {
    std::function<void(const std::string& host, const protocol::claim_message& message)> send;
    std::function<void(const std::string& command)> apply; // applies a committed command
    std::function<void(const std::string& snapshot)> restore;
    std::function<void()> reset; // the generation was left: clears the state machine
    std::function<void()> leaderElected; // this host became the leader of a new term
    std::function<std::string()> snapshot;
};

class claim_group {
public:
    claim_group(claim_group_settings settings, claim_group_hooks hooks, time_point now);

    void step(time_point now, const std::string& from, const protocol::claim_hello& hello);
    void step(time_point now, const std::string& from, const protocol::claim_bootstrap& founding);
    void step(time_point now, const std::string& from, const protocol::claim_raft_message& raft);
    void advance(time_point now);
    time_point nextTimer() const;

    // Have no effect on a host that is not the leader.
    void propose(time_point now, std::string command);
    void transferLeadership(time_point now);

    // For a planned stop: transfers leadership and repeatedly asks the leader to remove this voter, until hasLeft(). After
    // that the host takes part in no generation.
    void startLeaving(time_point now);
    bool hasLeft() const { return m_leaving == leave_phase::left; }

    bool isLeader() const { return m_node && m_node->role() == raft_role::leader; }
    bool isMember() const { return m_node.has_value(); }
    std::optional<std::string> leaderHost() const;
    const raft_member_id& self() const { return m_self; }
    const std::optional<protocol::claim_generation>& generation() const { return m_generation; }

private:
    enum class leave_phase {
        none,
        requested,
        left
    };

    struct known_peer {
        std::uint64_t incarnation = 0;
        std::optional<protocol::claim_generation> generation;
        time_point lastHeard;
    };

    bool isVoterHost() const;
    std::size_t minVoters() const;
    std::size_t minFounders() const;
    void sendHello(const std::string& host, bool wantsReply);
    void broadcastHello();
    void joinGeneration(const protocol::claim_generation& generation, const std::vector<raft_member_id>& voters);
    void leaveGeneration();
    void foundGeneration();
    void sendFounding();
    void advanceLeaderless();
    bool shouldAbandonGeneration() const;
    void maintainMembership();
    void continueLeaving();
    void finishLeaving();
    void removeVoter(const raft_member_id& voter);
    std::vector<raft_member_id> liveMembers() const;
    bool isLearnerUnreachable(const raft_member_id& learner) const;
    bool isAvailable(const known_peer& peer) const;
    void processReady();
    void apply(const raft_entry& entry);

    claim_group_settings m_settings;
    claim_group_hooks m_hooks;
    std::mt19937_64 m_random;
    time_point m_now;
    raft_member_id m_self; // leaving a generation changes the incarnation
    std::optional<protocol::claim_generation> m_generation; // set exactly while m_node is; only leaveGeneration() resets it
    std::optional<raft_node> m_node;
    std::vector<raft_member_id> m_founders; // on the founder only, until an entry is committed
    std::map<std::string, known_peer> m_peers; // by host, from its latest hello
    time_point m_leaderKnownAt; // when a leader was last known, or a generation was last joined or left
    time_point m_nextHello;
    leave_phase m_leaving = leave_phase::none;
    std::uint64_t m_lastLeadingTerm = 0; // the last term for which leaderElected was called
    std::uint64_t m_applied = 0; // index of the last applied entry
    std::size_t m_logBytes = 0; // of entries applied since the log was compacted
};

} // namespace jackdaw::coordination
