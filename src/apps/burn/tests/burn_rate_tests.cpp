// Tests of burn rates over several windows.
#include "apps/burn/burn_rate.h"

#include <doctest/doctest.h>

using namespace jackdaw;
using namespace jackdaw::burn;
using std::chrono::hours;
using std::chrono::minutes;

namespace {

const std::vector<service_objective> objectives { { "minutes", "votes", 0.99, std::chrono::milliseconds(500) } };

// A reading each minute over the hours; 100 answers a minute, of which so many are bad in the last badMinutes.
burn_history history(int lengthMinutes, int badMinutes, double badShare)
{
    burn_history out(budgetPeriod, hours(6), minutes(15));
    answer_counts counts;
    for (int minute = 0; minute <= lengthMinutes; ++minute) {
        const bool isBad = minute > lengthMinutes - badMinutes;
        counts.total += 100;
        counts.good += isBad ? 100 * (1 - badShare) : 100;
        out.add({ minutes(minute), "a", { counts } });
    }
    return out;
}

objective_burn burnOf(int lengthMinutes, int badMinutes, double badShare)
{
    return computeBurns(history(lengthMinutes, badMinutes, badShare), objectives, minutes(lengthMinutes), 1).front();
}

} // namespace

TEST_CASE("an objective that is met burns nothing")
{
    const objective_burn burn = burnOf(600, 0, 0);
    CHECK(burn.verdict == burn_verdict::met);
    CHECK(burn.budgetLeft == 1);
    for (const window_burn& window : burn.windows)
        CHECK(window.rate == 0.0);
}

TEST_CASE("half of the answers bad for an hour is a fast burn, a tenth for six hours a slow one")
{
    const objective_burn fast = burnOf(600, 60, 0.5);
    CHECK(fast.verdict == burn_verdict::fast);
    CHECK(*fast.windows[0].rate == doctest::Approx(50));
    CHECK(burnOf(600, 360, 0.1).verdict == burn_verdict::slow);
}

TEST_CASE("what is over, and what is short, is no burn")
{
    burn_history past = history(600, 60, 0.5);
    answer_counts counts = { 0, 0 };
    for (int minute = 601; minute <= 640; ++minute) {
        counts.total += 100;
        counts.good += 100;
        past.add({ minutes(minute), "a", { counts } });
    }
    CHECK(computeBurns(past, objectives, minutes(640), 1).front().verdict == burn_verdict::met);
    CHECK(burnOf(600, 3, 0.5).verdict == burn_verdict::met);
}

TEST_CASE("windows are shorter by the divisor, and an objective without answers has no data")
{
    CHECK(computeBurns(history(10, 1, 0.5), objectives, minutes(10), 60).front().verdict == burn_verdict::fast);
    const burn_history none(budgetPeriod, hours(6), minutes(15));
    const auto burns = computeBurns(none, objectives, minutes(10), 1);
    CHECK(burns.front().verdict == burn_verdict::no_data);
    CHECK(worstVerdict(burns) == burn_verdict::no_data);
}
