// Tests of a whole control group that loses hosts and disks.
#include "apps/control/tests/control_group_simulation.h"

#include <doctest/doctest.h>

#include <random>

using namespace jackdaw::control;
using jackdaw::control::tests::control_group_simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The leader's host is replaced by an empty one at another address; once that one has caught up, a cut of one more host must
// leave a majority, and what the cut host accepted last must reach the others.
TEST_CASE("a group whose lost host was replaced keeps a majority when the successor is cut off")
{
    constexpr duration catchUpTime = seconds(4); // after which a replaced host is lost no longer
    constexpr duration applyTime = seconds(2); // in which an accepted change is in force
    control_group_simulation group(1);
    group.addHost("a1", true);
    group.addHost("b1", false);
    group.addHost("c1", false);
    group.pass(seconds(5));
    REQUIRE(group.node("a1").membership().voters.size() == 3);
    REQUIRE(group.change(1));
    group.removeHost(group.leader());
    group.pass(seconds(1));
    group.addHost("d1", false);
    group.pass(catchUpTime);
    REQUIRE(group.change(2));
    group.cutOff({ "d1" });
    group.pass(applyTime);
    CHECK(group.change(3));
    const std::string leader = group.leader();
    REQUIRE_FALSE(leader.empty());
    CHECK(leader != "d1");
    CHECK(group.node(leader).rules().inForce().version == 3);
}

namespace {

constexpr duration catchUpTime = seconds(4); // the successor's; a removed host counts as lost no longer after it
constexpr duration recoveryBound = seconds(12);

enum class end_of_host {
    stopped,
    killed
};

// Three hosts and a successor that has caught up, beside which a change was accepted. The host to be replaced is then gone for good.
void replaceHost(control_group_simulation& group, const std::string& replaced, end_of_host how)
{
    for (const std::string host : { "a1", "b1", "c1" })
        group.addHost(host, host == "a1");
    group.pass(seconds(5));
    group.addHost("d1", false);
    group.pass(catchUpTime);
    REQUIRE(group.change(1));
    if (how == end_of_host::stopped)
        group.stop(replaced);
    group.removeHost(replaced);
}

void checkServes(control_group_simulation& group)
{
    CHECK(group.change(2));
    const std::string leader = group.leader();
    CHECK_FALSE(leader.empty());
    if (leader.empty())
        return;
    CHECK(group.node(leader).rules().inForce().version == 2);
    CHECK(group.node(leader).membership().voters.size() == 3);
}

} // namespace

// Guards against a group that is one voter larger while a host is replaced, and has no majority once another one loses its disk.
TEST_CASE("a planned replacement and a lost disk end the group for good")
{
    const std::vector<std::string> hosts { "a1", "b1", "c1", "d1" };
    for (const end_of_host how : { end_of_host::stopped, end_of_host::killed }) {
        for (const int gapMs : { 0, 100, 400, 1000, 2500, 4500 }) {
            for (const std::string& replaced : { hosts[0], hosts[1], hosts[2] }) {
                for (const std::string& other : hosts) {
                    if (other == replaced)
                        continue;
                    CAPTURE(how == end_of_host::stopped);
                    CAPTURE(gapMs);
                    CAPTURE(replaced);
                    CAPTURE(other);
                    control_group_simulation group(1);
                    replaceHost(group, replaced, how);
                    group.pass(milliseconds(gapMs));
                    group.powerOff(other);
                    group.loseDisk(other);
                    group.pass(seconds(2));
                    group.powerOn(other);
                    group.pass(recoveryBound);
                    checkServes(group);
                }
            }
        }
    }
}

// Guards against a stopped host whose vote still counts when another one is gone for good, and never comes back as a new one.
TEST_CASE("a planned stop of a replaced host and the end of another one end the group for good")
{
    const std::vector<std::string> hosts { "a1", "b1", "c1", "d1" };
    for (const std::string& replaced : { hosts[0], hosts[1], hosts[2] }) {
        for (const std::string& other : hosts) {
            if (other == replaced)
                continue;
            CAPTURE(replaced);
            CAPTURE(other);
            control_group_simulation group(1);
            replaceHost(group, replaced, end_of_host::stopped);
            group.removeHost(other);
            group.pass(seconds(1));
            group.addHost("e1", false);
            group.pass(recoveryBound);
            checkServes(group);
        }
    }
}

// Guards against a vote that is given up at each planned stop, also where the group needs it.
TEST_CASE("a planned restart with the disk leaves a group with too few voters, or without the host")
{
    constexpr duration returnBound = seconds(3); // after which calm hosts are in touch
    struct group_kind {
        std::size_t hosts;
        std::size_t toleratedLosses;
        std::size_t votersWithoutHost;
    };
    for (const group_kind kind : { group_kind { 3, 1, 3 }, { 4, 1, 3 }, { 5, 1, 5 }, { 6, 1, 6 }, { 5, 2, 5 }, { 6, 2, 5 } }) {
        CAPTURE(kind.hosts);
        CAPTURE(kind.toleratedLosses);
        control_group_simulation group(kind.toleratedLosses);
        for (std::size_t i = 0; i < kind.hosts; ++i)
            group.addHost("h" + std::to_string(i), i == 0);
        group.pass(seconds(5));
        std::uint64_t version = 0;
        for (const std::string& host : group.hosts()) {
            CAPTURE(host);
            group.stop(host);
            const std::string leader = group.leader();
            REQUIRE_FALSE(leader.empty());
            CHECK(group.node(leader).membership().voters.size() == kind.votersWithoutHost);
            CHECK(group.change(++version));
            group.powerOn(host);
            group.pass(returnBound);
            CHECK(group.node(host).membership().voters.size() == kind.hosts);
            CHECK(group.change(++version));
        }
    }
}

// Five of eight hosts are away, three by a cut and then two without power, for long enough to count as silent.
TEST_CASE("a change that was accepted while hosts were away survives the loss of two disks")
{
    constexpr std::size_t toleratedLosses = 2;
    const std::vector<std::string> connected { "h0", "h1", "h2" };
    for (const std::string& keptHost : connected) {
        CAPTURE(keptHost);
        control_group_simulation group(toleratedLosses);
        for (std::size_t i = 0; i < 8; ++i)
            group.addHost("h" + std::to_string(i), i == 0);
        group.pass(seconds(5));
        group.cutOff({ "h5", "h6", "h7" });
        group.pass(seconds(5));
        REQUIRE(group.change(1));
        group.powerOff("h3");
        group.powerOff("h4");
        group.pass(seconds(5));
        REQUIRE(group.change(2));
        for (const std::string& host : group.hosts())
            group.powerOff(host);
        for (const std::string& host : connected) {
            if (host != keptHost)
                group.loseDisk(host);
        }
        group.heal();
        for (const std::string& host : group.hosts())
            group.powerOn(host);
        group.pass(seconds(5));
        const std::string leader = group.leader();
        CHECK_FALSE(leader.empty());
        if (!leader.empty())
            CHECK(group.node(leader).rules().inForce().version == 2);
    }
}

TEST_CASE("a leader that has just started does not remove voters that it has not heard yet")
{
    constexpr std::size_t hostCount = 8;
    constexpr int restarts = 20;
    control_group_simulation group(1);
    for (std::size_t i = 0; i < hostCount; ++i)
        group.addHost("h" + std::to_string(i), i == 0);
    group.pass(seconds(5));
    for (int i = 0; i < restarts; ++i) {
        CAPTURE(i);
        for (const std::string& host : group.hosts())
            group.powerOff(host);
        for (const std::string& host : group.hosts())
            group.powerOn(host);
        std::size_t fewestVoters = hostCount;
        for (const time_point end = group.now() + seconds(2); group.now() < end; group.pass(control_group_simulation::tick)) {
            if (const std::string leader = group.leader(); !leader.empty())
                fewestVoters = std::min(fewestVoters, group.node(leader).membership().voters.size());
        }
        CHECK(fewestVoters == hostCount);
    }
}

// In turn, each disk has no room for a time, and the next one none from then on. Each change must be accepted within the bound.
TEST_CASE("disks that are full one after another do not stop the group")
{
    constexpr duration acknowledgementBound = seconds(4);
    for (const std::size_t hostCount : { 3, 5, 8 }) {
        for (duration fullTime = seconds(2); fullTime <= seconds(7); fullTime += milliseconds(300)) {
            CAPTURE(hostCount);
            CAPTURE(fullTime.count());
            control_group_simulation group((hostCount + 1) / 4);
            for (std::size_t i = 0; i < hostCount; ++i)
                group.addHost("h" + std::to_string(i), i == 0);
            group.pass(seconds(5));
            std::uint64_t version = 0;
            REQUIRE(group.change(++version));
            duration longestGap {};
            const auto submitFor = [&](duration time) {
                for (const time_point end = group.now() + time; group.now() < end;) {
                    group.submit(++version);
                    group.pass(milliseconds(100));
                    longestGap = std::max(longestGap, group.now() - group.acceptedAt());
                }
            };
            for (const std::string& host : group.hosts()) {
                group.setDiskFull(host, true);
                submitFor(fullTime);
                group.setDiskFull(host, false);
            }
            submitFor(seconds(10));
            CHECK(longestGap <= acknowledgementBound);
            CHECK(group.node(group.leader()).rules().inForce().version == group.acceptedVersion());
        }
    }
}
