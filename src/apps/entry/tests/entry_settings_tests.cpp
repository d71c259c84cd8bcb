// Tests of the settings of jackdaw-entry.
#include "apps/entry/entry_settings.h"

#include <doctest/doctest.h>

using jackdaw::entry::parseEntrySettings;

namespace {

std::string failureOf(std::string_view text)
{
    const auto settings = parseEntrySettings(text, "entry.toml");
    return settings ? std::string("accepted") : settings.error().detail;
}

} // namespace

TEST_CASE("a settings file with peers is read")
{
    const auto settings = parseEntrySettings("host = 'a1'\nzone = 'a'\nzones = ['a', 'b']\n"
                                             "peers = ['b1@b=127.0.0.1:7103']\ncontrols = ['a1=127.0.0.1:7201']\n[callers]\nport = 7001\n[drain]\nlag_ms = 50\n",
        "entry.toml");
    REQUIRE(settings);
    CHECK(settings.value().callers.port == 7001);
    CHECK(settings.value().drainLag == std::chrono::milliseconds(50));
    REQUIRE(settings.value().controls.size() == 1);
    CHECK(settings.value().controls[0].address == "127.0.0.1:7201");
    CHECK(settings.value().hostsOfZone("b") == std::vector<std::string> { "b1" });
    REQUIRE(settings.value().peers.size() == 1);
    CHECK(settings.value().peers[0].host == "b1");
    CHECK(settings.value().peers[0].zone == "b");
    CHECK(settings.value().peers[0].address == "127.0.0.1:7103");
}

TEST_CASE("wrong settings are refused with file, line and reason")
{
    CHECK(failureOf("zone = 'a'\n").find("'host' is missing") != std::string::npos);
    CHECK(failureOf("host = 'a1'\nzone = 'a'\n[callers]\nport = 70000\n").find("entry.toml:4") == 0);
    CHECK(failureOf("host = 'a1'\nzone = 'c'\nzones = ['a']\n").find("entry.toml:2: 'zone' is not one of") == 0);
    CHECK(failureOf("host = 'a1'\nzone = 'a'\npeers = ['a2']\n").find("entry.toml:3") == 0);
    CHECK(failureOf("host = 'a1'\nzone = 'a'\npeers = ['a1@a=127.0.0.1:1']\n").find("twice") != std::string::npos);
    CHECK(failureOf("host = 'a1'\nzone = 'a'\nspeed = 1\n").find("entry.toml:3: unknown key 'speed'") == 0);
    CHECK(failureOf("host = 'a1'\nzone = 'a'\n[log]\nlevel = 'loud'\n").find("entry.toml:4") == 0);
}
