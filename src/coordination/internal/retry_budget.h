// Limits retries to a ratio of the starts, plus a minimum rate that allows retries on an idle host.
#pragma once

#include "coordination/internal/token_bucket.h"

namespace jackdaw::coordination {

class retry_budget {
public:
    void recordStart(double retriesPerStart) { m_tokens.add(retriesPerStart); }

    // Takes one retry from the budget, if there is one.
    bool tryTake(protocol::time_point now)
    {
        m_tokens.refill(now, minRetryRate, maxRetries, initialRetries);
        if (m_tokens.tokens() < 1)
            return false;
        m_tokens.take(1);
        return true;
    }

    // The time until minRetryRate alone refills one retry. Valid after tryTake(), which refills the budget.
    protocol::duration timeToNextRetry() const { return m_tokens.timeUntil(1, minRetryRate); }

private:
    static constexpr double maxRetries = 1000;
    static constexpr double initialRetries = 10;
    static constexpr double minRetryRate = 10; // retries per second

    token_bucket m_tokens;
};

} // namespace jackdaw::coordination
