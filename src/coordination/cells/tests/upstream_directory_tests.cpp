// Tests of the upstreams that an entry host knows of.
#include "coordination/cells/upstream_directory.h"

#include <doctest/doctest.h>

using namespace jackdaw::cells;
using jackdaw::protocol::upstream_report;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point start { seconds(100) };
const std::vector<std::string> controlHosts { "c1" };

upstream_report makeReport(const std::string& id, std::uint64_t sequence = 1)
{
    return { id, 1000, sequence, "planning", id + ":80", "a", { 32000, 65536, 0 }, {}, false };
}

} // namespace

TEST_CASE("a host that restarted learns of upstreams that can't reach the control hosts")
{
    upstream_directory peer;
    peer.onReport(start, makeReport("u1"));
    peer.onReport(start, makeReport("u2"));
    upstream_directory restarted;
    restarted.onControlUpdate(start + seconds(9), "c1", controlHosts);
    restarted.onReport(start + seconds(9), makeReport("u2", 7));
    REQUIRE(peer.needsList("host", 2));
    const auto changed = restarted.onPeerList(start + seconds(10), peer.list(start + seconds(10)));
    peer.onListSent("host", 2);
    REQUIRE(changed.size() == 1);
    CHECK(changed.front().id == "u1");
    CHECK(restarted.size() == 2);
    CHECK_FALSE(peer.needsList("host", 2));
    CHECK(peer.needsList("host", 3));
    peer.forgetPeer("host");
    CHECK(peer.needsList("host", 2));
}

TEST_CASE("the list of upstreams counts as complete only after another entry host has sent its own")
{
    upstream_directory directory;
    directory.onControlUpdate(start, "c1", controlHosts);
    directory.onControlUpdate(start + seconds(1), "c1", controlHosts);
    CHECK(directory.heardSince(start + seconds(1)) == time_point::max());
    directory.onPeerList(start + seconds(2), {});
    directory.onPeerList(start + seconds(3), {});
    directory.onControlUpdate(start + seconds(3), "c1", controlHosts);
    CHECK(directory.heardSince(start + seconds(3)) == start + seconds(2));
}

TEST_CASE("upstreams known from another host only do not count as reporting, and expire unless they are refreshed")
{
    upstream_directory directory;
    directory.onReport(start, makeReport("u1"));
    directory.onPeerList(start, { { makeReport("u2"), makeReport("u3") }, { 0, 0 } });
    CHECK(directory.countReporting(start + seconds(1), "a", seconds(5)) == 1);
    CHECK(directory.countReporting(start + seconds(6), "a", seconds(5)) == 0);
    directory.refresh(start + seconds(50), std::vector<std::string> { "u3" });
    directory.expire(start + seconds(61));
    REQUIRE(directory.size() == 1);
    CHECK(directory.list(start).reports.front().id == "u3");
}

// Guards against zones that are divided into more cells than their upstreams need: the number of cells never falls.
TEST_CASE("upstreams that start again under another id count twice")
{
    upstream_directory directory;
    directory.onReport(start, makeReport("u1"));
    directory.onReport(start, makeReport("u2"));
    upstream_report reborn = makeReport("u1 reborn");
    reborn.address = makeReport("u1").address;
    directory.onReport(start + seconds(1), reborn);
    CHECK(directory.countReporting(start + seconds(2), "a", seconds(5)) == 2);
    CHECK(directory.countReporting(start + milliseconds(5500), "a", seconds(5)) == 1);
}

TEST_CASE("a zone's list counts as up to date by batches of reports, by another zone's list, or by that of one control host")
{
    upstream_directory directory;
    CHECK(directory.toldUntil("a") == time_point::min());
    const std::vector<std::string> both { "c1", "c2" };
    directory.onControlUpdate(start, "c1", both);
    directory.onControlUpdate(start, "c2", both);
    directory.onZoneNews("c1", "a", start + seconds(3));
    directory.onZoneNews("c2", "b", start + seconds(3));
    CHECK(directory.toldUntil("a") == time_point::min());
    directory.onZoneNews("c2", "a", start + seconds(1));
    CHECK(directory.toldUntil("a") == start + seconds(1));
    directory.onZoneNews("c2", "a", start); // it was on its way for longer
    CHECK(directory.toldUntil("a") == start + seconds(1));
}

TEST_CASE("an older report does not replace a newer one, whoever sends it")
{
    upstream_directory directory;
    CHECK(directory.onReport(start, makeReport("u1", 5)).isNew);
    CHECK_FALSE(directory.onReport(start, makeReport("u1", 4)).isAccepted);
    CHECK(directory.onPeerList(start, { { makeReport("u1", 4) }, { 0 } }).empty());
    CHECK(directory.onPeerList(start, { { makeReport("u1", 6) }, { 0 } }).size() == 1);
    CHECK(directory.list(start, std::vector<std::string> { "u1", "unknown" }).reports.front().sequence == 6);
}

TEST_CASE("entry hosts that exchange lists do not keep an upstream known that has ended")
{
    upstream_directory first;
    upstream_directory second;
    first.onReport(start, makeReport("u1"));
    for (int minute = 0; minute < 30; ++minute) {
        const time_point now = start + seconds(20 * minute);
        (minute % 2 == 0 ? second : first).onPeerList(now, (minute % 2 == 0 ? first : second).list(now));
        first.expire(now);
        second.expire(now);
    }
    CHECK(first.size() == 0);
    CHECK(second.size() == 0);
}

TEST_CASE("a host that has received no update from control hosts for a time does not count its list as complete")
{
    upstream_directory directory;
    directory.onControlUpdate(start, "c1", controlHosts);
    directory.onReport(start, makeReport("u1"));
    directory.onPeerList(start, {});
    CHECK(directory.heardSince(start + seconds(10)) == time_point::max());
    const time_point back = start + seconds(30); // in the meantime, upstreams may have started
    directory.onControlUpdate(back, "c1", controlHosts);
    CHECK(directory.heardSince(back) == back);
}

// After a cut, an upstream that has started may have reported to the one control host that this host does not hear yet.
TEST_CASE("a list counts as complete while one of several control hosts is silent")
{
    upstream_directory directory;
    const std::vector<std::string> both { "c1", "c2" };
    directory.onPeerList(start, {});
    directory.onControlUpdate(start, "c1", both);
    CHECK(directory.heardSince(start) == time_point::max());
    directory.onControlUpdate(start + seconds(1), "c2", both);
    CHECK(directory.heardSince(start + seconds(1)) == start + seconds(1));
    const auto hear = [&](seconds from, seconds until, const char* host, const std::vector<std::string>& named) {
        for (seconds at = from; at <= until; at += seconds(1))
            directory.onControlUpdate(start + at, host, named);
    };
    hear(seconds(2), seconds(10), "c1", controlHosts); // c2 is cut off
    CHECK(directory.heardSince(start + seconds(10)) == time_point::max());
    directory.onControlUpdate(start + seconds(11), "c2", both);
    CHECK(directory.heardSince(start + seconds(11)) == start + seconds(11));
    hear(seconds(12), seconds(80), "c1", controlHosts); // c2 was removed
    directory.expire(start + seconds(80));
    CHECK(directory.heardSince(start + seconds(80)) == start);
}

TEST_CASE("a report of another sender does not hide an upstream's own reports from an entry host")
{
    upstream_directory directory;
    directory.onReport(start, makeReport("u1", 5));
    CHECK_FALSE(directory.onReport(start, makeReport("u1", 1005)).isAccepted);
    CHECK(directory.onPeerList(start, { { makeReport("u1", 1005) }, { 0 } }).empty());
    jackdaw::protocol::upstream_report leaving = makeReport("u1", 6);
    leaving.isLeaving = true;
    CHECK(directory.onReport(start + seconds(1), leaving).isAccepted);
    CHECK(directory.list(start, std::vector<std::string> { "u1" }).reports.front().isLeaving);
}

TEST_CASE("the cells that can run a job have an upstream for each of its steps")
{
    upstream_directory directory;
    for (const char* zone : { "a", "b", "c" }) {
        jackdaw::protocol::upstream_report report = makeReport(std::string("u") + zone);
        report.zone = zone;
        report.labels = { zone };
        report.capacity.millicores = zone == std::string("c") ? 1000 : 32000;
        directory.onReport(start, report);
    }
    jackdaw::protocol::job_order job;
    job.service = "planning";
    job.steps = { { 1, { 8000, 64, 0 }, 60, {}, "", "", 0 }, { 1, { 8000, 64, 0 }, 60, { 0 }, "b", "", 0 } };
    const auto cellOf = [](const jackdaw::protocol::upstream_report& report) { return report.zone; };
    CHECK(directory.cellsThatFit(job, cellOf) == std::vector<std::string> { "b" });
    job.steps[1].requiredLabel = "c";
    CHECK(directory.cellsThatFit(job, cellOf).empty());
    job.steps[1].requiredLabel = "";
    CHECK(directory.cellsThatFit(job, cellOf).size() == 2);
}
