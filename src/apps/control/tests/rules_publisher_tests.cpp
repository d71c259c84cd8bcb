// Tests of bringing accepted rules to the entry hosts.
#include "apps/control/rules_publisher.h"

#include <doctest/doctest.h>

#include <utility>

using namespace jackdaw::control;
using jackdaw::protocol::rules_push;
using jackdaw::protocol::time_point;

TEST_CASE("hosts that are behind get the newest version until they acknowledge it")
{
    std::vector<std::string> pushes;
    rules_publisher publisher({ "a1", "b1" }, [&](const std::string& host, const jackdaw::protocol::config_message& message) {
        pushes.push_back(host + ':' + std::to_string(std::get<rules_push>(message).version));
    });
    const time_point start { std::chrono::seconds(100) };
    const auto take = [&] { return std::exchange(pushes, {}); };

    publisher.publish(4, "text", true);
    CHECK(take() == std::vector<std::string> { "a1:4", "b1:4" });
    publisher.onPull(start, "a1", 4);
    publisher.onPull(start, "stranger", 0);
    CHECK(take().empty());
    publisher.pushAgain(start);
    CHECK(take() == std::vector<std::string> { "b1:4" });
    publisher.onPull(start, "b1", 3);
    CHECK(take() == std::vector<std::string> { "b1:4" });
    publisher.publish(5, "text", false);
    CHECK(take().empty());
    publisher.pushAgain(start + std::chrono::seconds(60)); // both have gone silent: they will pull when they are back
    CHECK(take().empty());
    CHECK(publisher.versions(start).at(0).version == 4);
    CHECK_FALSE(publisher.versions(start + std::chrono::seconds(60)).at(0).isHeard);
}
