// Tests of the structured log.
#include "state/internal/line_writer.h"
#include "state/log.h"

#include <doctest/doctest.h>

#include <poll.h>
#include <unistd.h>

#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <regex>
#include <sstream>
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

namespace {

// A pipe whose reader reads when it is told to.
struct slow_pipe {
    int ends[2] {};

    slow_pipe() { REQUIRE(pipe(ends) == 0); }
    ~slow_pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }
    slow_pipe(const slow_pipe&) = delete;
    slow_pipe& operator=(const slow_pipe&) = delete;

    std::string readAll() const
    {
        std::string out;
        char buffer[65536];
        pollfd entry { ends[0], POLLIN, 0 };
        while (poll(&entry, 1, 0) == 1) {
            const ssize_t count = read(ends[0], buffer, sizeof(buffer));
            if (count <= 0)
                break;
            out.append(buffer, static_cast<std::size_t>(count));
        }
        return out;
    }
};

} // namespace

// Operators' tools read these lines.
TEST_CASE("lines on standard output keep their format: local time with milliseconds, level, then the event")
{
    const slow_pipe pipe;
    const int standardOutput = dup(STDOUT_FILENO);
    REQUIRE(dup2(pipe.ends[1], STDOUT_FILENO) == STDOUT_FILENO);
    configureLog({ log_level::debug, "jackdaw-entry", "" });
    const std::time_t before = std::time(nullptr);
    for (const log_level level : { log_level::debug, log_level::info, log_level::warning, log_level::error })
        logEvent(level, "job_answered", { { "detail", "100 % \"done\"" } });
    const std::time_t after = std::time(nullptr);
    configureLog({ log_level::info, "state_tests", "" });
    REQUIRE(dup2(standardOutput, STDOUT_FILENO) == STDOUT_FILENO);
    close(standardOutput);
    std::istringstream lines(pipe.readAll());
    for (const std::string level : { "DEBUG", "INFO", "WARNING", "ERROR" }) {
        std::string line;
        REQUIRE(std::getline(lines, line));
        std::smatch parts;
        REQUIRE_MESSAGE(std::regex_match(line, parts, std::regex(R"(time=(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d)\.\d{3} level=(\w+) (.*))")), line);
        std::tm fields {};
        fields.tm_isdst = -1;
        std::istringstream(parts[1].str()) >> std::get_time(&fields, "%Y-%m-%dT%H:%M:%S");
        const std::time_t written = std::mktime(&fields);
        CHECK(written >= before);
        CHECK(written <= after);
        CHECK(parts[2].str() == level);
        CHECK(parts[3].str() == R"(program=jackdaw-entry event=job_answered detail="100 % \"done\"")");
    }
    std::string rest;
    CHECK_FALSE(std::getline(lines, rest));
}

TEST_CASE("a reader that does not read costs lines, not time, and is told how many when it reads again")
{
    const slow_pipe pipe;
    internal::line_writer writer(pipe.ends[1], 0);
    constexpr int lines = 20000;
    for (int i = 0; i < lines; ++i)
        writer.write("event=work number=" + std::to_string(i), false, {});
    CHECK(writer.linesLeftOut() > 0);
    const std::uint64_t leftOut = writer.linesLeftOut();
    pipe.readAll();
    writer.write("event=after", false, {});
    const std::string rest = pipe.readAll();
    CHECK(rest.find("event=log_lines_left_out over_bound=0 unread=" + std::to_string(leftOut)) != std::string::npos);
    CHECK(rest.find("event=after\n") != std::string::npos);
}

TEST_CASE("lines over the bound of a second are counted, warnings are written all the same")
{
    const slow_pipe pipe;
    internal::line_writer writer(pipe.ends[1], 3);
    const jackdaw::protocol::time_point start(std::chrono::seconds(5));
    for (int i = 0; i < 10; ++i)
        writer.write("event=work", false, start);
    writer.write("event=trouble", true, start);
    CHECK(writer.linesLeftOut() == 7);
    writer.write("event=next", false, start + std::chrono::seconds(1));
    const std::string text = pipe.readAll();
    CHECK(text == "event=work\nevent=work\nevent=work\nlevel=WARNING event=log_lines_left_out over_bound=7 unread=0\nevent=trouble\nevent=next\n");
}
