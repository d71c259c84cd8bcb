// Tests of the digests by which entry hosts pass announcements on.
#include "apps/entry/announcement_relay.h"

#include <doctest/doctest.h>

using namespace jackdaw;
using namespace std::chrono_literals;
using entry::announcement_relay;
using protocol::time_point;

namespace {

protocol::announcement upstreamOf(const std::string& zone)
{
    return { "u1", 5, "10.0.0.1", 8080, zone, 8, 60, {}, protocol::upstream_state::serving, 3s };
}

} // namespace

TEST_CASE("a digest carries the content once, then its hash, and its age counts from the first hearing")
{
    std::vector<time_point> heard;
    announcement_relay sender({ { "a2", "a", "" }, { "b1", "b", "" } }, [](time_point, const auto&) {});
    announcement_relay receiver({ { "a1", "a", "" } }, [&heard](time_point at, const auto&) { heard.push_back(at); });
    const auto exchange = [&](time_point now) {
        protocol::heartbeat digest;
        sender.fill(now, "a2", digest);
        receiver.take(now, "a1", digest);
        return digest;
    };

    sender.hear(time_point(10s), upstreamOf("a"));
    CHECK(exchange(time_point(11s)).changed.size() == 1);
    CHECK(heard == std::vector<time_point> { time_point(10s) });
    CHECK(exchange(time_point(12s)).refreshed.empty());

    sender.hear(time_point(13s), upstreamOf("a"));
    const auto repeated = exchange(time_point(14s));
    CHECK(repeated.changed.empty());
    CHECK(repeated.refreshed.size() == 1);
    CHECK(heard.back() == time_point(13s));

    protocol::heartbeat other;
    sender.fill(time_point(15s), "b1", other);
    CHECK(other.changed.empty());
}

TEST_CASE("a host that doesn't know a hash asks for its content, and gets it with the age of the first hearing")
{
    std::vector<time_point> heard;
    announcement_relay sender({ { "a2", "a", "" } }, [](time_point, const auto&) {});
    announcement_relay receiver({ { "a1", "a", "" } }, [&heard](time_point at, const auto&) { heard.push_back(at); });
    protocol::heartbeat lost;
    sender.hear(time_point(1s), upstreamOf("a"));
    sender.fill(time_point(1s), "a2", lost);

    protocol::heartbeat digest;
    sender.hear(time_point(10s), upstreamOf("a"));
    sender.fill(time_point(11s), "a2", digest);
    receiver.take(time_point(11s), "a1", digest);
    CHECK(heard.empty());

    protocol::heartbeat question;
    receiver.fill(time_point(12s), "a1", question);
    REQUIRE(question.requestedHashes.size() == 1);
    sender.take(time_point(12s), "a2", question);
    protocol::heartbeat answer;
    sender.fill(time_point(12s), "a2", answer);
    receiver.take(time_point(12s), "a1", answer);
    CHECK(heard == std::vector<time_point> { time_point(10s) });
}
