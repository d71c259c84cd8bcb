// Hosts, links and disks of the simulation.
#include "apps/control/tests/control_group_simulation.h"

#include "apps/control/storage_opening.h"
#include "state/data_folder.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>

#include <unistd.h>

namespace jackdaw::control::tests {

using coordination::change_outcome;
using std::chrono::milliseconds;

namespace {

    constexpr duration linkDelay = milliseconds(1);
    constexpr duration helloInterval = milliseconds(500);
    constexpr duration helloStagger = milliseconds(110); // between hosts that start at the same time; their first hello is lost
    constexpr duration startInterval = milliseconds(500);

} // namespace

control_group_simulation::control_group_simulation(std::size_t toleratedLosses)
    : m_toleratedLosses(toleratedLosses)
{
}

control_node_settings control_group_simulation::settingsOf(const std::string& host)
{
    control_node_settings settings;
    simulated_host& owner = m_hosts[host];
    // A full disk takes the beginning of a write, and its syncs fail too.
    const auto write = [&owner](int descriptor, const void* data, std::size_t size) -> ssize_t {
        const std::size_t room = owner.isDiskFull ? size / 2 : size;
        errno = ENOSPC;
        return room > 0 ? ::write(descriptor, data, room) : -1;
    };
    const auto sync = [&owner](int) {
        errno = ENOSPC;
        return owner.isDiskFull ? -1 : 0;
    };
    settings.storage = { m_folder.path(host), host, "control", { write, sync } };
    settings.minElectionTimeout = milliseconds(300);
    settings.changeTimeout = changeTimeout;
    settings.toleratedLosses = m_toleratedLosses;
    settings.removesSilentVoters = true;
    return settings;
}

void control_group_simulation::addHost(const std::string& host, bool isFounder)
{
    REQUIRE(control_storage::create(settingsOf(host).storage, m_nextIncarnation++, isFounder));
    start(host);
}

void control_group_simulation::start(const std::string& host)
{
    control_node_settings settings = settingsOf(host);
    settings.seed = m_nextIncarnation++;
    if (!state::data_folder::exists(settings.storage.folder) && !control_storage::create(settings.storage, m_nextIncarnation++, false))
        return;
    auto storage = openStorage(settings.storage);
    if (!storage)
        return;
    const control_node_hooks hooks { [this](const coordination::raft_message& message) { m_inFlight.push_back({ m_now + linkDelay, message }); }, {} };
    m_hosts[host].nextHello = m_now + helloInterval + helloStagger * (settings.seed % (helloInterval / helloStagger + 1));
    m_hosts[host].node = std::make_unique<control_node>(settings, std::move(storage.value()), hooks, m_now);
}

void control_group_simulation::removeHost(const std::string& host)
{
    m_hosts.erase(host);
}

void control_group_simulation::setDiskFull(const std::string& host, bool isFull)
{
    m_hosts.at(host).isDiskFull = isFull;
}

void control_group_simulation::stop(const std::string& host)
{
    std::optional<planned_stop>& plannedStop = m_hosts.at(host).plannedStop;
    plannedStop.emplace(node(host), m_now);
    do
        pass(planned_stop::checkInterval);
    while (!plannedStop->mayEnd(m_now, {}));
    plannedStop.reset();
    powerOff(host);
}

void control_group_simulation::powerOff(const std::string& host)
{
    m_hosts.at(host).node.reset();
    m_hosts.at(host).isOn = false;
}

void control_group_simulation::loseDisk(const std::string& host)
{
    REQUIRE_FALSE(isOn(host));
    std::filesystem::remove_all(m_folder.path(host));
}

void control_group_simulation::powerOn(const std::string& host)
{
    if (isOn(host))
        return;
    m_hosts.at(host).isOn = true;
    start(host);
}

void control_group_simulation::startAll()
{
    m_nextStart = m_now + startInterval;
    for (const std::string& host : hosts()) {
        if (isOn(host) && !isRunning(host))
            start(host);
    }
}

void control_group_simulation::cutOff(std::set<std::string> hosts)
{
    m_cutOff = std::move(hosts);
}

void control_group_simulation::pass(duration time)
{
    for (const time_point end = m_now + time; m_now < end; m_now += tick) {
        if (m_now >= m_nextStart)
            startAll();
        sayHello();
        deliver();
        for (const auto& [host, simulated] : m_hosts) {
            if (simulated.node && simulated.node->nextTimer() <= m_now)
                simulated.node->advance(m_now);
        }
        if (m_results->accepted > m_seenAccepted)
            m_acceptedAt = m_now;
        m_seenAccepted = m_results->accepted;
    }
}

std::vector<std::string> control_group_simulation::hosts() const
{
    std::vector<std::string> out;
    for (const auto& [host, simulated] : m_hosts)
        out.push_back(host);
    return out;
}

std::string control_group_simulation::leader() const
{
    std::string found;
    for (const auto& [host, simulated] : m_hosts) {
        const bool isServing = simulated.node && simulated.node->isServingLeader();
        if (isServing && (found.empty() || simulated.node->status().term > m_hosts.at(found).node->status().term))
            found = host;
    }
    return found;
}

void control_group_simulation::submit(std::uint64_t version)
{
    const std::string host = leader();
    if (host.empty())
        return;
    coordination::rules_change change;
    change.changeId = "c" + std::to_string(version);
    change.operatorName = "ana";
    change.text = "rules " + std::to_string(version);
    change.explicitVersion = version;
    const std::uint64_t acceptedBefore = m_results->accepted;
    const bool isBehind = node(host).rules().inForce().version < acceptedBefore;
    node(host).change(m_now, change, [results = m_results, version, acceptedBefore, isBehind](const auto& answer) {
        if (!answer || answer.value().outcome != change_outcome::accepted)
            return;
        results->accepted = std::max(results->accepted, version);
        if (isBehind)
            results->lost = acceptedBefore;
    });
}

bool control_group_simulation::change(std::uint64_t version)
{
    submit(version);
    pass(changeTimeout + tick);
    return acceptedVersion() >= version;
}

bool control_group_simulation::isReachable(const std::string& from, const std::string& to) const
{
    const auto target = m_hosts.find(to);
    return target != m_hosts.end() && target->second.node && m_hosts.contains(from) && m_cutOff.contains(from) == m_cutOff.contains(to);
}

void control_group_simulation::sayHello()
{
    for (auto& [from, sender] : m_hosts) {
        const bool isLeaving = sender.plannedStop && sender.plannedStop->hasAskedToLeave();
        if (!sender.node || isLeaving || m_now < sender.nextHello)
            continue;
        sender.nextHello += helloInterval;
        for (const auto& [to, receiver] : m_hosts) {
            if (from != to && isReachable(from, to))
                receiver.node->hearMember(m_now, sender.node->self());
        }
    }
}

void control_group_simulation::deliver()
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

} // namespace jackdaw::control::tests
