// The commands of jackdawctl. Each prints its result and returns the program's exit code.
#pragma once

#include "apps/ctl/control_connection.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jackdaw::ctl {

// Exit codes beyond those of apps/shared/command_line.h.
constexpr int exitConflict = 3; // another change took the version
constexpr int exitBadRules = 4; // the rules file is wrong
constexpr int exitNotEverywhere = 5; // accepted, but not in force on every entry host in time
constexpr int exitUnreachable = 6; // no answer: for a change, it is not known whether it was accepted

struct command_options {
    std::vector<std::string> words; // the command and its arguments
    std::optional<std::uint64_t> expectedVersion;
    std::string changeId; // empty: made anew
    protocol::duration wait {}; // how long apply waits until the rules are in force everywhere
    bool isJson = false;
};

// "rules check FILE": needs no control host.
int checkRules(const std::string& file);

// All other commands; std::nullopt for an unknown command or wrong number of arguments.
std::optional<int> runCommand(const command_options& options, control_connection& connection);

} // namespace jackdaw::ctl
