// A control group in virtual time: members with folders of their own, joined by links that can be cut, on hosts that lose power,
// lose their disks or have them full.
#pragma once

#include "apps/control/control_node.h"
#include "apps/control/planned_stop.h"
#include "state/tests/temporary_folder.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jackdaw::control::tests {

class control_group_simulation {
public:
    static constexpr duration tick = std::chrono::milliseconds(10);
    static constexpr duration changeTimeout = std::chrono::milliseconds(900);

    explicit control_group_simulation(std::size_t toleratedLosses);

    // A new host, with an empty disk.
    void addHost(const std::string& host, bool isFounder);

    // The host is gone for good.
    void removeHost(const std::string& host);

    // What a host writes after its disk is full fails; its files stay as they are.
    void setDiskFull(const std::string& host, bool isFull);

    // A planned stop, after which the host is off.
    void stop(const std::string& host);

    void powerOff(const std::string& host);
    void loseDisk(const std::string& host); // of a host without power
    void powerOn(const std::string& host);
    bool isOn(const std::string& host) const { return m_hosts.at(host).isOn; }

    // False without power and while the member can't start; it is started again twice a second.
    bool isRunning(const std::string& host) const { return m_hosts.at(host).node != nullptr; }

    // The hosts reach each other and nobody else, and the others reach each other. Replaces an earlier cut.
    void cutOff(std::set<std::string> hosts);
    void heal() { m_cutOff.clear(); }

    void pass(duration time);
    time_point now() const { return m_now; }

    control_node& node(const std::string& host) { return *m_hosts.at(host).node; }
    std::vector<std::string> hosts() const;

    // A serving leader; empty when there is none. Of two, the one with the higher term.
    std::string leader() const;

    // Hands a change to the leader, without waiting for the outcome.
    void submit(std::uint64_t version);
    std::uint64_t acceptedVersion() const { return m_results->accepted; } // the highest that was acknowledged

    // An acknowledged version that a leader did not have when it took a change that it acknowledged later; 0: none.
    std::uint64_t lostVersion() const { return m_results->lost; }
    time_point acceptedAt() const { return m_acceptedAt; }

    // Whether the change was accepted within its time-out.
    bool change(std::uint64_t version);

private:
    struct simulated_host {
        bool isOn = true;
        std::unique_ptr<control_node> node; // null while not running
        bool isDiskFull = false;
        std::optional<planned_stop> plannedStop;
        time_point nextHello; // hosts send theirs at different times
    };

    struct change_results {
        std::uint64_t accepted = 0;
        std::uint64_t lost = 0;
    };

    struct sent_message {
        time_point arrivesAt;
        coordination::raft_message message;
    };

    control_node_settings settingsOf(const std::string& host);
    void start(const std::string& host);
    void startAll();
    bool isReachable(const std::string& from, const std::string& to) const;
    void sayHello();
    void deliver();

    const std::size_t m_toleratedLosses;
    state::testing::temporary_folder m_folder;
    std::map<std::string, simulated_host> m_hosts;
    std::vector<sent_message> m_inFlight;
    std::set<std::string> m_cutOff;
    std::uint64_t m_nextIncarnation = 1;
    std::shared_ptr<change_results> m_results = std::make_shared<change_results>();
    std::uint64_t m_seenAccepted = 0;
    time_point m_acceptedAt;
    time_point m_now;
    time_point m_nextStart;
};

} // namespace jackdaw::control::tests
