// Parsing of a cell host's settings: valid files, and errors that name the key.
#include "apps/cell_host/cell_host_settings.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>

using namespace jackdaw::cell_host;

namespace {

constexpr auto validSettings = R"(
name = "edge-1"
host = "10.0.0.5"
zone = "a"
processor_cores = 0.25
seeds = ["10.0.0.1:80"]
callers = "10.0.0.5:8161"
readiness = "10.0.0.5:8167"
control_mesh_port = 7000
entry_mesh_port = 7001
max_lease_ms = 1000
grace_s = 6.5
metrics_port = 9464
)";

auto read(const std::string& text)
{
    return parseCellHostSettings(text, "test.toml");
}

} // namespace

TEST_CASE("a complete settings file is read, with fractional cores and seconds")
{
    const auto settings = read(validSettings);
    REQUIRE(settings);
    CHECK(settings.value().processorMillicores == 250);
    CHECK(settings.value().gracePeriod == std::chrono::milliseconds(6500));
    CHECK(settings.value().stopTime == std::chrono::milliseconds(50));
    CHECK(settings.value().callerEndpoint.port == 8161);
    CHECK(settings.value().metricsPort == 9464);
}

TEST_CASE("invalid values are errors that name the key")
{
    const std::string text = validSettings;
    for (const auto& [key, wrong] : { std::pair("processor_cores", "processor_cores = 0"), std::pair("max_lease_ms", "max_lease_ms = \"1\""), std::pair("readiness", "readiness = \"x\""), std::pair("zone", "zone = 3"), std::pair("zone", "zone = \"a#1\"") }) {
        std::string changed = text;
        const std::size_t at = changed.find(key);
        changed.replace(at, changed.find('\n', at) - at, wrong);
        const auto settings = read(changed);
        REQUIRE_FALSE(settings);
        CHECK(settings.error().detail.find(key) != std::string::npos);
    }
}
