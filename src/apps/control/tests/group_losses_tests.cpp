// Tests of a whole control group that loses hosts: members with disks of the test's own, joined by links that can be cut.
#include "apps/control/control_node.h"
#include "state/tests/temporary_folder.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <unistd.h>

using namespace jackdaw;
using namespace jackdaw::control;
using coordination::change_outcome;
using state::testing::temporary_folder;
using std::chrono::milliseconds;

namespace {

constexpr duration tick = milliseconds(10);
constexpr duration linkDelay = milliseconds(1);
constexpr duration helloInterval = milliseconds(500);
constexpr duration changeTimeout = milliseconds(900);

// Members live on hosts that say hello to each other, as the processes of a control group do.
class control_group {
public:
    explicit control_group(std::size_t wantedVoters)
        : m_wantedVoters(wantedVoters)
    {
    }

    void addHost(const std::string& host, bool isFounder)
    {
        control_node_settings settings;
        settings.storage = { m_folder.path(host), host, "control", { [](int descriptor, const void* data, std::size_t size) { return ::write(descriptor, data, size); }, [](int) { return 0; } } };
        settings.seed = m_nodes.size() + 1;
        settings.minElectionTimeout = milliseconds(300);
        settings.changeTimeout = changeTimeout;
        settings.wantedVoters = m_wantedVoters;
        REQUIRE(control_storage::create(settings.storage, settings.seed, isFounder));
        auto storage = control_storage::open(settings.storage);
        REQUIRE(storage);
        const control_node_hooks hooks { [this](const coordination::raft_message& message) { m_inFlight.push_back({ m_now + linkDelay, message }); }, {} };
        m_nodes[host] = std::make_unique<control_node>(settings, std::move(storage.value()), hooks, m_now);
    }

    void removeHost(const std::string& host) { m_nodes.erase(host); }

    // What the host sends and what is sent to it is lost from now on.
    void cutOff(const std::string& host) { m_cutOff.insert(host); }

    void pass(duration time)
    {
        for (const time_point end = m_now + time; m_now < end; m_now += tick) {
            if (m_now >= m_nextHello)
                sayHello();
            deliver();
            for (const auto& [host, node] : m_nodes)
                node->advance(m_now);
        }
    }

    control_node& node(const std::string& host) { return *m_nodes.at(host); }

    // Empty when no member that the others can reach leads.
    std::string leader() const
    {
        const auto found = std::find_if(m_nodes.begin(), m_nodes.end(), [this](const auto& item) { return !m_cutOff.contains(item.first) && item.second->isServingLeader(); });
        return found == m_nodes.end() ? std::string() : found->first;
    }

    // Whether the change was accepted within its timeout.
    bool change(std::uint64_t version)
    {
        const std::string host = leader();
        if (host.empty())
            return false;
        bool isAccepted = false;
        coordination::rules_change change;
        change.changeId = "c" + std::to_string(version);
        change.operatorName = "ana";
        change.text = "rules " + std::to_string(version);
        change.explicitVersion = version;
        node(host).change(m_now, change, [&isAccepted](const auto& answer) { isAccepted = answer && answer.value().outcome == change_outcome::accepted; });
        pass(changeTimeout + tick);
        return isAccepted;
    }

private:
    struct sent_message {
        time_point arrivesAt;
        coordination::raft_message message;
    };

    bool isReachable(const std::string& from, const std::string& to) const
    {
        return m_nodes.contains(to) && !m_cutOff.contains(from) && !m_cutOff.contains(to);
    }

    void sayHello()
    {
        m_nextHello = m_now + helloInterval;
        for (const auto& [from, sender] : m_nodes) {
            for (const auto& [to, receiver] : m_nodes) {
                if (from != to && isReachable(from, to))
                    receiver->hearMember(m_now, sender->self());
            }
        }
    }

    void deliver()
    {
        std::vector<coordination::raft_message> due;
        std::erase_if(m_inFlight, [&](const sent_message& sent) {
            if (sent.arrivesAt > m_now)
                return false;
            due.push_back(sent.message);
            return true;
        });
        for (const coordination::raft_message& message : due) {
            if (isReachable(message.from.host, message.to.host))
                node(message.to.host).step(m_now, message);
        }
    }

    const std::size_t m_wantedVoters;
    temporary_folder m_folder;
    std::map<std::string, std::unique_ptr<control_node>> m_nodes; // by host
    std::vector<sent_message> m_inFlight;
    std::set<std::string> m_cutOff;
    time_point m_now;
    time_point m_nextHello;
};

} // namespace

// The leader's host is replaced by an empty one at another address; once that one has caught up, a cut of one more host must
// leave a majority, and what the cut host accepted last must reach the others.
TEST_CASE("a group whose lost host was replaced keeps a majority when the successor is cut off")
{
    constexpr duration catchUpTime = std::chrono::seconds(4); // after which a replaced host is lost no longer
    constexpr duration applyTime = std::chrono::seconds(2); // in which an accepted change is in force
    control_group group(3);
    group.addHost("a1", true);
    group.addHost("b1", false);
    group.addHost("c1", false);
    group.pass(std::chrono::seconds(5));
    REQUIRE(group.node("a1").membership().voters.size() == 3);
    REQUIRE(group.change(1));
    group.removeHost(group.leader());
    group.pass(std::chrono::seconds(1));
    group.addHost("d1", false);
    group.pass(catchUpTime);
    REQUIRE(group.change(2));
    group.cutOff("d1");
    group.pass(applyTime);
    CHECK(group.change(3));
    const std::string leader = group.leader();
    REQUIRE_FALSE(leader.empty());
    CHECK(group.node(leader).rules().inForce().version == 3);
}
