// Tests of the cell message encoding: round trips and invalid bytes.
#include "protocol/cell_messages.h"

#include <doctest/doctest.h>
#include <msgpack.hpp>

#include <tuple>

using namespace jackdaw::protocol;

TEST_CASE("a job order is unchanged after encoding and decoding")
{
    job_order order;
    order.id = "5c0e7a21d94b36f8";
    order.spec = std::string("a\0b", 3);
    order.steps = { { 8, { 14000, 64, 0 }, 60, {}, "a", "r1-3", 2 }, { 1, { 500, 64, 1 }, 20, { 0 }, "", "", 0 } };
    order.slackFactor = 1.6;
    order.doneTasks = { "5c0e7a21d94b36f8.0.0.3" };
    order.failures = { { "5c0e7a21d94b36f8.0.0.4", 2, 1 } };
    order.earlierCellCount = 2;
    order.earlierToken = 99;
    const auto back = decodeCellMessage(encodeCellMessage(order));
    REQUIRE(back);
    CHECK(std::get<job_order>(back.value()) == order);
}

TEST_CASE("answers and gossip are unchanged after encoding and decoding")
{
    const order_answer answer { "1", 7, 1, job_outcome::moved, "full", 250, "zone-b", {}, { { "1.0.0.0", 2, 1 } } };
    const auto answerBack = decodeCellMessage(encodeCellMessage(answer));
    REQUIRE(answerBack);
    CHECK(std::get<order_answer>(answerBack.value()) == answer);
    const host_gossip gossip { "10.0.0.1", 7, "zone-a", 250, true, 3, { { "zone-a", 99, { { "planning", { 4000, 2000 } } }, 2 } }, 5, 6, 80 };
    const auto gossipBack = decodeCellMessage(encodeCellMessage(gossip));
    REQUIRE(gossipBack);
    CHECK(std::get<host_gossip>(gossipBack.value()) == gossip);
}

TEST_CASE("a heartbeat of an earlier release, which names no heard hosts, is read")
{
    const control_heartbeat heartbeat { "10.0.0.1", 7, "10.0.0.1:80", { "10.0.0.2" } };
    const std::string bytes = encodeCellMessage(heartbeat);
    CHECK(std::get<control_heartbeat>(decodeCellMessage(bytes).value()) == heartbeat);
    msgpack::sbuffer earlier;
    msgpack::pack(earlier, std::tuple(cell_message(heartbeat).index(), std::tuple(heartbeat.host, heartbeat.incarnation, heartbeat.operatorAddress)));
    const auto decoded = decodeCellMessage({ earlier.data(), earlier.size() });
    REQUIRE(decoded);
    CHECK(std::get<control_heartbeat>(decoded.value()) == control_heartbeat { "10.0.0.1", 7, "10.0.0.1:80" });
}

TEST_CASE("a claim of an earlier release, which names no number of cells, passes for one of an undivided zone")
{
    host_gossip gossip { "10.0.0.1", 7, "zone-a", 250, false, 3, { { "zone-a", 99, {} } } };
    msgpack::sbuffer earlier;
    const auto claims = std::vector { std::tuple(gossip.claims[0].cell, gossip.claims[0].fencingToken, gossip.claims[0].freeCapacity) };
    msgpack::pack(earlier, std::tuple(cell_message(gossip).index(), std::tuple(gossip.host, gossip.incarnation, gossip.zone, gossip.processorMillicores, gossip.isLeaving, gossip.configurationVersion, claims)));
    const auto decoded = decodeCellMessage({ earlier.data(), earlier.size() });
    REQUIRE(decoded);
    CHECK(std::get<host_gossip>(decoded.value()) == gossip);
    CHECK(std::get<host_gossip>(decoded.value()).claims[0].zoneCellCount == 1);
}

TEST_CASE("evacuations are unchanged after encoding and decoding, and an earlier release's messages name none")
{
    const evacuation_state state { 3, { { "zone-a", true, 700 }, { "zone-b", false, 4294967295 } } };
    CHECK(std::get<evacuation_state>(decodeCellMessage(encodeCellMessage(state)).value()) == state);
    host_gossip gossip { "10.0.0.1", 7, "zone-a", 250, false, 3, {}, 1, 5 };
    CHECK(std::get<host_gossip>(decodeCellMessage(encodeCellMessage(gossip)).value()).evacuationNumber == 5);
    directory_request request { "10.0.0.1", 7, 3, false, "zone-a", {}, 0, true, 6 };
    CHECK(std::get<directory_request>(decodeCellMessage(encodeCellMessage(request)).value()) == request);
    msgpack::sbuffer earlier;
    msgpack::pack(earlier, std::tuple(cell_message(request).index(), std::tuple(request.host, request.incarnation, request.configurationVersion)));
    CHECK(std::get<directory_request>(decodeCellMessage({ earlier.data(), earlier.size() }).value()).evacuationNumber == 0);
}

TEST_CASE("truncated messages and unknown kinds are rejected")
{
    const std::string state = encodeCellMessage(evacuation_state { 3, { { "zone-a", true, 700 } } });
    for (std::size_t length = 0; length < state.size(); ++length)
        CHECK_FALSE(decodeCellMessage(std::string_view(state).substr(0, length)));
    const std::string bytes = encodeCellMessage(job_cancel { "5c0e7a21d94b36f8", 0 });
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodeCellMessage(std::string_view(bytes).substr(0, length)));
    std::string unknown = bytes;
    unknown[1] = 0x7f;
    CHECK_FALSE(decodeCellMessage(unknown));
}
