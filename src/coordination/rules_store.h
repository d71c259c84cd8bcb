// Replicated state machine of the configuration: the rules in force, their versions, and who brought each rule in.
//
// A change is compare-and-set on the version, or brings its own version: then the highest takes effect, and any other is
// accepted and changes nothing. A store is written in one of the two modes. Every replica applies the same changes in the same order and reaches the
// same state: nothing here depends on a clock, on random numbers, or on how a release parses the rules file (the parsed
// lines travel within the change).
#pragma once

#include "protocol/result.h"
#include "state/rules_document.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::coordination {

// One operator's wish to replace the rules.
struct rules_change {
    std::string changeId; // chosen by the operator's tool; a resent change carries the same
    std::uint64_t expectedVersion = 0; // the version the operator saw; 0: no rules yet
    std::string operatorName; // whose token came with the change
    std::string text; // the rules file
    std::vector<state::rule_line> lines; // parsed from the text
    std::optional<std::uint64_t> explicitVersion = std::nullopt; // set: the highest version takes effect, expectedVersion is not looked at

    friend bool operator==(const rules_change&, const rules_change&) = default;
};

std::string encodeRulesChange(const rules_change& change);
protocol::result<rules_change> decodeRulesChange(std::string_view bytes);

// A version and the change that made it.
struct rules_version {
    std::uint64_t version = 0;
    std::string changeId;
    std::string operatorName;

    friend bool operator==(const rules_version&, const rules_version&) = default;
};

enum class change_outcome : std::uint8_t {
    accepted, // the change made the version
    conflict, // another change made the version that was in force
    reused_id // the change id belongs to another change
};

struct change_answer {
    change_outcome outcome = change_outcome::conflict;
    rules_version inForce; // accepted: made by this change; conflict: the winner; reused_id: in force when it was applied

    friend bool operator==(const change_answer&, const change_answer&) = default;
};

// Where one rule in force comes from.
struct rule_trace {
    state::rule_line rule; // with its line in the text in force
    rules_version introducedIn; // the version in which it got its present value and author

    friend bool operator==(const rule_trace&, const rule_trace&) = default;
};

class rules_store {
public:
    // How many answers are remembered for changes that are sent again; the oldest go first. A forgotten accepted change
    // that is sent again gets a conflict, since its expected version has passed.
    static constexpr std::size_t maxStoredAnswers = 1024;

    rules_store();
    rules_store(rules_store&&) noexcept;
    rules_store& operator=(rules_store&&) noexcept;
    ~rules_store();

    // Applies a change, or gives its first answer again. A change with its own version is always accepted; the answer names
    // the version that is in force after it.
    change_answer apply(const rules_change& change);

    const rules_version& inForce() const; // version 0 before the first change
    const std::string& text() const;

    // unknown_resource when no such rule is in force.
    protocol::result<rule_trace> trace(std::string_view name) const;
    std::vector<rule_trace> traces() const; // in the order of the text

    // The whole state as bytes, and back. corrupt_data when the bytes can't be read.
    std::string snapshot() const;
    static protocol::result<rules_store> restore(std::string_view bytes);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::coordination
