// Tests of the command line that all programs share.
#include "apps/shared/command_line.h"

#include <doctest/doctest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>

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

TEST_CASE("SIGHUP before a program has set its handlers does not end it")
{
    const pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        std::array<char, 8> name { "program" };
        std::array<char*, 2> arguments { name.data(), nullptr };
        const program_info program { "program", "is a test", false };
        const auto read = [](const std::string&) {
            std::raise(SIGHUP); // as a service manager that reloads a process at once
            return jackdaw::protocol::result<int>(0);
        };
        _exit(runProgram(program, 1, arguments.data(), read, [](int, const std::string&) { return exitDone; }));
    }
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == exitDone);
}
