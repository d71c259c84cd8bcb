// Tests of the replicated evacuation orders: order of the log, repetition, snapshots and data of the previous release.
#include "coordination/rules_store.h"
#include "coordination/zone_evacuations.h"
#include "protocol/msgpack_codec.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <tuple>

using namespace jackdaw::coordination;
using jackdaw::protocol::packMessage;

namespace {

rules_change makeOrder(const std::string& id, const std::string& zone, bool isEvacuated, std::int64_t unixMs = 1000)
{
    rules_change change;
    change.changeId = id;
    change.operatorName = "operator";
    change.evacuation = zone_order { zone, isEvacuated, unixMs };
    return change;
}

// Changes reach the store through the log, so the encoding is included.
change_outcome applyLogged(rules_store& store, const rules_change& change)
{
    return store.apply(decodeRulesChange(encodeRulesChange(change)).value()).outcome;
}

} // namespace

TEST_CASE("a repeated order is refused, or counts as another change")
{
    rules_store store;
    CHECK(applyLogged(store, makeOrder("1", "b", false)) == change_outcome::accepted);
    CHECK(store.evacuations().number() == 0);
    for (int i = 0; i < 3; ++i) {
        CHECK(applyLogged(store, makeOrder("h/" + std::to_string(i), "a", true, 1000 + i)) == change_outcome::accepted);
        CHECK(store.evacuations().number() == 1);
        CHECK(store.evacuations().zones().front().orderedUnixMs == 1000); // a resent order is no younger
    }
    CHECK(store.evacuations().isEvacuated("a"));
    CHECK_FALSE(store.evacuations().isEvacuated("b"));
    CHECK(store.inForce().version == 0);
}

TEST_CASE("start and finish orders of one zone take effect in another order than that of the log")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        rules_store first;
        rules_store second;
        std::map<std::string, bool> last;
        std::uint64_t changes = 0;
        for (int i = 0; i < 60; ++i) {
            const std::string zone(1, static_cast<char>('a' + random() % 3));
            const rules_change order = makeOrder("c" + std::to_string(i), zone, random() % 2 == 0, i);
            changes += last[zone] == order.evacuation->isEvacuated ? 0 : 1;
            last[zone] = order.evacuation->isEvacuated;
            CHECK(applyLogged(first, order) == change_outcome::accepted);
            CHECK(applyLogged(second, order) == change_outcome::accepted);
            if (random() % 5 == 0)
                second = std::move(rules_store::restore(second.snapshot()).value());
            CHECK(first.evacuations() == second.evacuations());
            CHECK(first.evacuations().isEvacuated(zone) == last[zone]);
            CHECK(first.evacuations().number() == changes);
        }
    }
}

TEST_CASE("a change of the configuration loses the evacuations, or an order the configuration")
{
    rules_store store;
    rules_change configuration;
    configuration.changeId = "c";
    configuration.text = "text";
    configuration.explicitVersion = 5;
    applyLogged(store, configuration);
    applyLogged(store, makeOrder("1", "a", true));
    configuration.explicitVersion = 6;
    applyLogged(store, configuration);
    CHECK(store.inForce().version == 6);
    CHECK(store.text() == "text");
    CHECK(store.evacuations().isEvacuated("a"));
    const auto restored = rules_store::restore(store.snapshot());
    REQUIRE(restored);
    CHECK(restored.value().inForce().version == 6);
    CHECK(restored.value().evacuations() == store.evacuations());
}

TEST_CASE("a snapshot or a log entry of the previous release can't be read")
{
    using version = std::tuple<std::uint64_t, std::string, std::string>;
    const auto restored = rules_store::restore(packMessage(std::tuple(1U, version { 4, "c", "o" }, std::string("text"), std::vector<int>(), std::vector<int>())));
    REQUIRE(restored);
    CHECK(restored.value().inForce().version == 4);
    CHECK(restored.value().evacuations() == zone_evacuations());
    const auto change = decodeRulesChange(packMessage(std::tuple(1U, std::string("c"), 0U, std::string("o"), std::string("text"), std::vector<int>(), true, 7U)));
    REQUIRE(change);
    CHECK_FALSE(change.value().evacuation);
    CHECK(change.value().explicitVersion == 7);
}

TEST_CASE("a control host of the previous release takes an order for a change of the configuration")
{
    rules_change asEarlierRelease = decodeRulesChange(encodeRulesChange(makeOrder("1", "a", true))).value();
    asEarlierRelease.evacuation.reset(); // it ignores the trailing fields
    rules_store store;
    CHECK(store.apply(asEarlierRelease).outcome == change_outcome::accepted);
    CHECK(store.inForce().version == 0);
    CHECK(store.text().empty());
}

TEST_CASE("a damaged order or snapshot crashes the decoder, or is accepted when it is cut off")
{
    rules_store store;
    const rules_change order = makeOrder("1", "a", true);
    store.apply(order);
    CHECK(decodeRulesChange(encodeRulesChange(order)).value().evacuation == order.evacuation);
    for (const std::string& whole : { encodeRulesChange(order), store.snapshot() }) {
        for (std::size_t offset = 0; offset < whole.size(); ++offset) {
            CHECK_FALSE(decodeRulesChange(std::string_view(whole).substr(0, offset)));
            CHECK_FALSE(rules_store::restore(std::string_view(whole).substr(0, offset)));
            std::string damaged = whole;
            damaged[offset] = static_cast<char>(damaged[offset] ^ 0xff);
            static_cast<void>(decodeRulesChange(damaged));
            static_cast<void>(rules_store::restore(damaged));
        }
    }
    CHECK_FALSE(zone_evacuations::restore(1, { { "a", true, 2, 0 } }));
    CHECK_FALSE(zone_evacuations::restore(2, { { "a", true, 1, 0 }, { "a", true, 2, 0 } }));
    CHECK_FALSE(zone_evacuations::restore(2, { { "a", true, 2, 0 }, { "b", true, 1, 0 } }));
}

TEST_CASE("the number of kept zones grows without a bound")
{
    zone_evacuations zones;
    for (std::size_t i = 0; i < zone_evacuations::maxZones; ++i)
        CHECK(zones.apply({ "z" + std::to_string(i), true, 0 }) == zone_order_outcome::changed);
    CHECK(zones.apply({ "other", true, 0 }) == zone_order_outcome::refused);
    CHECK(zones.apply({ "z3", false, 0 }) == zone_order_outcome::changed);
    CHECK(zones.apply({ "other", true, 0 }) == zone_order_outcome::changed);
    CHECK(zones.zones().size() == zone_evacuations::maxZones);
    CHECK(zones.isEvacuated("z4"));
    CHECK_FALSE(zones.isEvacuated("z3"));
}

TEST_CASE("a name that is no segment of a path or a cell's name passes for a zone's")
{
    for (const char* name : { "a", "zone-1", "eu_west.1a" })
        CHECK(isZoneName(name));
    for (const char* name : { "", "a#1", "a/b", "a b", "a%20b", "\xc3\xa4" })
        CHECK_FALSE(isZoneName(name));
    CHECK_FALSE(isZoneName(std::string(256, 'a')));
}
