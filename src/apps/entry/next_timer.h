// Calls a hook when a decision's next timer is due. Setting a later time point than the one that is armed costs nothing.
#pragma once

#include "protocol/time.h"
#include "transport/event_loop.h"

#include <functional>
#include <memory>
#include <optional>

namespace jackdaw::entry {

class next_timer {
public:
    // The hook gets the time it is called at; it should arm the timer again.
    next_timer(transport::event_loop& loop, std::function<void(protocol::time_point now)> hook);
    ~next_timer();

    // Asks for a call at the time point or earlier.
    void arm(std::optional<protocol::time_point> next);

private:
    transport::event_loop& m_loop;
    std::function<void(protocol::time_point now)> m_hook;
    std::unique_ptr<transport::event_loop::timer> m_timer;
    protocol::time_point m_armedFor {}; // when there is a timer
};

} // namespace jackdaw::entry
