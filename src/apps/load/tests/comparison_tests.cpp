// Tests of the comparison of result files.
#include "apps/load/comparison.h"

#include <doctest/doctest.h>

using namespace jackdaw::load;

TEST_CASE("figures that both results hold are compared, nested ones too")
{
    const auto changes = compareResults(R"({"jobs": 10, "messages": {"task": 4}, "gone": 1, "name": "x"})",
        R"({"jobs": 20, "messages": {"task": 2}, "new": 1, "name": "y"})");
    REQUIRE(changes);
    REQUIRE(changes.value().size() == 2);
    CHECK(changes.value()[0].name == "jobs");
    CHECK(changes.value()[0].after == 20);
    CHECK(changes.value()[1].name == "messages.task");
    const std::string table = toTable(changes.value());
    CHECK(table.find("+100.0 %") != std::string::npos);
    CHECK(table.find("-50.0 %") != std::string::npos);
}

TEST_CASE("a file that is no result is refused")
{
    CHECK_FALSE(compareResults("[]", "{}"));
    CHECK_FALSE(compareResults("{}", "{"));
}
