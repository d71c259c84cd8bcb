// Tests of the structured log.
#include "state/log.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

using namespace jackdaw::state;

TEST_CASE("an event is one line of key=value pairs with quoted and escaped values")
{
    const auto path = std::filesystem::temp_directory_path() / "jackdaw_log_tests.log";
    std::filesystem::remove(path);
    configureLog({ log_level::info, "jackdaw-entry", path.string() });
    logEvent(log_level::debug, "hidden", {});
    logEvent(log_level::info, "job_answered", { { "submission", "id-1" }, { "detail", "two \"words\"\n%level" }, { "empty", "" } });
    configureLog({ log_level::info, "state_tests", "" });
    std::ifstream file(path);
    std::string line;
    REQUIRE(std::getline(file, line));
    CHECK(line.find(R"(program=jackdaw-entry event=job_answered submission=id-1 detail="two \"words\"\x0a%level" empty="")") != std::string::npos);
    CHECK_FALSE(std::getline(file, line));
    std::filesystem::remove(path);
}
