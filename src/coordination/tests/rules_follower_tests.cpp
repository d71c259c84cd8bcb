// Tests of an entry host's side of the configuration.
#include "coordination/rules_follower.h"

#include <doctest/doctest.h>

#include <utility>

using namespace jackdaw::coordination;
using jackdaw::protocol::config_message;
using jackdaw::protocol::rules_pull;
using jackdaw::protocol::rules_push;

TEST_CASE("only newer rules are applied, pushes are acknowledged, and pulls are sent on hints and periodically")
{
    std::vector<std::string> pulls;
    std::vector<std::uint64_t> applied;
    rules_follower follower({ "x", "y" }, std::chrono::seconds(1),
        { [&](const std::string& host, const config_message& message) { pulls.push_back(host + ':' + std::to_string(std::get<rules_pull>(message).version)); },
            [&](const std::shared_ptr<const rules>& inForce) { applied.push_back(inForce->version); } });
    const auto take = [&] { return std::exchange(pulls, {}); };
    const std::string text = "retry.budget = 0.2 # asked for by Ana Kos\n";
    const time_point start { std::chrono::seconds(100) };

    follower.advance(start);
    follower.advance(start);
    CHECK(take() == std::vector<std::string> { "x:0" });
    CHECK(follower.onPush("x", rules_push { 3, text }));
    CHECK(follower.onPush("y", rules_push { 2, text }));
    CHECK(take() == std::vector<std::string> { "x:3", "y:3" });
    CHECK_FALSE(follower.onPush("x", rules_push { 4, "rule.of.a.newer.release = 1 # asked for by Ana Kos\n" }));
    CHECK(follower.version() == 3);
    CHECK(take().empty());

    const time_point later = start + std::chrono::milliseconds(500);
    follower.onHint(later, 3);
    follower.onHint(later, 5);
    follower.onHint(later, 5); // from each host's heartbeat
    CHECK(take() == std::vector<std::string> { "y:3" });
    follower.advance(later + std::chrono::seconds(1));
    CHECK(take() == std::vector<std::string> { "x:3" });
    CHECK(follower.onPush({}, rules_push { 5, text }));
    CHECK(take().empty());
    CHECK(applied == std::vector<std::uint64_t> { 3, 5 });
}
