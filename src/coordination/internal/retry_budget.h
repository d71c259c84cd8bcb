// Limits retries to a share of the starts, plus a trickle so that an idle host still retries.
#pragma once

#include "protocol/time.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace jackdaw::coordination {

class retry_budget {
public:
    void noteStart(double retriesPerStart) { m_tokens = std::min(m_tokens + retriesPerStart, maxTokens); }

    bool take(protocol::time_point now)
    {
        refill(now);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    // When the trickle alone will have filled up one retry; to be asked after take().
    protocol::time_point nextRetry() const
    {
        const double missing = std::max(0.0, 1 - m_tokens);
        const std::chrono::duration<double> wait { missing / trickleRate };
        return m_filledAt.value_or(protocol::time_point {}) + std::chrono::ceil<protocol::duration>(wait);
    }

private:
    static constexpr double maxTokens = 1000; // retries
    static constexpr double trickleRate = 10; // retries per second

    void refill(protocol::time_point now)
    {
        if (!m_filledAt)
            m_filledAt = now;
        if (now <= *m_filledAt)
            return;
        const std::chrono::duration<double> passed = now - *m_filledAt;
        m_tokens = std::min(m_tokens + passed.count() * trickleRate, maxTokens);
        m_filledAt = now;
    }

    double m_tokens = 10;
    std::optional<protocol::time_point> m_filledAt; // unset until the first retry
};

} // namespace jackdaw::coordination
