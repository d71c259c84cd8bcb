// Tests of the checked reading of settings.
#include "state/settings_reader.h"

#include <doctest/doctest.h>

using jackdaw::state::settings_reader;

namespace {

settings_reader read(std::string_view text)
{
    auto reader = settings_reader::parse(text, "entry.toml");
    REQUIRE(reader);
    return std::move(reader.value());
}

std::string failureOf(settings_reader& reader)
{
    const auto finished = reader.finish();
    return finished ? std::string("accepted") : finished.error().detail;
}

} // namespace

TEST_CASE("settings that are right are read with their fallbacks")
{
    auto reader = read("name = 'a1'\n[http]\nport = 8080\nratio = 0.5\npeers = ['b', 'c']\ntimeout_ms = 250\n");
    CHECK(reader.requiredString("name") == "a1");
    CHECK(reader.requiredInteger("http.port", 0, 65535) == 8080);
    CHECK(reader.numberOr("http.ratio", 0.1, 0, 1) == doctest::Approx(0.5));
    CHECK(reader.stringsOr("http.peers", {}).size() == 2);
    CHECK(reader.millisecondsOr("http.timeout_ms", {}, {}, std::chrono::seconds(1)) == std::chrono::milliseconds(250));
    CHECK(reader.booleanOr("http.absent", true));
    CHECK(failureOf(reader) == "accepted");
}

TEST_CASE("an unknown key is refused with its line")
{
    auto reader = read("name = 'a1'\n\n[http]\nprot = 1\n");
    reader.requiredString("name");
    reader.integerOr("http.port", 1, 0, 10);
    CHECK(failureOf(reader) == "entry.toml:4: unknown key 'http.prot'");
}

TEST_CASE("a wrong type, a value out of range and an absent key are refused")
{
    auto wrongType = read("name = 3\n");
    wrongType.requiredString("name");
    CHECK(failureOf(wrongType) == "entry.toml:1: 'name' is not a string");
    auto outOfRange = read("\nport = 70000\n");
    outOfRange.requiredInteger("port", 0, 65535);
    CHECK(failureOf(outOfRange) == "entry.toml:2: 'port' is not a whole number from 0 to 65535");
    auto absent = read("");
    absent.requiredString("name");
    CHECK(failureOf(absent) == "entry.toml: 'name' is missing");
}

TEST_CASE("text that is no TOML is refused with its line, and a file that is not there with its path")
{
    const auto broken = settings_reader::parse("a = 1\nb = = 2\n", "x.toml");
    REQUIRE_FALSE(broken);
    CHECK(broken.error().detail.starts_with("x.toml:2: "));
    const auto absent = settings_reader::open("absent/entry.toml");
    REQUIRE_FALSE(absent);
    CHECK(absent.error().detail == "absent/entry.toml: can't be read");
}
