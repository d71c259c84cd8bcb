// Simulation of the claim services of one zone with faults from a seed; checks that no submission is granted twice.
#pragma once

#include "coordination/claim_service.h"
#include "coordination/tests/raft_link.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jackdaw::coordination::tests {

enum class claim_violation {
    none,
    granted_twice,
    holder_changed, // two coordinators were reported as holders of one submission
    false_refusal, // reported as unclaimed although it was granted
    message_storm, // far more messages in a second than claims and heartbeats need
    voters_differ, // seconds after the last fault, the voters' tables differ
    not_live // seconds after the last fault, a new submission is not granted
};

// Faults of a service's owner or in messages; the tests check that the simulation detects them.
struct claim_mutation {
    bool keepsIncarnation = false; // after a restart
    bool hasStaleClockAtStart = false; // one minute behind in the first 4 s of a process
    bool splitsVoterLists = false; // one host is configured as the only voter
    bool resendsImmediately = false;
    bool stopsWithoutLeaving = false; // only transfers leadership
    std::function<void(protocol::claim_message& message)> onMessage; // empty: none
};

struct claim_simulation_settings {
    std::uint64_t seed = 1;
    duration faultyTime = std::chrono::seconds(25);
    std::size_t voters = 3; // number of voters: the first hosts
    claim_mutation mutation {};
};

class claim_simulation {
public:
    explicit claim_simulation(claim_simulation_settings settings);

    // Runs a phase with faults and one without, and returns the first violation.
    claim_violation run();

    // Without faults: crashes the leader of a stable group. Returns the time until a new submission is granted; the client
    // makes a new one at another host every 200 ms.
    duration timeToGrantAfterLeaderLoss();

    // As above, after a simultaneous restart of all hosts.
    duration timeToGrantAfterRestartOfAll();

    // As above, after a planned stop of the leader or of another voter, which ends once it left the group or after 3 s.
    duration timeToGrantAfterPlannedStop(bool ofLeader);

    // Without faults: planned stops of a leader and of its successor. Returns how many of the two left the group.
    std::uint64_t leavesOfTwoStops();

    // The number of planned stops in which the host left the group.
    std::uint64_t leaves() const { return m_leaves; }

    std::uint64_t grants() const { return m_holders.size(); }

private:
    struct simulated_host {
        std::string name;
        std::uint64_t incarnation = 0;
        std::unique_ptr<claim_service> service; // null while down
        duration clockOffset {};
        time_point startedAt;
        time_point frozenUntil;
        bool isStopping = false; // accepts no submissions
    };

    struct client_submission {
        protocol::submission_id id;
        std::uint32_t submitted = 0; // number of times
    };

    bool happens(double chance) { return std::bernoulli_distribution(chance)(m_random); }
    std::size_t randomBelow(std::size_t limit) { return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random); }

    void start(simulated_host& host);
    void crash(simulated_host& host);
    void stop(simulated_host& host);
    bool stopOne(bool ofLeader);
    simulated_host& hostNamed(const std::string& name);
    void runEvent();
    void runUntil(time_point end);
    void deliver();
    void injectFault();
    void cutRandomLinks();
    void healAll();
    void submitRandom();
    void submit(simulated_host& host, client_submission& submission);
    client_submission& newSubmission();
    void send(const simulated_host& from, const std::string& to, std::string bytes);
    std::string applyMutation(std::string bytes) const;
    void check(const simulated_host& host, const claim_result& result);
    protocol::unix_milliseconds clockOf(const simulated_host& host) const;
    duration timeToGrant();
    bool doVotersAgree() const;
    void fail(claim_violation violation);

    claim_simulation_settings m_settings;
    std::mt19937_64 m_random;
    simulated_link<std::string> m_link;
    std::vector<simulated_host> m_hosts;
    std::vector<client_submission> m_submissions;
    std::map<protocol::submission_id, protocol::claim_coordinator> m_holders; // by any result that was granted or held
    std::map<protocol::submission_id, protocol::claim_coordinator> m_grants; // by granted results only
    time_point m_now;
    time_point m_nextFault;
    time_point m_nextSubmission;
    bool m_isFaulty = true;
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_leaves = 0;
    time_point m_secondStart; // start of the second that m_messagesInSecond counts
    std::size_t m_messagesInSecond = 0;
    claim_violation m_violation = claim_violation::none;
};

} // namespace jackdaw::coordination::tests
