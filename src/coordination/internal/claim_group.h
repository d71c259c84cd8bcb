// Membership of one host in its zone's claim group: how generations are founded, joined and left, and the Raft member of the
// generation that the host is in. docs/design/claims.md gives the reasons why two generations never both grant.
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
    std::vector<std::string> voters; // hosts, the same list on every host
    duration heartbeat = std::chrono::milliseconds(100);
    duration minElectionTimeout = std::chrono::milliseconds(500);
    duration maxElectionTimeout = std::chrono::milliseconds(1000);
    duration helloInterval = std::chrono::milliseconds(200); // while not led
    duration foundingDelay = std::chrono::milliseconds(1000); // a fresh host waits so long to be invited
    duration formationTimeout = std::chrono::milliseconds(2000); // a generation that came to nothing is left
    duration abandonDelay = std::chrono::seconds(10); // without a leader, while another voter is known to have restarted
    std::size_t maxLogBytes = 4 * 1024 * 1024; // of applied commands that are kept for members that lag
};

struct claim_group_hooks {
    std::function<void(const std::string& host, const protocol::claim_message& message)> send;
    std::function<void(const std::string& command)> apply; // a committed command
    std::function<void(const std::string& snapshot)> restore;
    std::function<void()> reset; // the generation was left: the state machine starts anew
    std::function<void()> leaderElected; // this host became the leader
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

    // Nothing happens on a host that is not the leader.
    void propose(time_point now, std::string_view command);
    void transferLeadership(time_point now);

    // For a planned stop: hands leadership on and asks the leader to remove this voter, until hasLeft(). From then on the
    // host takes no part in any generation.
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
    raft_member_id m_self; // a new incarnation after each generation that was left
    std::optional<protocol::claim_generation> m_generation; // set with m_node; never changes but through leave()
    std::optional<raft_node> m_node;
    std::vector<raft_member_id> m_founders; // founder only, until something is committed
    std::map<std::string, known_peer> m_peers; // by host; what its last hello said
    time_point m_leaderKnownAt; // when a leader was last known, or the generation joined, or the last one left
    time_point m_nextHello;
    leave_phase m_leaving = leave_phase::none;
    std::uint64_t m_lastLeadingTerm = 0; // the last term in which this host was seen to lead
    std::uint64_t m_applied = 0; // index of the last entry in the state machine
    std::size_t m_logBytes = 0; // of commands applied since the log was compacted
};

} // namespace jackdaw::coordination
