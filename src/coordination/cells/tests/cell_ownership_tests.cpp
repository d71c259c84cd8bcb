// Which host owns a cell, under starts, losses, cuts and planned stops.
#include "coordination/cells/cell_ownership.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace jackdaw::cells;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::int64_t startMs = 1'800'000'000'000;

// Hosts that gossip every 200 ms over links that can be cut.
struct host_group {
    struct group_host {
        std::unique_ptr<cell_ownership> ownership;
        std::map<std::string, std::uint64_t> owned;
        bool isRunning = true;
    };

    time_point now;
    std::map<std::string, group_host> hosts;
    std::set<std::pair<std::string, std::string>> cuts; // from, to
    std::set<std::string> reportingZones; // whose upstreams are heard by all hosts
    std::uint64_t incarnations = 0;
    int taken = 0; // ownership changes to a new owner
    std::map<std::string, std::uint32_t> cellsOfZones; // of divided zones
    int rounds = 0;
    int messages = 0;

    void add(const std::string& name, const std::string& zone, std::uint32_t processor)
    {
        ownership_settings settings;
        settings.host = name;
        settings.zone = zone;
        settings.processorMillicores = processor;
        settings.incarnation = ++incarnations;
        hosts[name].ownership = std::make_unique<cell_ownership>(settings);
        hosts[name].owned.clear();
        hosts[name].ownership->onDirectoryKnown(now);
        for (const auto& [divided, cells] : cellsOfZones)
            hosts[name].ownership->setCells(divided, cells);
        reportingZones.insert(zone);
    }

    void cut(const std::string& left, const std::string& right)
    {
        cuts.insert({ left, right });
        cuts.insert({ right, left });
    }

    void pass(duration length)
    {
        for (duration done {}; done < length; done += milliseconds(50)) {
            now += milliseconds(50);
            if (now.time_since_epoch() % milliseconds(200) == duration::zero())
                gossip();
            for (auto& [name, host] : hosts) {
                if (host.isRunning)
                    advance(host);
            }
        }
    }

    void gossip()
    {
        const bool isForAll = ++rounds % 4 == 0;
        for (auto& [from, sender] : hosts) {
            for (auto& [to, receiver] : hosts) {
                if (from == to || !sender.isRunning || !receiver.isRunning || cuts.contains({ from, to }))
                    continue;
                if (isForAll || sender.ownership->needsFrequentGossip(to)) {
                    receiver.ownership->onGossip(now, sender.ownership->gossip());
                    ++messages;
                }
            }
        }
    }

    void advance(group_host& host)
    {
        for (const std::string& zone : reportingZones)
            host.ownership->onZoneReport(now, zone);
        for (const ownership_change& change : host.ownership->advance(now, startMs + now.time_since_epoch().count() / 1000)) {
            if (change.token == 0)
                host.owned.erase(change.cell);
            else
                host.owned[change.cell] = change.token;
            taken += change.token != 0 ? 1 : 0;
        }
    }

    std::vector<std::string> ownersOf(const std::string& cell) const
    {
        std::vector<std::string> out;
        for (const auto& [name, host] : hosts) {
            if (host.isRunning && host.owned.contains(cell))
                out.push_back(name);
        }
        return out;
    }
};

using names = std::vector<std::string>;

} // namespace

TEST_CASE("each zone's best host claims its cell, once")
{
    host_group group;
    group.add("a1", "a", 190);
    group.add("a2", "a", 620);
    group.add("b1", "b", 250);
    group.add("b2", "b", 250);
    group.pass(seconds(5));
    CHECK(group.ownersOf("a") == names { "a2" });
    CHECK(group.ownersOf("b") == names { "b1" });
    CHECK(group.taken == 2);
}

TEST_CASE("hosts that start together claim nothing before they know of each other")
{
    host_group group;
    group.add("a1", "a", 250);
    group.add("a2", "a", 250);
    group.add("a3", "a", 250);
    group.pass(seconds(3));
    CHECK(group.ownersOf("a") == names { "a1" });
    CHECK(group.taken == 1);
}

TEST_CASE("the strongest hosts share the cells of a large zone, and one that comes back takes its part again")
{
    host_group group;
    group.cellsOfZones["a"] = 2;
    group.add("a1", "a", 300);
    group.add("a2", "a", 300);
    group.add("a3", "a", 90);
    group.pass(seconds(3));
    CHECK(group.ownersOf("a") == names { "a1" });
    CHECK(group.ownersOf("a#1") == names { "a2" });
    group.hosts["a2"].isRunning = false;
    group.pass(seconds(3));
    CHECK(group.ownersOf("a") == names { "a1" });
    CHECK(group.ownersOf("a#1") == names { "a1" });
    group.add("a2", "a", 300);
    group.hosts["a2"].isRunning = true;
    group.pass(seconds(5));
    CHECK(group.ownersOf("a") == names { "a1" });
    CHECK(group.ownersOf("a#1") == names { "a2" });
    const int before = group.taken;
    group.pass(seconds(20));
    CHECK(group.taken == before);
}

TEST_CASE("a weaker host takes no cell off a strong one that serves several")
{
    host_group group;
    group.cellsOfZones["a"] = 2;
    group.add("a1", "a", 300);
    group.add("a2", "a", 90);
    group.pass(seconds(10));
    CHECK(group.ownersOf("a") == names { "a1" });
    CHECK(group.ownersOf("a#1") == names { "a1" });
    CHECK(group.taken == 2);
}

TEST_CASE("another zone's host takes over all cells of a zone without hosts")
{
    host_group group;
    group.cellsOfZones["a"] = 2;
    group.add("a1", "a", 300);
    group.add("b1", "b", 300);
    group.pass(seconds(3));
    group.hosts["a1"].isRunning = false;
    group.pass(seconds(8));
    CHECK(group.ownersOf("a") == names { "b1" });
    CHECK(group.ownersOf("a#1") == names { "b1" });
}

TEST_CASE("hosts that own nothing speak less often to those of other zones, and nobody counts as silent")
{
    host_group group;
    for (const std::string zone : { "a", "b", "c" }) {
        for (int i = 0; i < 10; ++i)
            group.add(zone + std::to_string(i), zone, 90);
    }
    group.pass(seconds(5));
    group.messages = 0;
    for (int i = 0; i < 100; ++i) {
        group.pass(milliseconds(200));
        for (const auto& [name, host] : group.hosts)
            REQUIRE(host.ownership->silentHosts(group.now).empty());
    }
    constexpr int everybodyToEverybody = 100 * 30 * 29;
    CHECK(group.messages < everybodyToEverybody * 6 / 10);
    CHECK(group.taken == 3);
}

TEST_CASE("a host that has not heard the directory claims nothing")
{
    ownership_settings settings;
    settings.host = "a1";
    settings.zone = "a";
    cell_ownership alone(settings);
    CHECK(alone.advance(time_point(seconds(60)), startMs).empty());
}

TEST_CASE("the next host takes over from a silent one with a higher token, and the old one gives way when it is back")
{
    host_group group;
    group.add("a1", "a", 600);
    group.add("a2", "a", 250);
    group.pass(seconds(3));
    const std::uint64_t before = group.hosts["a1"].owned.at("a");
    group.hosts["a1"].isRunning = false;
    group.pass(milliseconds(1600));
    CHECK(group.ownersOf("a") == names { "a2" });
    CHECK(group.hosts["a2"].owned.at("a") > before);
    group.hosts["a1"].isRunning = true;
    group.pass(seconds(3));
    CHECK(group.ownersOf("a") == names { "a2" });
}

TEST_CASE("a planned stop hands the cell over at once")
{
    host_group group;
    group.add("a1", "a", 600);
    group.add("a2", "a", 250);
    group.pass(seconds(3));
    group.hosts["a1"].ownership->leave();
    group.pass(milliseconds(400));
    CHECK(group.ownersOf("a") == names { "a2" });
}

TEST_CASE("a zone whose only host leaves is taken over by another zone at once, and given back")
{
    host_group group;
    group.add("a1", "a", 250);
    group.add("b1", "b", 250);
    group.pass(seconds(3));
    group.hosts["a1"].ownership->leave();
    group.pass(milliseconds(600));
    CHECK(group.ownersOf("a") == names { "b1" });
    group.add("a1", "a", 250);
    group.pass(seconds(3));
    CHECK(group.ownersOf("a") == names { "a1" });
    CHECK(group.ownersOf("b") == names { "b1" });
}

TEST_CASE("a zone that is cut off keeps its own cells, and nobody else claims them")
{
    host_group group;
    group.add("a1", "a", 250);
    group.add("b1", "b", 250);
    group.add("b2", "b", 250);
    group.pass(seconds(3));
    const int before = group.taken;
    group.cut("a1", "b1");
    group.cut("a1", "b2");
    group.reportingZones.clear();
    group.pass(seconds(10));
    CHECK(group.ownersOf("a") == names { "a1" });
    CHECK(group.ownersOf("b") == names { "b1" });
    CHECK(group.taken == before);
}

TEST_CASE("a host that is fenced without a word from the other owner claims again, ever more rarely")
{
    host_group group;
    group.add("a1", "a", 250);
    group.add("a2", "a", 250);
    group.pass(seconds(3));
    group.cut("a1", "a2");
    group.pass(seconds(2));
    CHECK(group.ownersOf("a").size() == 2);
    const int before = group.taken;
    for (int i = 0; i < 200; ++i) {
        // The lower token is refused by the upstreams.
        auto& left = group.hosts["a1"];
        auto& right = group.hosts["a2"];
        if (left.owned.contains("a") && right.owned.contains("a")) {
            auto& loser = left.owned.at("a") < right.owned.at("a") ? left : right;
            loser.ownership->onFenced(group.now, "a");
        }
        group.pass(milliseconds(50));
    }
    CHECK(group.taken - before <= 8);
    group.cuts.clear();
    group.pass(seconds(10));
    CHECK(group.ownersOf("a").size() == 1);
}
