// Tests of the command line that all programs share.
#include "apps/shared/command_line.h"

#include <doctest/doctest.h>

#include <vector>

using namespace jackdaw::apps;

namespace {

command_line read(std::vector<const char*> arguments, bool needsSettings = true)
{
    arguments.insert(arguments.begin(), "jackdaw-test");
    return readCommandLine({ "jackdaw-test", "Tests.", needsSettings }, arguments, {});
}

} // namespace

TEST_CASE("the settings path and the check are read")
{
    const command_line line = read({ "--settings", "x.toml", "--check-settings" });
    CHECK_FALSE(line.exitCode);
    CHECK(line.settingsPath == "x.toml");
    CHECK(line.isCheckOnly);
}

TEST_CASE("usage errors end the program with their own exit code, help and version with success")
{
    CHECK(read({}).exitCode == exitBadUsage);
    CHECK(read({ "--setings", "x.toml" }).exitCode == exitBadUsage);
    CHECK(read({ "--check-settings" }, false).exitCode == exitBadUsage);
    CHECK(read({ "--help" }).exitCode == exitDone);
    CHECK(read({ "--version" }).exitCode == exitDone);
}
