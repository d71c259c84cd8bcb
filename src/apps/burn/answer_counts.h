// How many answers met a service objective, as one host counts them.
#pragma once

#include "state/rules_document.h"

#include <string_view>
#include <vector>

namespace jackdaw::burn {

using state::service_objective;

// Both only go up while the host's process lives.
struct answer_counts {
    double good = 0; // complete answers within the objective's time
    double total = 0; // all answers, but for those that the caller cancelled

    double bad() const { return total - good; }
    answer_counts& operator+=(const answer_counts& other);

    friend bool operator==(const answer_counts&, const answer_counts&) = default;
};

// Reads the counts for each objective, in their order, out of a host's metrics page. The time that counts is the
// longest bucket bound of the page that does not exceed the objective's.
std::vector<answer_counts> readAnswerCounts(std::string_view page, const std::vector<service_objective>& objectives);

} // namespace jackdaw::burn
