// Tests of what a host knows of its peers.
#include "apps/entry/peer_table.h"

#include <doctest/doctest.h>

using namespace jackdaw;
using entry::peer_table;

namespace {

constexpr protocol::duration silenceLimit = std::chrono::milliseconds(1500);
constexpr protocol::time_point heardAt { std::chrono::seconds(100) };

peer_table makeTable()
{
    peer_table table({ { "a2", "a", "127.0.0.1:1" }, { "b1", "b", "127.0.0.1:2" } }, "a", silenceLimit);
    CHECK(table.hear(heardAt, "a2", 1, {}));
    CHECK(table.hear(heardAt, "b1", 1, {}));
    return table;
}

} // namespace

TEST_CASE("a peer counts as lost after the silence limit, one of another zone after that of its slower heartbeats")
{
    const peer_table table = makeTable();
    const auto justBefore = std::chrono::microseconds(1);
    const auto otherZoneLimit = silenceLimit * entry::otherZoneHeartbeatRatio;
    CHECK(table.isAlive(heardAt + silenceLimit - justBefore, "a2"));
    CHECK_FALSE(table.isAlive(heardAt + silenceLimit, "a2"));
    CHECK(table.isAlive(heardAt + otherZoneLimit - justBefore, "b1"));
    CHECK_FALSE(table.isAlive(heardAt + otherZoneLimit, "b1"));
}

TEST_CASE("a host that is not among the peers is not taken, and one that was never heard is not alive")
{
    peer_table table({ { "a2", "a", "127.0.0.1:1" } }, "a", silenceLimit);
    CHECK_FALSE(table.hear(heardAt, "x", 1, {}));
    CHECK_FALSE(table.isAlive(heardAt, "a2"));
}

TEST_CASE("a peer that drains gets no new jobs")
{
    peer_table table = makeTable();
    CHECK(table.hostsFor(heardAt, "b") == std::vector<std::string> { "b1" });
    protocol::heartbeat draining;
    draining.isDraining = true;
    table.hear(heardAt, "b1", 1, draining);
    CHECK(table.hostsFor(heardAt, "b").empty());
}
