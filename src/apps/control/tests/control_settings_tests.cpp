// Tests of the settings and the operators' tokens of jackdaw-control.
#include "apps/control/control_settings.h"
#include "apps/control/operator_tokens.h"

#include <doctest/doctest.h>

using namespace jackdaw::control;

namespace {

const std::string minimal = "host = 'a1'\ndata_folder = '/d'\noperators.tokens_file = '/t'\n";

std::string refusalOf(const std::string& text)
{
    const auto settings = parseControlSettings(text, "c.toml");
    return settings ? "accepted" : settings.error().detail;
}

} // namespace

TEST_CASE("settings are read, and wrong ones are refused with their line")
{
    const auto settings = parseControlSettings(minimal + "members = ['a1=127.0.0.1:1,127.0.0.1:2']\nentries = ['e1=127.0.0.1:3']\n", "c.toml");
    REQUIRE(settings);
    CHECK(settings.value().self().operators.port == 2);
    CHECK(settings.value().entries.at(0).mesh.port == 3);
    CHECK(settings.value().group == "control");

    CHECK(refusalOf(minimal + "members = ['b1=127.0.0.1:1,127.0.0.1:2']\n").starts_with("c.toml:4: 'members' does not name this host"));
    CHECK(refusalOf(minimal + "members = ['a1=127.0.0.1:1']\n").starts_with("c.toml:4: 'members' holds"));
    CHECK(refusalOf(minimal + "members = ['a1=127.0.0.1:1,127.0.0.1:2', 'a1=127.0.0.1:1,127.0.0.1:2']\n").starts_with("c.toml:4: 'members' names 'a1' twice"));
    CHECK(refusalOf(minimal + "members = ['a1=127.0.0.1:1,127.0.0.1:2']\nraft.election_timeout_ms = 200\n").starts_with("c.toml:5: "));
}

TEST_CASE("tokens name their operator, and nothing else does")
{
    const auto tokens = operator_tokens::parse("# operators\nana 0123456789abcdef\nivo fedcba9876543210\n", "tokens");
    REQUIRE(tokens);
    CHECK(tokens.value().operatorFor("Bearer fedcba9876543210") == "ivo");
    for (const char* wrong : { "", "Bearer ", "Bearer 0123456789abcdee", "Bearer 0123456789abcdef0", "0123456789abcdef", "bearer 0123456789abcdef" })
        CHECK_FALSE(tokens.value().operatorFor(wrong));
    CHECK(operator_tokens::parse("ana short\n", "tokens").error().detail.starts_with("tokens:1: "));
}
