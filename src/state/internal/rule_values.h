// Takes one rule's name and TOML value into a rules_document, with checks of type and range.
#pragma once

#include "state/rules_document.h"

#include <string>
#include <string_view>
#include <vector>

namespace toml {
inline namespace v3 {
    class node;
}
}

namespace jackdaw::state::internal {

// The reason why the rule is wrong; empty when it was taken in.
std::string takeRule(const std::vector<std::string>& path, const toml::node& value, rules_document& out);

} // namespace jackdaw::state::internal
