// Simulation of a Raft group with faults from a seed, and the invariants that are checked after every event.
#pragma once

#include "coordination/raft_node.h"
#include "coordination/tests/raft_link.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace jackdaw::coordination::tests {

enum class raft_violation {
    none,
    two_leaders_in_a_term,
    committed_lost, // a new leader lacks a committed entry
    committed_changed, // two different entries are committed at one index
    state_diverged, // state machines differ at the same index
    voted_twice, // a member voted for two candidates in one term
    lost_incarnation_sent, // an incarnation whose disk was lost sent a message
    not_rejoined, // seconds after the last fault, a host is not a voter or has not caught up
    not_live // seconds after the last fault, no command commits
};

// Faults of a member's owner or in messages; the tests check that the invariants detect them.
struct raft_mutation {
    std::function<void(raft_message& message)> onMessage = [](raft_message&) {};
    bool skipsVoteStorage = false; // term and vote are not stored
    bool skipsEntryStorage = false; // entries are not stored
    bool skipsSnapshotRestore = false; // an installed snapshot does not replace the state machine
    bool keepsIncarnation = false; // after losing its disk
};

struct raft_simulation_settings {
    std::uint64_t seed = 1;
    std::size_t hosts = 3;
    duration faultyTime = std::chrono::seconds(12);
    duration healedTime = std::chrono::seconds(8);
    bool hasDisks = true; // false: each restart loses all state
    bool discountsEndedVoters = false; // half of an even group may then lose their disks, and voters beyond three leave and return
    raft_mutation mutation;
};

class raft_simulation {
public:
    explicit raft_simulation(raft_simulation_settings settings);

    // Runs the faulty and then the healed phase, and returns the first violation.
    raft_violation run();

    std::uint64_t committedCommands() const { return m_committedCommands; }

private:
    struct state_machine {
        std::uint64_t commands = 0;
        std::uint64_t hash = 0; // of all commands in order
    };

    struct simulated_host {
        raft_member_id id;
        raft_initial_state disk;
        std::unique_ptr<raft_node> node; // null while down
        state_machine state;
        std::uint64_t applied = 0;
    };

    struct committed_entry {
        raft_entry entry;
        state_machine stateAfter;
    };

    bool happens(double chance) { return std::bernoulli_distribution(chance)(m_random); }
    std::size_t randomBelow(std::size_t limit) { return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random); }

    void start(simulated_host& host);
    void crash(simulated_host& host, bool losesDisk);
    bool canLoseDisk(const simulated_host& host) const;
    bool canLoseHalf(const simulated_host& host, const raft_membership& membership) const;
    raft_membership newestMembership(const simulated_host& host) const;
    time_point nextTimer() const;
    void runEvent();
    void injectFault();
    void cutRandomLinks();
    void cutIntoHalves();
    void healAll();
    bool haveAllRejoined() const;
    void propose();
    void maintainMembership(simulated_host& leader);
    void processReady(simulated_host& host);
    void store(simulated_host& host, const raft_ready& ready);
    void sendAll(simulated_host& host, std::vector<raft_message>& messages);
    void apply(simulated_host& host, const raft_ready& ready);
    void checkVote(const raft_message& message);
    void checkLeader(const simulated_host& host);
    void fail(raft_violation violation);

    raft_simulation_settings m_settings;
    std::mt19937_64 m_random;
    simulated_link<raft_message> m_link;
    std::vector<simulated_host> m_hosts;
    time_point m_now;
    time_point m_nextFault;
    time_point m_nextProposal;
    bool m_isFaulty = true;
    bool m_hasFrequentFaults = false; // many short faults instead of fewer, longer ones
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_committedCommands = 0;
    raft_violation m_violation = raft_violation::none;
    std::map<std::uint64_t, raft_member_id> m_leaders; // by term
    std::vector<committed_entry> m_committed; // by index - 1
    std::map<std::pair<raft_member_id, std::uint64_t>, raft_member_id> m_votes; // by voter and term
    std::set<raft_member_id> m_lostIncarnations;
};

} // namespace jackdaw::coordination::tests
