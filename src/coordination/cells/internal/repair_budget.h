// Bounds the calls that repair earlier ones: stops of starts that may not have arrived, and stops that are sent again. A task
// starts a second time only after such a stop, so the budget bounds second starts as well.
//
// Load pattern: a fault or a full link leaves many calls unanswered at once. Each repair adds calls to the same link, and
// without a bound repairs can become the larger part of the traffic, and go on after the fault has ended.
#pragma once

#include "protocol/time.h"

#include <algorithm>
#include <chrono>

namespace jackdaw::cells::internal {

class repair_budget {
public:
    void onStart() { add(sharePerStart); }

    // Returns false if the call must wait.
    bool take(protocol::time_point now)
    {
        if (m_filledAt != protocol::time_point())
            add(perSecond * std::chrono::duration<double>(now - m_filledAt).count());
        m_filledAt = now;
        if (m_calls < 1)
            return false;
        m_calls -= 1;
        return true;
    }

private:
    static constexpr double sharePerStart = 0.2;
    static constexpr double perSecond = 20; // repairs go on while nothing can start
    static constexpr double capacity = 64; // the runs of a rack of upstreams that is lost at once

    void add(double calls) { m_calls = std::min(m_calls + calls, capacity); }

    double m_calls = capacity;
    protocol::time_point m_filledAt;
};

} // namespace jackdaw::cells::internal
