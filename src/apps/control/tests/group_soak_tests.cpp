// A soak of control groups under faults from a seed: cuts, losses of power and disks, full disks, replaced hosts, in series and
// overlapping. JACKDAW_SOAK_SEEDS sets the number of seeds.
#include "apps/control/group_log.h"
#include "apps/control/tests/control_group_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <random>

using namespace jackdaw::control;
using jackdaw::control::tests::control_group_simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The users' bounds.
constexpr duration contactTime = seconds(3); // after an event, until which bounds do not hold
constexpr duration acknowledgementBound = seconds(4);
constexpr duration catchUpTime = seconds(4); // a host that is back is lost for so long
constexpr duration recoveryBound = seconds(12); // after all hosts were lost

constexpr duration faultyTime = seconds(60);
constexpr duration submitInterval = milliseconds(100);

struct group_size {
    std::size_t hosts;
    std::size_t toleratedLosses;
};

class group_soak {
public:
    group_soak(std::uint64_t seed, group_size size)
        : m_random(seed)
        , m_size(size)
        , m_group(size.toleratedLosses)
    {
        for (std::size_t i = 0; i < size.hosts; ++i)
            m_group.addHost(newName(), i == 0);
        m_group.pass(seconds(6));
        m_lastEvent = m_group.now();
    }

    // Empty when all promises were kept.
    std::string run()
    {
        const time_point end = m_group.now() + faultyTime;
        while (m_group.now() < end && m_violation.empty()) {
            injectFault();
            submitFor(milliseconds(between(100, 5000)));
        }
        if (happens(0.7))
            loseEverything();
        endFaults();
        m_group.pass(recoveryBound);
        checkNewest();
        submitFor(2 * acknowledgementBound);
        return m_violation;
    }

private:
    std::uint64_t between(std::uint64_t least, std::uint64_t most) { return std::uniform_int_distribution<std::uint64_t>(least, most)(m_random); }
    bool happens(double chance) { return std::bernoulli_distribution(chance)(m_random); }
    std::string newName() { return "h" + std::to_string(10 + m_nextName++); }

    std::vector<std::string> randomHosts(std::size_t count)
    {
        std::vector<std::string> hosts = m_group.hosts();
        std::shuffle(hosts.begin(), hosts.end(), m_random);
        hosts.resize(std::min(count, hosts.size()));
        return hosts;
    }

    void injectFault()
    {
        const std::size_t half = m_size.hosts / 2;
        if (happens(0.4))
            endFaults();
        switch (between(0, 9)) {
        case 0:
        case 1:
            return cut(between(1, half));
        case 2:
            return turnOff(between(1, half));
        case 3:
            return turnOff(m_size.hosts);
        case 4:
            return loseDisks(between(1, m_size.toleratedLosses));
        case 5:
            return replaceHost();
        case 6:
            return transferLeadership();
        case 7:
            return loseEverything();
        default:
            return fillNextDisk();
        }
    }

    void cut(std::size_t count)
    {
        const std::vector<std::string> hosts = randomHosts(count);
        m_cut = { hosts.begin(), hosts.end() };
        m_group.cutOff(m_cut);
        noteEvent("cut off" + text(hosts));
    }

    void turnOff(std::size_t count)
    {
        const std::vector<std::string> hosts = randomHosts(count);
        for (const std::string& host : hosts)
            m_group.powerOff(host);
        noteEvent("off" + text(hosts));
        submitFor(milliseconds(between(100, 4000)));
        turnAllOn();
    }

    void turnAllOn()
    {
        for (const std::string& host : m_group.hosts())
            m_group.powerOn(host);
        noteEvent("all on");
    }

    // A lost disk counts until its host had time to catch up in a group that serves. All else may overlap.
    std::size_t disksToLose() const { return m_size.toleratedLosses - m_lostDisks; }

    void loseDisks(std::size_t count)
    {
        const std::vector<std::string> hosts = randomHosts(std::min(count, disksToLose()));
        for (const std::string& host : hosts) {
            m_group.powerOff(host);
            m_group.loseDisk(host);
        }
        noteEvent("off, disks lost" + text(hosts));
        noteLoss(hosts.size());
        submitFor(milliseconds(between(100, 3000)));
        turnAllOn();
        noteLoss(0);
    }

    void replaceHost()
    {
        if (disksToLose() == 0)
            return;
        const std::string host = randomHosts(1).front();
        const bool isPlanned = happens(0.3);
        if (isPlanned)
            m_group.addHost(newName(), false);
        m_cut.erase(host);
        if (isPlanned)
            submitFor(catchUpTime + contactTime);
        // A host does not count as lost if its successor has had its time in a group that serves.
        const bool countsAsLost = !isPlanned || m_isSuspended;
        if (isPlanned && m_group.isRunning(host) && happens(0.5))
            m_group.stop(host);
        m_group.removeHost(host);
        noteEvent("removed " + host);
        if (!countsAsLost)
            return;
        noteLoss(1);
        submitFor(seconds(1));
        if (!isPlanned)
            m_group.addHost(newName(), false);
        m_group.heal();
        m_cut.clear();
        noteEvent("replaced " + host);
        noteLoss(0);
    }

    void noteLoss(std::size_t disks)
    {
        m_lostDisks += disks;
        m_lossCountsUntil = m_group.now() + catchUpTime;
    }

    void transferLeadership()
    {
        if (const std::string leader = m_group.leader(); !leader.empty())
            m_group.node(leader).transferLeadership(m_group.now());
    }

    // In turn, and never two at once.
    void fillNextDisk()
    {
        if (!m_fullDisk.empty())
            setFull(false);
        std::vector<std::string> hosts = m_group.hosts();
        const auto next = std::upper_bound(hosts.begin(), hosts.end(), m_lastFull);
        m_fullDisk = next == hosts.end() ? hosts.front() : *next;
        m_lastFull = m_fullDisk;
        setFull(true);
    }

    void setFull(bool isFull)
    {
        const std::vector<std::string> hosts = m_group.hosts();
        note((isFull ? "full " : "room on ") + m_fullDisk);
        if (std::find(hosts.begin(), hosts.end(), m_fullDisk) != hosts.end())
            m_group.setDiskFull(m_fullDisk, isFull);
        if (!isFull)
            m_fullDisk.clear();
    }

    void endFaults()
    {
        if (!m_fullDisk.empty())
            setFull(false);
        if (!m_cut.empty())
            noteEvent("healed");
        m_group.heal();
        m_cut.clear();
    }

    void noteEvent(const std::string& event)
    {
        note(event);
        m_lastEvent = m_group.now();
    }

    // Hosts that do not run, are cut off from most others, can't store, or were lost and had no time to catch up.
    std::size_t lostHosts() const
    {
        const std::vector<std::string> hosts = m_group.hosts();
        const auto off = static_cast<std::size_t>(std::ranges::count_if(hosts, [this](const std::string& host) { return !m_group.isOn(host); }));
        return off + std::min(m_cut.size(), hosts.size() - m_cut.size()) + m_lostDisks + (m_fullDisk.empty() ? 0 : 1);
    }

    // With more losses than tolerated the service may be suspended until all hosts have been back for the recovery time.
    void updateSuspension()
    {
        if (m_isSuspended || m_group.now() < m_bindingFrom)
            m_lossCountsUntil = std::max(m_lossCountsUntil, m_group.now() + catchUpTime);
        else if (m_group.now() >= m_lossCountsUntil)
            m_lostDisks = 0;
        const std::size_t lost = lostHosts();
        m_isSuspended = lost > m_size.toleratedLosses || (m_isSuspended && lost > m_lostDisks);
        if (m_isSuspended)
            m_bindingFrom = m_group.now() + recoveryBound;
    }

    void submitFor(duration time)
    {
        for (const time_point end = m_group.now() + time; m_group.now() < end && m_violation.empty();) {
            m_group.submit(++m_version);
            m_group.pass(submitInterval);
            if (m_group.lostVersion() > 0)
                fail("version " + std::to_string(m_group.lostVersion()) + " was accepted and is lost");
            updateSuspension();
            const time_point stableSince = std::max({ m_lastEvent + contactTime, m_group.acceptedAt(), m_bindingFrom });
            if (!m_isSuspended && m_group.now() > stableSince + acknowledgementBound)
                fail("no change accepted for 4 s of a stable core");
        }
    }

    void loseEverything()
    {
        const std::uint64_t before = m_group.acceptedVersion();
        for (int i = 0; i < 100 && m_group.acceptedVersion() == before; ++i) {
            m_group.submit(++m_version);
            m_group.pass(control_group_simulation::tick);
        }
        const std::string leader = m_group.leader();
        std::vector<std::string> hosts = m_group.hosts();
        for (const std::string& host : hosts)
            m_group.powerOff(host);
        // Those that stored the change are lost: the leader first, and hosts on its side of a cut.
        std::shuffle(hosts.begin(), hosts.end(), m_random);
        std::ranges::stable_sort(hosts, {}, [&](const std::string& host) { return host == leader ? 0 : 1 + (m_cut.contains(host) != m_cut.contains(leader)); });
        hosts.resize(disksToLose());
        for (const std::string& host : hosts)
            m_group.loseDisk(host);
        noteEvent("all off, disks lost" + text(hosts));
        noteLoss(hosts.size());
        updateSuspension();
        m_group.pass(seconds(1));
        if (happens(0.5))
            endFaults(); // hosts that were cut off are back together with the empty ones
        turnAllOn();
    }

    void checkNewest()
    {
        const std::string leader = m_group.leader();
        const std::vector<std::string> hosts = m_group.hosts();
        if (leader.empty() || !std::ranges::all_of(hosts, [this](const std::string& host) { return m_group.isRunning(host); }))
            fail("no leader, or a host that can't start, at the end");
        else if (m_group.node(leader).rules().inForce().version < m_group.acceptedVersion())
            fail("version " + std::to_string(m_group.acceptedVersion()) + " was accepted, " + std::to_string(m_group.node(leader).rules().inForce().version) + " is in force at the end");
    }

    void note(const std::string& event)
    {
        const std::chrono::duration<double> time = m_group.now().time_since_epoch();
        m_trace += std::to_string(time.count()) + " s: " + event + '\n';
    }

    // Adds the faults and the state of each member to the violation.
    void fail(const std::string& violation)
    {
        note(violation);
        for (const std::string& host : m_group.hosts()) {
            if (!m_group.isRunning(host)) {
                note(host + (m_group.isOn(host) ? " can't start" : " is off"));
                continue;
            }
            const control_node_status status = m_group.node(host).status();
            note(toText(std::array { m_group.node(host).self() }) + " term " + std::to_string(status.term) + ", commit " + std::to_string(status.commitIndex)
                + ", leader " + (status.leader ? status.leader->host : "none") + ", voters " + toText(status.membership.voters) + ", learners " + toText(status.membership.learners)
                + ", granted " + toText(status.lastElection.granted) + ", refused " + toText(status.lastElection.refused) + ' ' + status.storageFailure);
        }
        m_violation = m_trace;
    }

    static std::string text(const std::vector<std::string>& hosts)
    {
        std::string out;
        for (const std::string& host : hosts)
            out += ' ' + host;
        return out;
    }

    std::mt19937_64 m_random;
    group_size m_size;
    control_group_simulation m_group;
    std::string m_trace;
    std::string m_violation;
    std::uint64_t m_version = 0;
    std::size_t m_nextName = 0;
    std::set<std::string> m_cut;
    std::string m_fullDisk;
    std::string m_lastFull;
    time_point m_lastEvent;
    time_point m_lossCountsUntil;
    std::size_t m_lostDisks = 0; // until then
    bool m_isSuspended = false;
    time_point m_bindingFrom;
};

std::uint64_t seedCount()
{
    const char* wanted = std::getenv("JACKDAW_SOAK_SEEDS");
    return wanted ? std::strtoull(wanted, nullptr, 10) : 8;
}

} // namespace

TEST_CASE("a group under overlapping faults loses no accepted change and accepts changes whenever most hosts are connected")
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        for (const group_size size : { group_size { 3, 1 }, { 5, 1 }, { 6, 2 }, { 8, 2 } }) {
            CAPTURE(seed);
            CAPTURE(size.hosts);
            CHECK(group_soak(seed, size).run() == "");
        }
    }
}
