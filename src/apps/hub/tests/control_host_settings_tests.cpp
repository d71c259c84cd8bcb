// Parsing of a control host's settings: valid files, and errors that name the key.
#include "apps/hub/control_host_settings.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>

using namespace jackdaw::hub;

namespace {

constexpr auto validSettings = R"(
name = "core-1"
host = "10.0.0.1"
data_folder = "/data"
seeds = ["10.0.0.1:80", "10.0.0.2:80"]
first_start = true
operators = "10.0.0.1:80"
control_mesh_port = 7000
entry_mesh_port = 7001
)";

auto read(const std::string& text)
{
    return parseControlHostSettings(text, "test.toml");
}

} // namespace

TEST_CASE("a complete settings file is read")
{
    const auto settings = read(validSettings);
    REQUIRE(settings);
    CHECK(settings.value().dataFolder == "/data/control");
    CHECK(settings.value().seeds == std::vector<std::string> { "10.0.0.1", "10.0.0.2" });
    CHECK(settings.value().isFirstStart);
    CHECK(settings.value().operatorEndpoint.port == 80);
    CHECK(settings.value().toleratedLosses == 1);
    CHECK(read(std::string(validSettings) + "tolerated_losses = 2\n").value().toleratedLosses == 2);
    CHECK_FALSE(read(std::string(validSettings) + "tolerated_losses = -1\n"));
}

TEST_CASE("the zones of a deployment are read, and a name that can't be ordered is an error")
{
    CHECK(read(validSettings).value().zones.empty());
    CHECK(read(std::string(validSettings) + "zones = [\"zone-a\", \"zone-b\"]\n").value().zones == std::vector<std::string> { "zone-a", "zone-b" });
    for (const std::string name : { "", "a#1", "a/b", "a b" }) {
        CAPTURE(name);
        CHECK(read(std::string(validSettings) + "zones = [\"" + name + "\"]\n").error().detail.find("zones") != std::string::npos);
    }
}

TEST_CASE("missing and unknown keys and invalid values are errors that name the key")
{
    const std::string text = validSettings;
    CHECK(read(text + "colour = 1\n").error().detail.find("colour") != std::string::npos);
    CHECK(read(text.substr(text.find("host"))).error().detail.find("name") != std::string::npos);
    for (const std::string_view wrong : { "operators = \"10.0.0.1\"", "operators = 5" }) {
        std::string changed = text;
        const std::size_t at = changed.find("operators");
        changed.replace(at, changed.find('\n', at) - at, wrong);
        CHECK(read(changed).error().detail.find("operators") != std::string::npos);
    }
    CHECK_FALSE(readControlHostSettings("/nonexistent.toml"));
}

TEST_CASE("an unknown log level is an error")
{
    CHECK(read(std::string(validSettings) + "log_level = \"loud\"\n").error().detail.find("log_level") != std::string::npos);
    CHECK(read(std::string(validSettings) + "log_level = \"warning\"\n").value().logLevel == jackdaw::state::log_level::warning);
}
