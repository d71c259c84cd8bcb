// Burn rates of service objectives over several windows. A burn rate of 1 uses up the error budget exactly in the
// budget's period. An objective burns when the rate is over its threshold in both windows of a pair: the long one shows
// that it matters, the short one that it goes on.
#pragma once

#include "apps/burn/burn_history.h"

#include <array>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace jackdaw::burn {

struct window_pair {
    std::string_view name;
    unix_milliseconds longWindow {};
    unix_milliseconds shortWindow {};
    double threshold = 0;
};

// The fast pair uses up 2 % of a budget of 30 days in an hour, the slow one 5 % in 6 hours.
std::span<const window_pair> windowPairs();

constexpr unix_milliseconds budgetPeriod = std::chrono::hours(24 * 30);

enum class burn_verdict {
    no_data, // no answer in any window
    met,
    slow, // burns by the slow pair
    fast // burns by the fast pair
};

std::string_view toText(burn_verdict verdict);

struct window_burn {
    std::string_view pair;
    unix_milliseconds window {};
    answer_counts counts;
    std::optional<double> rate; // nothing when there were no answers
};

struct objective_burn {
    service_objective objective;
    burn_verdict verdict = burn_verdict::no_data;
    std::vector<window_burn> windows; // long and short of each pair
    answer_counts period; // answers in the budget's period, as far as the history reaches
    double budgetLeft = 1; // share of the period's error budget; below 0 when overdrawn
};

// The bad share over the share that the objective allows; nothing without answers.
std::optional<double> burnRate(const answer_counts& counts, double target);

// Windows are shorter by the divisor, for trials; at least 1.
std::vector<objective_burn> computeBurns(
    const burn_history& history, const std::vector<service_objective>& objectives, unix_milliseconds now, double windowDivisor);

burn_verdict worstVerdict(std::span<const objective_burn> burns);

} // namespace jackdaw::burn
