// Tests of which reports under an upstream's id are taken as its own.
#include "protocol/upstream_reports.h"

#include <doctest/doctest.h>

#include <functional>
#include <vector>

using namespace jackdaw::protocol;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds reportInterval(1500);
const time_point start(seconds(100));

upstream_report makeReport(std::uint64_t sequence, bool isLeaving = false)
{
    return { "u1", 1000, sequence, "planning", "10.0.0.1:80", "a", { 16000, 65536, 0 }, { "a", "r1-1" }, isLeaving };
}

upstream_report changed(upstream_report report, const std::function<void(upstream_report&)>& change)
{
    change(report);
    return report;
}

const std::vector<std::function<void(upstream_report&)>> changesOfAnotherSender {
    [](upstream_report& report) { report.address = "10.0.0.2:80"; },
    [](upstream_report& report) { report.service = "other"; },
    [](upstream_report& report) { report.zone = "b"; },
    [](upstream_report& report) { report.labels = { "b" }; },
    [](upstream_report& report) { report.sequence += 1000; },
    [](upstream_report& report) { report.sequence = INT64_MAX; report.isLeaving = true; },
};

} // namespace

TEST_CASE("a report of another sender changes nothing and holds back none of the upstream's own")
{
    for (std::size_t i = 0; i < changesOfAnotherSender.size(); ++i) {
        CAPTURE(i);
        report_history history(makeReport(4), start);
        CHECK_FALSE(history.accept(start + seconds(1), changed(makeReport(5), changesOfAnotherSender[i])));
        CHECK(history.latest() == makeReport(4));
        CHECK(history.accept(start + reportInterval, makeReport(5)));
        CHECK(history.accept(start + 2 * reportInterval, makeReport(6, true)));
        CHECK(history.latest() == makeReport(6, true));
    }
}

TEST_CASE("a report of another sender that comes first is replaced by the upstream's own")
{
    for (std::size_t i = 0; i < changesOfAnotherSender.size(); ++i) {
        CAPTURE(i);
        report_history history(changed(makeReport(5), changesOfAnotherSender[i]), start);
        history.accept(start + seconds(1), makeReport(5));
        history.accept(start + seconds(1) + reportInterval, makeReport(6));
        history.accept(start + seconds(11), makeReport(13));
        CHECK(history.latest().address == makeReport(13).address);
        CHECK(history.latest().sequence == 13);
    }
}

TEST_CASE("draining that was reported stays whatever is reported in the same process lifetime")
{
    report_history history(makeReport(4), start);
    CHECK(history.accept(start, makeReport(12))); // another sender's, not told apart from the upstream's own
    CHECK(history.accept(start + seconds(1), makeReport(5, true)));
    CHECK(history.latest().isLeaving);
    CHECK(history.accept(start + seconds(2), makeReport(13)));
    CHECK(history.latest().isLeaving);
    history.accept(start + seconds(20), makeReport(1));
    CHECK(history.latest().isLeaving);
    upstream_report restarted = makeReport(1);
    restarted.startedUnixMs += 1;
    CHECK(history.accept(start + seconds(21), restarted));
    CHECK_FALSE(history.latest().isLeaving);
}

TEST_CASE("a capacity of another sender is withdrawn by the upstream's next report")
{
    const auto larger = [](upstream_report& report) { report.capacity.millicores *= 4; };
    report_history history(makeReport(4), start);
    CHECK_FALSE(history.accept(start + seconds(1), changed(makeReport(1004), larger)));
    CHECK(history.accept(start + seconds(1), changed(makeReport(8), larger)));
    CHECK(history.accept(start + reportInterval, makeReport(5)));
    CHECK(history.latest() == makeReport(5));
    CHECK_FALSE(history.accept(start + reportInterval, makeReport(4))); // late
}

TEST_CASE("reports that a partition has delayed and those after a long one are taken")
{
    report_history history(makeReport(4), start);
    CHECK(history.accept(start + seconds(9), makeReport(4 + 40)));
    CHECK_FALSE(history.accept(start + seconds(9), makeReport(30)));
    CHECK(history.accept(start + seconds(60), makeReport(400)));
    CHECK(history.accept(start + seconds(71), makeReport(1))); // a restart of an upstream that names no start time
}
