// Tests of what an entry host knows of evacuated zones.
#include "coordination/cells/evacuated_zones.h"

#include <doctest/doctest.h>

using namespace jackdaw::cells;
using jackdaw::protocol::evacuation_state;
using std::chrono::milliseconds;

TEST_CASE("an earlier state that arrives late replaces a later one")
{
    evacuated_zones zones;
    const time_point now {};
    CHECK(zones.apply(now, now, { 2, { { "a", true, 0 } } }).size() == 1);
    CHECK(zones.apply(now, now, { 1, { { "a", false, 0 } } }).empty());
    CHECK(zones.apply(now, now, { 2, {} }).empty());
    CHECK(zones.isEvacuated("a"));
    CHECK(zones.number() == 2);
    CHECK(zones.evacuatedCount() == 1);
}

TEST_CASE("a zone that a newer state does not name stays evacuated")
{
    evacuated_zones zones;
    const time_point now {};
    zones.apply(now, now, { 1, { { "a", true, 0 }, { "b", true, 0 } } });
    const auto changes = zones.apply(now, now, { 5, { { "b", true, 0 } } });
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].zone == "a");
    CHECK_FALSE(changes[0].isEvacuated);
    CHECK_FALSE(zones.isEvacuated("a"));
    CHECK(zones.isEvacuated("b"));
}

TEST_CASE("begun jobs start tasks later than 1 s after the host learned of the order, or 2.5 s after it was stored")
{
    const time_point now { std::chrono::seconds(100) };
    for (const std::uint32_t age : { 0U, 700U, 1500U, 1501U, 60000U, 4294967295U }) {
        CAPTURE(age);
        evacuated_zones zones;
        zones.apply(now, now, { 1, { { "a", true, age } } });
        REQUIRE(zones.startsUntil("a"));
        CHECK(*zones.startsUntil("a") == (age <= 1500 ? now + milliseconds(1000) : now));
    }
    evacuated_zones late;
    late.apply(now, now - milliseconds(1000), { 1, { { "a", true, 600 } } }); // may have waited unread for 1 s
    CHECK(*late.startsUntil("a") == now);
    CHECK_FALSE(late.startsUntil("b"));
}

TEST_CASE("a change of another zone gives begun jobs of an evacuated zone new time")
{
    const time_point now { std::chrono::seconds(100) };
    evacuated_zones zones;
    zones.apply(now, now, { 1, { { "a", true, 0 } } });
    const time_point later = now + milliseconds(900);
    CHECK(zones.apply(later, later, { 2, { { "a", true, 900 }, { "b", true, 0 } } }).size() == 1);
    CHECK(*zones.startsUntil("a") == now + milliseconds(1000));
}

TEST_CASE("an order becomes younger when it is passed on")
{
    const time_point now { std::chrono::seconds(100) };
    evacuated_zones first;
    first.apply(now, now, { 4, { { "a", true, 800 }, { "b", false, 4294967295 } } });
    const evacuation_state passed = first.message(now + milliseconds(500));
    CHECK(passed.number == 4);
    REQUIRE(passed.rows.size() == 2);
    CHECK(passed.rows[0].storedMsAgo == 1300);
    CHECK(passed.rows[1].storedMsAgo == 4294967295);
    CHECK(checkEvacuationState(passed));
}

TEST_CASE("an impossible state is accepted")
{
    CHECK(checkEvacuationState({ 0, {} }));
    CHECK_FALSE(checkEvacuationState({ 0, { { "a", true, 0 } } }));
    CHECK_FALSE(checkEvacuationState({ 1, { { "", true, 0 } } }));
    CHECK_FALSE(checkEvacuationState({ 1, { { "a#1", true, 0 } } }));
    CHECK_FALSE(checkEvacuationState({ 1, { { std::string(300, 'a'), true, 0 } } }));
    CHECK_FALSE(checkEvacuationState({ 1, { { "a", true, 0 }, { "a", false, 0 } } }));
    evacuation_state tooMany { 1, {} };
    for (std::size_t i = 0; i <= evacuated_zones::maxZones; ++i)
        tooMany.rows.push_back({ "z" + std::to_string(i), true, 0 });
    CHECK_FALSE(checkEvacuationState(tooMany));
}
