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
