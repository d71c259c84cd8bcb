// Burn rates from the history.
#include "apps/burn/burn_rate.h"

#include <algorithm>

namespace jackdaw::burn {
namespace {

    using std::chrono::hours;
    using std::chrono::minutes;

    constexpr std::array pairs {
        window_pair { "fast", hours(1), minutes(5), 14.4 },
        window_pair { "slow", hours(6), minutes(30), 6 },
    };

    unix_milliseconds divided(unix_milliseconds window, double divisor)
    {
        return unix_milliseconds(static_cast<std::int64_t>(static_cast<double>(window.count()) / divisor));
    }

    class calculator {
    public:
        calculator(const burn_history& history, unix_milliseconds now, double divisor)
            : m_history(history)
            , m_now(now)
            , m_divisor(divisor)
        {
        }

        objective_burn compute(std::size_t index, const service_objective& objective) const
        {
            objective_burn out;
            out.objective = objective;
            for (const window_pair& pair : pairs)
                addPair(index, pair, out);
            out.period = m_history.between(index, m_now - budgetPeriod, m_now);
            if (const auto rate = burnRate(out.period, objective.target))
                out.budgetLeft = 1 - *rate;
            return out;
        }

    private:
        void addPair(std::size_t index, const window_pair& pair, objective_burn& out) const
        {
            const window_burn longBurn = measure(index, pair, pair.longWindow, out.objective.target);
            const window_burn shortBurn = measure(index, pair, pair.shortWindow, out.objective.target);
            const bool isBurning = longBurn.rate && shortBurn.rate && *longBurn.rate > pair.threshold && *shortBurn.rate > pair.threshold;
            const burn_verdict burning = pair.name == pairs.front().name ? burn_verdict::fast : burn_verdict::slow;
            if (isBurning)
                out.verdict = std::max(out.verdict, burning);
            else if (longBurn.rate)
                out.verdict = std::max(out.verdict, burn_verdict::met);
            out.windows.push_back(longBurn);
            out.windows.push_back(shortBurn);
        }

        window_burn measure(std::size_t index, const window_pair& pair, unix_milliseconds length, double target) const
        {
            window_burn out;
            out.pair = pair.name;
            out.window = divided(length, m_divisor);
            out.counts = m_history.between(index, m_now - out.window, m_now);
            out.rate = burnRate(out.counts, target);
            return out;
        }

        const burn_history& m_history;
        unix_milliseconds m_now;
        double m_divisor;
    };

} // namespace

std::span<const window_pair> windowPairs()
{
    return pairs;
}

std::string_view toText(burn_verdict verdict)
{
    switch (verdict) {
    case burn_verdict::met:
        return "met";
    case burn_verdict::slow:
        return "slow burn";
    case burn_verdict::fast:
        return "fast burn";
    case burn_verdict::no_data:
        break;
    }
    return "no data";
}

std::optional<double> burnRate(const answer_counts& counts, double target)
{
    if (counts.total <= 0)
        return std::nullopt;
    return counts.bad() / counts.total / (1 - target);
}

std::vector<objective_burn> computeBurns(
    const burn_history& history, const std::vector<service_objective>& objectives, unix_milliseconds now, double windowDivisor)
{
    const calculator calculator(history, now, windowDivisor);
    std::vector<objective_burn> out;
    for (std::size_t i = 0; i < objectives.size(); ++i)
        out.push_back(calculator.compute(i, objectives[i]));
    return out;
}

burn_verdict worstVerdict(std::span<const objective_burn> burns)
{
    burn_verdict worst = burn_verdict::no_data;
    for (const objective_burn& burn : burns)
        worst = std::max(worst, burn.verdict);
    return worst;
}

} // namespace jackdaw::burn
