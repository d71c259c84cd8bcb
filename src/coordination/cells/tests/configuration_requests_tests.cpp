// Replays versions of a large configuration that follow each other on a slow link.
#include "coordination/cells/configuration_requests.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <set>
#include <string>

using namespace jackdaw::cells;
using jackdaw::protocol::time_point;
using std::chrono::milliseconds;

namespace {

constexpr int copyMs = 130; // 305 KB on 19 Mbit/s
constexpr int requestMs = 500;
constexpr int gossipMs = 29; // between any two of 31 hosts that gossip each 900 ms
constexpr int boundMs = 2500;
constexpr std::array<int, 4> versionsAt { 0, 150, 1090, 2640 }; // version 1 is the first
const std::set<std::string> controlHosts { "1", "2", "3", "4", "5", "6" };

struct played_host {
    configuration_requests requests { "2a" };
    std::uint64_t own = 0;
    std::deque<std::uint64_t> copies; // on the link
    int copyLeft = 0;
    int received = 0;

    void receive()
    {
        if (copies.empty())
            return;
        if (copyLeft == 0)
            copyLeft = copyMs;
        if (--copyLeft > 0)
            return;
        own = std::max(own, copies.front());
        copies.pop_front();
        ++received;
    }
};

// Returns the longest time from a version to its being in force.
int playVersions(bool isPushLost, const std::set<std::string>& lostControlHosts, int& copies)
{
    played_host host;
    std::uint64_t newest = 0;
    int longest = 0;
    std::array<int, versionsAt.size()> inForceAt {};
    for (int ms = 0; ms < 10'000; ++ms) {
        const time_point now(std::chrono::seconds(100) + milliseconds(ms));
        if (newest < versionsAt.size() && ms == versionsAt[newest]) {
            ++newest;
            if (!isPushLost)
                host.copies.push_back(newest);
        }
        if (ms % requestMs == 60 && !lostControlHosts.contains(host.requests.nextControlHost(now, controlHosts)) && host.own < newest)
            host.copies.push_back(newest);
        if (ms % gossipMs == 0 && host.requests.isPullDue(now, host.own, newest))
            host.copies.push_back(newest);
        const std::uint64_t before = host.own;
        host.receive();
        for (std::uint64_t version = before; version < host.own; ++version)
            inForceAt[version] = ms;
    }
    REQUIRE(host.own == versionsAt.size());
    for (std::size_t i = 0; i < versionsAt.size(); ++i)
        longest = std::max(longest, inForceAt[i] - versionsAt[i]);
    copies = host.received;
    return longest;
}

} // namespace

TEST_CASE("versions that follow each other come late because a host asks for more copies than its link carries")
{
    int copies = 0;
    CHECK(playVersions(false, {}, copies) < boundMs);
    CHECK(copies <= 2 * static_cast<int>(versionsAt.size()));
    CHECK(playVersions(true, {}, copies) < boundMs);
    CHECK(playVersions(true, { "3", "4" }, copies) < boundMs);
}

TEST_CASE("a host that hears of a version asks at once, though the leader's copy is under way, or asks each host that names it")
{
    configuration_requests requests("");
    time_point now(std::chrono::seconds(100));
    CHECK_FALSE(requests.isPullDue(now, 5, 5));
    CHECK_FALSE(requests.isPullDue(now, 5, 6));
    now += milliseconds(200);
    CHECK_FALSE(requests.isPullDue(now, 5, 7));
    now += milliseconds(100);
    CHECK(requests.isPullDue(now, 5, 7));
    CHECK_FALSE(requests.isPullDue(now, 5, 7));
    now += milliseconds(300);
    CHECK(requests.isPullDue(now, 5, 7));
    now += milliseconds(300);
    CHECK(requests.nextControlHost(now, controlHosts) == "1");
    CHECK_FALSE(requests.isPullDue(now, 5, 7));
    CHECK_FALSE(requests.isPullDue(now + milliseconds(400), 7, 8));
}

TEST_CASE("a host asks the same control host again and again, or none when one is lost")
{
    configuration_requests requests("3a");
    const time_point now(std::chrono::seconds(100));
    CHECK(requests.nextControlHost(now, {}).empty());
    std::string asked;
    for (int i = 0; i < 4; ++i)
        asked += requests.nextControlHost(now, controlHosts);
    asked += requests.nextControlHost(now, { "2", "4" });
    CHECK(asked == "45612");
}
