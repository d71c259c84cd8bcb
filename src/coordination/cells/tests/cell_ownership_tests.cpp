// Tests of cell ownership under starts, crashes, partitions and planned stops of hosts.
#include "coordination/cells/cell_ownership.h"

#include <doctest/doctest.h>

#include <array>
#include <map>
#include <set>

using namespace jackdaw::cells;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace protocol = jackdaw::protocol;

namespace {

constexpr std::int64_t startMs = 1'800'000'000'000;

// Simulates hosts that gossip every 200 ms over links that can be cut.
struct host_group {
    struct group_host {
        std::unique_ptr<cell_ownership> ownership;
        std::map<std::string, std::uint64_t> owned;
        std::map<std::string, bool> areEarlierOwnersLost; // as of the last claim of each cell
        bool isRunning = true;
    };

    time_point now;
    std::map<std::string, group_host> hosts;
    std::set<std::pair<std::string, std::string>> cuts; // from, to
    std::set<std::string> reportingZones; // zones whose upstreams' reports reach all hosts
    std::uint64_t incarnations = 0;
    int taken = 0; // number of claims
    std::map<std::string, std::uint32_t> cellsOfZones; // number of cells of each divided zone
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
                if (sender.ownership->isGossipDue(now, to, isForAll)) {
                    const protocol::host_gossip gossip = sender.ownership->gossip();
                    const bool isKnown = receiver.ownership->knows(from, gossip.incarnation);
                    receiver.ownership->onGossip(now, gossip);
                    ++messages;
                    if (isKnown || cuts.contains({ to, from }))
                        continue;
                    sender.ownership->onGossip(now, receiver.ownership->gossip()); // the answer to a new host
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
            if (change.token != 0)
                host.areEarlierOwnersLost[change.cell] = change.isEarlierOwnerLost;
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

TEST_CASE("the preferred host of each zone claims its cell once")
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

TEST_CASE("hosts that start at the same time claim no cell before they know each other")
{
    host_group group;
    group.add("a1", "a", 250);
    group.add("a2", "a", 250);
    group.add("a3", "a", 250);
    group.pass(seconds(3));
    CHECK(group.ownersOf("a") == names { "a1" });
    CHECK(group.taken == 1);
}

TEST_CASE("the hosts with the most processor share the cells of a large zone, and one that restarts gets its share again")
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

TEST_CASE("a host with less processor gets no cell from a stronger one that owns several")
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

TEST_CASE("hosts that own no cell gossip less often to other zones, and no host is taken for silent")
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

TEST_CASE("a host that has not received the directory claims no cell")
{
    ownership_settings settings;
    settings.host = "a1";
    settings.zone = "a";
    cell_ownership alone(settings);
    CHECK(alone.advance(time_point(seconds(60)), startMs).empty());
}

TEST_CASE("another host takes over from a silent one with a higher token, and keeps the cell when that one returns")
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

TEST_CASE("a new owner takes a lost owner for one that has released the cell, or the other way round")
{
    host_group group;
    group.add("a1", "a", 600);
    group.add("a2", "a", 250);
    group.pass(seconds(3));
    CHECK(group.hosts["a1"].areEarlierOwnersLost.at("a")); // the hosts may all have restarted
    group.hosts["a1"].isRunning = false;
    group.pass(milliseconds(1600));
    CHECK(group.hosts["a2"].areEarlierOwnersLost.at("a"));
    group.hosts["a1"].isRunning = true;
    group.pass(seconds(3));
    group.hosts["a2"].ownership->leave();
    group.pass(milliseconds(400));
    CHECK(group.ownersOf("a") == names { "a1" });
    CHECK_FALSE(group.hosts["a1"].areEarlierOwnersLost.at("a"));
}

TEST_CASE("a planned stop hands over the cell at once")
{
    host_group group;
    group.add("a1", "a", 600);
    group.add("a2", "a", 250);
    group.pass(seconds(3));
    group.hosts["a1"].ownership->leave();
    group.pass(milliseconds(400));
    CHECK(group.ownersOf("a") == names { "a2" });
}

TEST_CASE("a zone whose only host leaves is taken over by a host of another zone at once, and handed back later")
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

TEST_CASE("a partitioned zone keeps its own cells, and no other host claims them")
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

TEST_CASE("a host that is fenced without gossip from the other owner claims again with growing backoff")
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
        // The upstreams refuse the lower token.
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

TEST_CASE("cells of a zone that only one report has named are given up again")
{
    host_group group;
    group.add("a1", "a", 500);
    group.add("b1", "b", 250);
    group.pass(seconds(3));
    group.reportingZones.insert("nowhere");
    group.pass(seconds(5));
    CHECK(group.ownersOf("nowhere") == names { "a1" });
    group.reportingZones.erase("nowhere");
    group.pass(seconds(70));
    CHECK(group.ownersOf("nowhere").empty());
    CHECK(group.ownersOf("a") == names { "a1" });
    CHECK(group.ownersOf("b") == names { "b1" });
}

TEST_CASE("a zone whose only host is lost stays with its new owner while no reports arrive")
{
    host_group group;
    group.add("a1", "a", 500);
    group.add("b1", "b", 250);
    group.pass(seconds(3));
    group.hosts.at("b1").isRunning = false;
    group.pass(seconds(10));
    CHECK(group.ownersOf("b") == names { "a1" });
    group.reportingZones.clear();
    group.pass(seconds(120));
    CHECK(group.ownersOf("b") == names { "a1" });
}

TEST_CASE("every host sends its list of upstreams to each host that starts, or none does")
{
    host_group group;
    for (int number = 0; number < 30; ++number)
        group.add("a" + std::to_string(number), "a", 90);
    for (int number = 0; number < 30; ++number)
        group.add("b" + std::to_string(number), "b", 90);
    group.add("c0", "c", 90);
    group.pass(seconds(6));
    for (const std::string started : { "a3", "a17", "b5", "c0" }) {
        const std::string zone(1, started.front());
        std::set<std::size_t> ranks;
        std::size_t senders = 0;
        std::size_t owners = 0;
        for (auto& [name, host] : group.hosts) {
            if (name == started)
                continue;
            const auto rank = host.ownership->listSenderRank(group.now, started, zone);
            senders += rank ? 1 : 0;
            owners += host.owned.contains(zone) ? 1 : 0;
            if (rank)
                ranks.insert(*rank);
        }
        CHECK(ranks.contains(0));
        CHECK(ranks.contains(1));
        CHECK((ranks.contains(2) || zone == "c")); // only the owners of the two other zones send there
        CHECK(senders <= 3 + owners);
    }
}

// A job that is handed over is looked for in the cell of the division under which it was accepted.
TEST_CASE("an owner keeps its token when the zone is divided further, or gives the cell up")
{
    host_group group;
    group.add("h1", "a", 250);
    group.pass(seconds(2));
    cell_ownership& ownership = *group.hosts.at("h1").ownership;
    const std::uint64_t before = group.hosts.at("h1").owned.at("a");
    REQUIRE(ownership.gossip().claims.size() == 1);
    CHECK(ownership.gossip().claims[0].zoneCellCount == 1);
    CHECK(ownership.ownerOf(group.now, "a")->zoneCellCount == 1);
    ownership.setCells("a", 2);
    CHECK(ownership.gossip().claims[0].zoneCellCount == 1); // of the claim that still holds
    const auto changes = ownership.advance(group.now, startMs + group.now.time_since_epoch().count() / 1000);
    REQUIRE(changes.size() >= 2);
    CHECK(changes[0].cell == "a");
    CHECK(changes[0].token == 0);
    CHECK(changes[1].cell == "a");
    CHECK(changes[1].token > before);
    CHECK_FALSE(changes[1].isEarlierOwnerLost);
    CHECK(ownership.gossip().claims[0].zoneCellCount == 2);
    CHECK(ownership.ownerOf(group.now, "a")->zoneCellCount == 2);
    ownership.setCells("a", 2);
    ownership.setCells("a", 1);
    CHECK(ownership.advance(group.now, startMs + group.now.time_since_epoch().count() / 1000).empty());
    CHECK(ownership.gossip().claims[0].zoneCellCount == 2);
}

TEST_CASE("an owner passes for one that does not divide the zone")
{
    ownership_settings settings;
    settings.host = "h1";
    cell_ownership ownership(settings);
    protocol::host_gossip gossip;
    gossip.host = "h2";
    gossip.claims.push_back({ "a", 7, {}, 2 });
    ownership.onGossip({}, gossip);
    const auto owner = ownership.ownerOf({}, "a");
    REQUIRE(owner);
    CHECK(owner->zoneCellCount == 2);
}

TEST_CASE("gossip that changes a host's life, claims or leaving passes for a repetition")
{
    cell_ownership ownership({ "a1", 1, "a", 90 });
    protocol::host_gossip gossip { "a2", 7, "a", 90, false, 3, { { "a", 10, {} } }, 1 };
    CHECK_FALSE(ownership.isRepetition(gossip));
    ownership.onGossip(time_point(seconds(1)), gossip);
    gossip.claims.front().freeCapacity.push_back({ "service", { 16000 } });
    gossip.configurationVersion = 4;
    CHECK(ownership.isRepetition(gossip));
    const auto changed = [&](auto change) {
        protocol::host_gossip other = gossip;
        change(other);
        return !ownership.isRepetition(other);
    };
    CHECK(changed([](auto& other) { other.incarnation = 8; }));
    CHECK(changed([](auto& other) { other.isLeaving = true; }));
    CHECK(changed([](auto& other) { other.claims.clear(); }));
    CHECK(changed([](auto& other) { other.claims.front().fencingToken = 11; }));
    CHECK(changed([](auto& other) { other.claims.push_back({ "a#1", 12, {} }); }));
}

TEST_CASE("the gossip of a host without a cell grows with the number of hosts")
{
    host_group group;
    constexpr std::array<const char*, 5> zones { "a", "b", "c", "d", "e" };
    for (const char* zone : zones) {
        group.cellsOfZones[zone] = 4;
        for (int number = 0; number < 29; ++number)
            group.add(zone + std::to_string(number), zone, number < 7 ? 300 : 90);
    }
    group.pass(seconds(6));
    std::map<std::string, std::size_t> sentBy;
    constexpr int rounds = 24;
    for (int round = 0; round < rounds; ++round) {
        for (auto& [from, sender] : group.hosts) {
            for (auto& [to, receiver] : group.hosts)
                sentBy[from] += from != to && sender.ownership->isGossipDue(group.now, to, round % 6 == 0) ? 1 : 0;
        }
        group.pass(milliseconds(200));
    }
    constexpr double seconds150ms = rounds * 0.15;
    std::size_t ofOthers = 0;
    std::size_t others = 0;
    for (auto& [name, host] : group.hosts) {
        if (!host.owned.empty())
            continue;
        ofOthers += sentBy[name];
        ++others;
    }
    CHECK(others == 5 * 25);
    CHECK(static_cast<double>(ofOthers) / static_cast<double>(others) / seconds150ms <= 120);
    for (const char* zone : zones) {
        for (auto& [name, host] : group.hosts)
            CHECK(host.ownership->ownerOf(group.now, zone).has_value());
    }
}

TEST_CASE("a zone whose hosts are all lost is taken over late, or a zone that lives is taken over, although few of its hosts are heard")
{
    host_group group;
    for (const char* zone : { "a", "b" }) {
        for (int number = 0; number < 30; ++number)
            group.add(zone + std::to_string(number), zone, number < 7 ? 300 : 90);
    }
    group.pass(seconds(10));
    const int takenBefore = group.taken;
    group.pass(seconds(20));
    CHECK(group.taken == takenBefore);
    for (auto& [name, host] : group.hosts)
        host.isRunning = !name.starts_with("b");
    group.pass(seconds(8));
    const names owners = group.ownersOf("b");
    REQUIRE(owners.size() == 1);
    CHECK(owners.front().starts_with("a"));
}

TEST_CASE("an owner of a large zone and the host next in line are lost together, and the zone waits")
{
    host_group group;
    for (int number = 0; number < 30; ++number)
        group.add("a" + std::to_string(10 + number), "a", number < 7 ? 300 : 90);
    group.pass(seconds(5));
    REQUIRE(group.ownersOf("a") == names { "a10" });
    group.hosts["a10"].isRunning = false;
    group.hosts["a11"].isRunning = false;
    group.pass(milliseconds(1600));
    CHECK(group.ownersOf("a") == names { "a12" });
}

TEST_CASE("a zone is judged by all hosts that were ever heard, and not before they can be expected to be known")
{
    host_group group;
    group.add("h1", "a", 90);
    group.add("h2", "a", 300);
    group.add("h3", "b", 500);
    group.add("h4", "a", 0);
    group.add("h5", "a", 1'000'001);
    group.pass(milliseconds(2500));
    CHECK(group.hosts["h1"].ownership->zoneProcessors(group.now).empty());
    group.pass(seconds(1));
    CHECK(group.hosts["h1"].ownership->zoneProcessors(group.now) == std::vector<std::uint32_t> { 90, 300 });
    group.hosts["h2"].isRunning = false;
    group.pass(seconds(10));
    CHECK(group.hosts["h1"].ownership->zoneProcessors(group.now) == std::vector<std::uint32_t> { 90, 300 });
}
