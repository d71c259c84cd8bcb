// The command line that all daemons share: --settings, --check-settings, --help, --version.
#pragma once

#include <optional>
#include <string>

namespace jackdaw::apps {

// Exit codes of the daemons, after sysexits.h.
enum class exit_code : int {
    ok = 0,
    failed = 1, // a run-time error, for example a port that is taken
    usage = 64, // the command line is wrong
    settings = 78 // the settings file is wrong
};

inline int toStatus(exit_code code)
{
    return static_cast<int>(code);
}

struct daemon_options {
    std::string settingsFile;
    bool checkOnly = false; // read the settings, say whether they are right, and exit
};

// Either what the program should do, or the exit code it should end with at once (help, version, wrong usage).
struct command_line_outcome {
    std::optional<daemon_options> options;
    exit_code exit = exit_code::ok;
};

// Reads the command line; prints help, version and usage errors itself.
command_line_outcome parseDaemonCommandLine(int argc, const char* const* argv, const std::string& program, const std::string& summary);

} // namespace jackdaw::apps
