// The claim services of one zone under seeded faults, and the check that no submission is granted twice.
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
    holder_changed, // two coordinators were named as holders of one submission
    false_refusal, // said to be unclaimed, but granted before
    message_storm, // far more messages in a second than claims and heartbeats need
    voters_differ, // healed for seconds, and yet the voters' tables differ
    not_live // healed for seconds, and yet a new submission is not granted
};

// Faults in the owner of a service or in the messages, for showing that the checker notices them.
struct claim_mutation {
    bool keepsIncarnation = false; // after a restart
    bool hasStaleClockAtStart = false; // a minute behind in the first seconds of a process
    bool splitsVoterLists = false; // one host believes that it is the only voter
    bool resendsImmediately = false;
    bool stopsWithoutLeaving = false; // only hands leadership on
    std::function<void(protocol::claim_message& message)> onMessage; // empty: none
};

struct claim_simulation_settings {
    std::uint64_t seed = 1;
    duration faultyTime = std::chrono::seconds(25);
    std::size_t voters = 3; // the first of the hosts
    claim_mutation mutation {};
};

class claim_simulation {
public:
    explicit claim_simulation(claim_simulation_settings settings);

    // Faults, then a healed time. The first violation met.
    claim_violation run();

    // Without faults: kills the leader of a settled group. Time until a submission made after that is granted, with the
    // client trying again at another host whenever it is refused.
    duration timeToGrantAfterLeaderLoss();

    // The same with all hosts restarted at once.
    duration timeToGrantAfterRestartOfAll();

    // The same with a planned stop of the leader, or of a voter that follows; it ends once it has left, or after 3 s.
    duration timeToGrantAfterPlannedStop(bool ofLeader);

    // Without faults: planned stops of a leader and of the next one. How many of the two left the group.
    std::uint64_t leavesOfTwoStops();

    // How many planned stops ended with a leave.
    std::uint64_t leaves() const { return m_leaves; }

    std::uint64_t grants() const { return m_holders.size(); }

private:
    struct simulated_host {
        std::string name;
        std::uint64_t incarnation = 0;
        std::unique_ptr<claim_service> service; // empty while down
        duration clockOffset {};
        time_point startedAt;
        time_point frozenUntil;
        bool isStopping = false; // takes no submissions any more
    };

    struct client_submission {
        protocol::submission_id id;
        std::uint32_t submitted = 0; // times
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
    std::map<protocol::submission_id, protocol::claim_coordinator> m_holders; // granted, by anyone's word
    std::map<protocol::submission_id, protocol::claim_coordinator> m_grants; // results that said granted
    time_point m_now;
    time_point m_nextFault;
    time_point m_nextSubmission;
    bool m_isFaulty = true;
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_leaves = 0;
    time_point m_secondStart; // of the messages counted
    std::size_t m_messagesInSecond = 0;
    claim_violation m_violation = claim_violation::none;
};

} // namespace jackdaw::coordination::tests
