// Converts the operators' rules file to struct rules.
#pragma once

#include "coordination/rules.h"
#include "state/rules_document.h"

#include <cstdint>

namespace jackdaw::coordination {

// Rules that the document omits keep the defaults of struct rules; limits that a team omits come from the default team.
rules toRules(const state::rules_document& document, std::uint64_t version);

} // namespace jackdaw::coordination
