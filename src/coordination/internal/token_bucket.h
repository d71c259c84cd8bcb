// A token bucket. Rate and capacity are parameters of each call because the rules can change them.
#pragma once

#include "protocol/time.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace jackdaw::coordination {

class token_bucket {
public:
    double tokens() const { return m_tokens; }

    // Adds the tokens of the time since the last call. The first call sets the tokens to the given start.
    void refill(protocol::time_point now, double perSecond, double capacity, double start)
    {
        if (!m_refilledAt) {
            m_refilledAt = now;
            m_tokens = start;
        }
        if (now > *m_refilledAt) {
            const std::chrono::duration<double> passed = now - *m_refilledAt;
            m_tokens += passed.count() * perSecond;
            m_refilledAt = now;
        }
        m_tokens = std::min(m_tokens, capacity);
    }

    // The number of tokens may become negative.
    void take(double tokens) { m_tokens -= tokens; }
    void add(double tokens) { m_tokens += tokens; }

    // The time until refilling alone reaches the number of tokens.
    protocol::duration timeUntil(double tokens, double perSecond) const
    {
        const std::chrono::duration<double> wait { std::max(0.0, tokens - m_tokens) / perSecond };
        return std::chrono::ceil<protocol::duration>(wait);
    }

private:
    double m_tokens = 0;
    std::optional<protocol::time_point> m_refilledAt;
};

} // namespace jackdaw::coordination
