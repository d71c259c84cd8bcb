// Tests of the rules in force on an entry host.
#include "apps/entry/rules_client.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <filesystem>
#include <vector>

using namespace jackdaw;
using entry::rules_client;
using protocol::encodeConfigMessage;
using protocol::rules_push;

namespace {

constexpr const char* heavy = "team.minutes = { weight = 3 } # asked for by Ana Kos\n";
constexpr const char* light = "team.minutes = { weight = 2 } # asked for by Ana Kos\n";

// A client with what it did.
struct fixture {
    explicit fixture(const std::string& file = {})
        : client({ "control/a1" }, file, { [this](const auto& rules) { weights.push_back(rules->teamRule("minutes").weight); }, [this](const auto&, const auto&) { ++sent; }, {} })
    {
    }

    void push(std::uint64_t version, const char* text) { client.take("control/a1", encodeConfigMessage(rules_push { version, text })); }

    std::vector<double> weights;
    int sent = 0;
    rules_client client;
};

} // namespace

TEST_CASE("only a newer version replaces the rules, and each push is acknowledged")
{
    fixture host;
    host.push(4, heavy);
    host.push(3, light);
    host.push(4, light);
    CHECK(host.client.version() == 4);
    CHECK(host.weights == std::vector<double> { 3 });
    CHECK(host.sent == 3);
    host.push(5, "team.minutes = { weight = 1 }\n");
    CHECK(host.client.version() == 4);
    host.push(6, light);
    CHECK(host.weights == std::vector<double> { 3, 2 });
}

TEST_CASE("a peer's newer version makes the host pull, an older one doesn't")
{
    fixture host;
    host.push(4, heavy);
    const int before = host.sent;
    host.client.hearVersion(4);
    CHECK(host.sent == before);
    host.client.hearVersion(5);
    CHECK(host.sent == before + 1);
}

TEST_CASE("rules that a failed disk did not take are stored once it works again")
{
    const std::filesystem::path folder = std::filesystem::temp_directory_path() / ("jackdaw-rules-folder-" + std::to_string(getpid()));
    const std::string file = folder / "rules";
    {
        fixture host(file);
        host.push(7, heavy);
        std::filesystem::create_directory(folder);
        host.client.pull();
    }
    {
        fixture host(file);
        host.client.start();
        CHECK(host.client.version() == 7);
        host.push(8, light);
    }
    fixture host(file);
    host.client.start();
    CHECK(host.client.version() == 8);
    std::filesystem::remove_all(folder);
}

TEST_CASE("stored rules are in force again after a restart")
{
    const std::string file = std::filesystem::temp_directory_path() / ("jackdaw-rules-test-" + std::to_string(getpid()));
    {
        fixture host(file);
        host.push(7, heavy);
    }
    fixture host(file);
    host.client.start();
    CHECK(host.client.version() == 7);
    CHECK(host.weights == std::vector<double> { 3 });
    std::filesystem::remove(file);
}
