// The command line that all programs share: --settings FILE, --check-settings, --help and --version.
#pragma once

#include "protocol/result.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <csignal>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace jackdaw::apps {

// Exit codes of the programs, for service managers and scripts.
constexpr int exitDone = 0;
constexpr int exitFailed = 1;
constexpr int exitBadUsage = 2; // a wrong command line or settings file

struct command_line {
    std::string settingsPath; // empty when not given
    bool isCheckOnly = false; // check the settings, then end
    boost::program_options::variables_map values; // of the program's own options
    std::optional<int> exitCode; // set when the program must end at once with this code
};

struct program_info {
    std::string_view name;
    std::string_view purpose; // one sentence
    bool needsSettings = true;
};

// Reads the command line. Help, the version and usage errors are printed here.
command_line readCommandLine(const program_info& program, std::span<const char* const> arguments,
    const boost::program_options::options_description& ownOptions);

// Prints the failure to standard error and returns exitBadUsage.
int reportBadSettings(std::string_view program, const protocol::error& failure);

// Prints the failure to standard error and returns exitFailed.
int reportFailure(std::string_view program, const protocol::error& failure);

// Prints that the settings file is right and returns exitDone.
int reportGoodSettings(std::string_view settingsPath);

// The main function of a program without options of its own: reads the settings with read(path), which yields a
// protocol::result, and calls serve(settings, path) for the exit code, unless the command line asks for something else.
template <typename Read, typename Serve>
int runProgram(const program_info& program, int argc, char** argv, Read read, Serve serve)
{
    std::signal(SIGHUP, SIG_IGN); // until serve() sets its handler: by default a reload in the first milliseconds ends the process
    const command_line line = readCommandLine(program, { argv, static_cast<std::size_t>(argc) }, {});
    if (line.exitCode)
        return *line.exitCode;
    auto settings = read(line.settingsPath);
    if (!settings)
        return reportBadSettings(program.name, settings.error());
    if (line.isCheckOnly)
        return reportGoodSettings(line.settingsPath);
    return serve(std::move(settings.value()), line.settingsPath);
}

} // namespace jackdaw::apps
