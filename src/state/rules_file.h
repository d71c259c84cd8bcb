// Parser of the operators' rules file: TOML, each rule on one line with its full dotted name, and beside it a comment
// that names who asked for it. Lines that are empty or only a comment are allowed between rules.
//   team.minutes = { weight = 3, max_tasks = 400 } # asked for by Ana Kos
// The rules and their ranges are listed in docs/OPERATIONS.md.
#pragma once

#include "protocol/result.h"
#include "state/rules_document.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace jackdaw::state {

inline constexpr std::size_t maxRulesFileBytes = 1024 * 1024;
inline constexpr std::size_t maxReportedRuleErrors = 20;

// malformed_request: the detail has one line "FILE:LINE: reason" for each wrong line, at most maxReportedRuleErrors.
// The file's name is used in error texts only.
protocol::result<rules_document> parseRules(std::string_view text, const std::string& fileName);

// Reads and parses a file. unknown_resource when it can't be read.
protocol::result<rules_document> openRules(const std::string& path);

// The text of a rules file as it is. unknown_resource when it can't be read.
protocol::result<std::string> readRulesText(const std::string& path);

} // namespace jackdaw::state
