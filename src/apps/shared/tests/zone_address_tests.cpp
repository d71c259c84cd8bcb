// Tests of addresses in settings.
#include "apps/shared/zone_address.h"

#include <doctest/doctest.h>

using namespace jackdaw::apps;

TEST_CASE("addresses are read with and without a zone")
{
    CHECK(parseZoneAddress("a=127.0.0.1:7101").value() == zone_address { "a", { "127.0.0.1", 7101 } });
    CHECK(parseZoneAddress("127.0.0.1:7101").value() == zone_address { "", { "127.0.0.1", 7101 } });
}

TEST_CASE("an address from another machine is an IP address and a port, not a host name")
{
    for (const char* text : { "127.0.0.1:1", "127.0.0.1:65535", "::1:7101", "fd00::9:7101" })
        CHECK_MESSAGE(parseIpEndpoint(text), text);
    for (const char* text : { "localhost:7101", "upstream.example:7101", "127.0.0:7101", "127.1:7101", "127.0.0.1.:7101", "[::1]:7101", "http://127.0.0.1:7101", " 127.0.0.1:7101", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:" })
        CHECK_MESSAGE(!parseIpEndpoint(text), text);
}

TEST_CASE("addresses that are no ip:port are refused")
{
    for (const char* text : { "", "a=", "127.0.0.1", ":7101", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:71x" })
        CHECK_MESSAGE(!parseZoneAddress(text), text);
}
