// From the operators' rules file to the rules in force.
#pragma once

#include "coordination/rules.h"
#include "state/rules_document.h"

#include <cstdint>

namespace jackdaw::coordination {

// Rules that the document leaves out keep the defaults of struct rules; a team's missing limits those of its default team.
rules toRules(const state::rules_document& document, std::uint64_t version);

} // namespace jackdaw::coordination
