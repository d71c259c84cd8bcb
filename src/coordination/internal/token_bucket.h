// Tokens that are refilled at a rate up to a capacity. Rate and capacity come with each call, since rules change them.
#pragma once

#include "protocol/time.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace jackdaw::coordination {

class token_bucket {
public:
    double tokens() const { return m_tokens; }

    // The first call fills the bucket to the given start.
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

    // May leave the bucket in debt, which refilling pays off first.
    void take(double tokens) { m_tokens -= tokens; }
    void add(double tokens) { m_tokens += tokens; }

    // How long refilling alone takes until there are so many.
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
