// Replicated state machine of the configuration: the rules in force, their version, and the change that introduced each rule.
//
// A change either compares and sets the version, or carries an explicit version: then the highest one takes effect, and a
// change with a lower or equal version is accepted without effect. A store is written in only one of the two modes.
//
// The evacuation orders of zones are kept beside the rules: an entry of the log is either a change of the rules or such an order.
//
// Every replica applies the same changes in the same order and reaches the same state: nothing here depends on a clock, on
// random numbers, or on how a release parses the rules file (the change contains the parsed lines).
#pragma once

#include "coordination/zone_evacuations.h"
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

// An operator's request to replace the rules.
struct rules_change {
    std::string changeId; // chosen by the operator's tool; a resent change has the same id
    std::uint64_t expectedVersion = 0; // the version that the operator read; 0: no rules yet
    std::string operatorName; // owner of the token that authorized the change
    std::string text; // the rules file
    std::vector<state::rule_line> lines; // parsed from the text

    // If set, the highest version takes effect and expectedVersion is ignored.
    std::optional<std::uint64_t> explicitVersion = std::nullopt;

    // If set, the entry changes no rules. It carries the explicit version 0 as well, so that earlier releases apply it without effect.
    std::optional<zone_order> evacuation = std::nullopt;

    friend bool operator==(const rules_change&, const rules_change&) = default;
};

std::string encodeRulesChange(rules_change change); // by value: a moved one is freed, since its text may be large
protocol::result<rules_change> decodeRulesChange(std::string_view bytes);

// A version and the change that created it.
struct rules_version {
    std::uint64_t version = 0;
    std::string changeId;
    std::string operatorName;

    friend bool operator==(const rules_version&, const rules_version&) = default;
};

enum class change_outcome : std::uint8_t {
    accepted, // the change took effect, or carried an explicit version
    conflict, // the version in force was not the expected one
    reused_id, // the change id was used by another change
    refused // an evacuation order of too many zones
};

struct change_answer {
    change_outcome outcome = change_outcome::conflict;
    rules_version inForce; // after the change was applied; for a conflict, the version that won

    friend bool operator==(const change_answer&, const change_answer&) = default;
};

// The origin of one rule in force.
struct rule_trace {
    state::rule_line rule; // including its line number in the text in force
    rules_version introducedIn; // the version that set its current value and author

    friend bool operator==(const rule_trace&, const rule_trace&) = default;
};

class rules_store {
public:
    // Limit of stored answers, with which resent changes are answered; the oldest are dropped first. An accepted change that
    // is resent after its answer was dropped gets a conflict, since its expected version is no longer in force.
    static constexpr std::size_t maxStoredAnswers = 1024;

    rules_store();
    rules_store(rules_store&&) noexcept;
    rules_store& operator=(rules_store&&) noexcept;
    ~rules_store();

    // Applies a change, or returns the stored answer of a resent one. A change with an explicit version is always accepted;
    // the answer has the version that is in force afterwards.
    change_answer apply(const rules_change& change);

    const rules_version& inForce() const; // version 0 before the first change
    const std::string& text() const;
    const zone_evacuations& evacuations() const;

    // unknown_resource if no such rule is in force.
    protocol::result<rule_trace> trace(std::string_view name) const;
    std::vector<rule_trace> traces() const; // in the order of the text

    // Serialize and restore the whole state. corrupt_data if the bytes can't be decoded.
    std::string snapshot() const;
    static protocol::result<rules_store> restore(std::string_view bytes);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::coordination
