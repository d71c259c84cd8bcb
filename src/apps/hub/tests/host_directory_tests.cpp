// Directory updates that a control host sends to the entry hosts.
#include "apps/hub/host_directory.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace jackdaw::hub;
using jackdaw::protocol::upstream_report;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

upstream_report makeReport(const std::string& id, std::uint64_t sequence, bool isLeaving = false, std::int64_t born = 1000)
{
    upstream_report report;
    report.id = id;
    report.sequence = sequence;
    report.startedUnixMs = born;
    report.isLeaving = isLeaving;
    return report;
}

} // namespace

TEST_CASE("a report is sent once; the report of a leaving upstream is repeated for seconds")
{
    time_point now(seconds(10));
    host_directory directory("c1", {});
    CHECK(directory.recordUpstreamReport(now, makeReport("u1", 1)));
    CHECK(directory.recordUpstreamReport(now, makeReport("u2", 1, true)));
    CHECK(directory.takeBatch(now).update.reports.size() == 2);
    now += milliseconds(100);
    CHECK(directory.takeBatch(now).update.reports == std::vector<upstream_report> { makeReport("u2", 1, true) });
    now += seconds(4);
    CHECK(directory.takeBatch(now).update.reports.empty());
}

TEST_CASE("a host that asks for a zone's upstreams is not told of one whose report was in a batch, which may have been lost")
{
    const time_point now(seconds(10));
    host_directory directory("c1", {});
    upstream_report report = makeReport("u1", 1);
    report.zone = "a";
    directory.recordUpstreamReport(now, report);
    directory.takeBatch(now);
    report.id = "u2";
    directory.recordUpstreamReport(now, report);
    report.id = "u3";
    report.zone = "b";
    directory.recordUpstreamReport(now, report);
    CHECK(directory.updateOfZone(now, "a").reports.size() == 2);
    CHECK(directory.takeBatch(now).update.reports.size() == 2); // those that wait for the next batch are still part of it
    CHECK(directory.updateOfZone(now + seconds(6), "a").reports.empty());
}

TEST_CASE("reports with a lower sequence or from an earlier incarnation are ignored")
{
    const time_point now(seconds(10));
    host_directory directory("c1", {});
    CHECK(directory.recordUpstreamReport(now, makeReport("u1", 5, true)));
    CHECK_FALSE(directory.recordUpstreamReport(now, makeReport("u1", 4)));
    CHECK(directory.recordUpstreamReport(now, makeReport("u1", 1, false, 2000)));
    CHECK_FALSE(directory.recordUpstreamReport(now, makeReport("u1", 6, true, 1000)));
    CHECK_FALSE(directory.takeBatch(now).update.reports.at(0).isLeaving);
}

TEST_CASE("a deregistered upstream is announced as leaving")
{
    const time_point now(seconds(10));
    host_directory directory("c1", {});
    directory.recordUpstreamReport(now, makeReport("u1", 1));
    directory.takeBatch(now);
    directory.deregisterUpstream("u1");
    const upstream_report last = directory.takeBatch(now).update.reports.at(0);
    CHECK(last.isLeaving);
    CHECK(jackdaw::protocol::isNewer(last, makeReport("u1", 1))); // else hosts that hold the earlier report would ignore it
}

TEST_CASE("hosts without messages within the silence limit are no longer listed")
{
    time_point now(seconds(10));
    host_directory directory("c1", {});
    CHECK(directory.recordDirectoryRequest(now, { "e1", 1, 7, false }));
    CHECK_FALSE(directory.recordDirectoryRequest(now, { "e1", 1, 8, false }));
    CHECK(directory.recordControlHeartbeat(now, { "c2", 1, "10.0.0.2:80" }));
    CHECK(directory.configurationVersionOf("e1") == 8);
    CHECK(directory.operatorAddressOf("c2") == "10.0.0.2:80");
    CHECK(directory.takeBatch(now).update.controlHosts == std::vector<std::string> { "c2", "c1" });
    now += seconds(6);
    CHECK(directory.liveEntryHosts(now).empty());
    CHECK(directory.takeBatch(now).update.controlHosts == std::vector<std::string> { "c1" });
    CHECK(directory.recordDirectoryRequest(now, { "e1", 1, 8, false }));
}

TEST_CASE("a restarted entry host gets the reports of all upstreams at once")
{
    time_point now(seconds(10));
    host_directory directory("c1", {});
    directory.recordDirectoryRequest(now, { "e1", 1, 7, false });
    directory.recordUpstreamReport(now, makeReport("u1", 1));
    directory.recordUpstreamReport(now, makeReport("u2", 1, true));
    directory.takeBatch(now);
    now += seconds(1);
    CHECK_FALSE(directory.recordDirectoryRequest(now, { "e1", 1, 7, false }));
    CHECK(directory.recordDirectoryRequest(now, { "e1", 2, 0, false }));
    CHECK(directory.fullUpdate(now).reports == std::vector<upstream_report> { makeReport("u1", 1), makeReport("u2", 1, true) });
    CHECK(directory.fullUpdate(now).entryHosts == std::vector<std::string> { "e1" });
    now += seconds(6);
    CHECK(directory.fullUpdate(now).reports.empty());
}

TEST_CASE("control hosts that are not seeds find each other, also while all seeds are down")
{
    constexpr std::size_t hostCount = 8;
    constexpr int roundsToMeet = 6; // 3 s of heartbeats: the time in which a host counts as silent
    const std::vector<std::string> seeds { "c0", "c1", "c2" };
    std::map<std::string, host_directory> hosts;
    for (std::size_t i = 0; i < hostCount; ++i) {
        const std::string name = "c" + std::to_string(i);
        hosts.emplace(name, host_directory(name, seeds));
    }
    time_point now(seconds(10));
    const auto exchangeHeartbeats = [&](int rounds) {
        for (int round = 0; round < rounds; ++round, now += milliseconds(500)) {
            for (const auto& [name, sender] : hosts) {
                for (const std::string& receiver : sender.heartbeatReceivers(now, {})) {
                    if (const auto found = hosts.find(receiver); found != hosts.end())
                        found->second.recordControlHeartbeat(now, sender.makeHeartbeat(now, 1, name + ":80"));
                }
            }
        }
    };
    exchangeHeartbeats(roundsToMeet);
    for (const auto& item : hosts) {
        CAPTURE(item.first);
        CHECK(item.second.liveControlHosts(now).size() == hostCount - 1);
    }
    for (const std::string& seed : seeds)
        hosts.erase(seed);
    exchangeHeartbeats(4 * roundsToMeet);
    const std::string first = hosts.begin()->first;
    for (const auto& item : hosts) {
        CAPTURE(item.first);
        CHECK(item.second.liveControlHosts(now).size() == hosts.size() - 1);
        CHECK(item.second.operatorAddressOf(first) == (item.first == first ? "" : first + ":80"));
    }
}

TEST_CASE("each report goes to the entry hosts of all zones, or news of an upstream do not")
{
    const auto reportOf = [](const std::string& id, std::uint64_t sequence, const std::string& zone, bool isLeaving = false) {
        upstream_report report = makeReport(id, sequence, isLeaving);
        report.zone = zone;
        return report;
    };
    time_point now(seconds(10));
    host_directory directory("c1", {});
    constexpr std::uint64_t upstreams = 20;
    std::size_t toOwnZone = 0;
    std::size_t toOtherZone = 0;
    bool isLeavingKnown = false;
    for (std::uint64_t round = 1; round <= 10; ++round, now += milliseconds(1500)) {
        for (std::uint64_t number = 0; number < upstreams; ++number)
            directory.recordUpstreamReport(now, reportOf("u" + std::to_string(number), round, "a", round == 10 && number == 7));
        const directory_batch batch = directory.takeBatch(now);
        CHECK(batch.forZone("").reports.size() == upstreams);
        toOwnZone += batch.forZone("a").reports.size();
        const std::vector<upstream_report> other = batch.forZone("b").reports;
        toOtherZone += other.size();
        CHECK(!other.empty()); // the zone still reports
        if (round == 1)
            CHECK(other.size() == upstreams);
        isLeavingKnown = std::any_of(other.begin(), other.end(), [](const upstream_report& report) { return report.isLeaving; });
    }
    CHECK(toOwnZone == 10 * upstreams);
    CHECK(toOtherZone <= 3 * upstreams + 10);
    CHECK(isLeavingKnown);
}

TEST_CASE("the list of all hosts is part of each batch, or is not repeated")
{
    time_point now(seconds(10));
    host_directory directory("c1", {});
    directory.recordDirectoryRequest(now, { "e1", 1, 7, false, "a" });
    CHECK(directory.zoneOf("e1") == "a");
    int lists = 0;
    for (int round = 0; round < 30; ++round, now += milliseconds(100)) {
        directory.recordDirectoryRequest(now, { "e1", 1, 7, false, "a" });
        directory.recordUpstreamReport(now, makeReport("u1", static_cast<std::uint64_t>(round) + 1));
        lists += directory.takeBatch(now).update.entryHosts.empty() ? 0 : 1;
    }
    CHECK(lists == 3);
}

TEST_CASE("an upstream that drains is announced after another sender's report under its id with a higher sequence")
{
    for (const std::uint64_t ahead : { 3, 1000 }) {
        CAPTURE(ahead);
        time_point now(seconds(10));
        host_directory directory("c1", {});
        directory.recordUpstreamReport(now, makeReport("u1", 5));
        directory.recordUpstreamReport(now, makeReport("u1", 5 + ahead));
        directory.takeBatch(now);
        now += seconds(1);
        CHECK(directory.recordUpstreamReport(now, makeReport("u1", 6, true)));
        CHECK(directory.takeBatch(now).update.reports.at(0).isLeaving);
        directory.recordUpstreamReport(now, makeReport("u1", 6 + ahead));
        const auto batch = directory.takeBatch(now);
        CHECK(std::all_of(batch.update.reports.begin(), batch.update.reports.end(), [](const upstream_report& report) { return report.isLeaving; }));
    }
}
