// Timers ordered by the time point at which they are due. Each timer holds a value and can be cancelled.
#pragma once

#include "protocol/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace jackdaw::coordination {

using protocol::duration;
using protocol::time_point;

// Identifies a timer. Timers with equal time points fire in the order in which they were added.
using timer_id = std::pair<time_point, std::uint64_t>;

template <typename Value>
class timer_queue {
public:
    timer_id add(time_point at, Value value)
    {
        const timer_id id { at, m_nextNumber++ };
        m_timers.emplace(id, std::move(value));
        return id;
    }

    // Cancels the timer, if any, and resets the id.
    void cancel(std::optional<timer_id>& id)
    {
        if (!id)
            return;
        m_timers.erase(*id);
        id.reset();
    }

    // Removes and returns the earliest timer that is due, if any.
    std::optional<Value> takeDue(time_point now)
    {
        if (m_timers.empty() || m_timers.begin()->first.first > now)
            return std::nullopt;
        Value value = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        return value;
    }

    std::optional<time_point> next() const
    {
        if (m_timers.empty())
            return std::nullopt;
        return m_timers.begin()->first.first;
    }

private:
    std::map<timer_id, Value> m_timers;
    std::uint64_t m_nextNumber = 0;
};

} // namespace jackdaw::coordination
