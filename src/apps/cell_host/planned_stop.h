// The planned stop of a cell host's process: takes the signals that ask for it and follows the schedule.
//
// The process is killed a fixed time after the signal was raised, however late the loop gets to it. All times of the stop count from
// then, so a loop that is held up leaves less time to the steps that follow.
#pragma once

#include "apps/cell_host/stop_schedule.h"
#include "transport/event_loop.h"

#include <functional>
#include <memory>
#include <optional>

namespace jackdaw::cell_host {

class planned_stop {
public:
    struct hooks {
        std::function<void(protocol::duration sinceSignal)> begin; // called once, when the loop has got to the signal
        std::function<stop_schedule::state()> look; // what is open; its time is filled in here
        std::function<void(const stop_schedule::step& due)> act; // called every checkInterval, last with the step that ends
    };

    // The loop must outlive this object.
    planned_stop(transport::event_loop& loop, const stop_schedule& schedule, hooks stopHooks);

    // Begins the stop at SIGTERM or SIGINT; once it has begun, further ones change nothing. This object must live as long as the loop runs.
    void takeSignals();

private:
    void begin(protocol::time_point raisedAt);
    void check();

    transport::event_loop& m_loop;
    stop_schedule m_schedule;
    const hooks m_hooks;
    std::optional<protocol::time_point> m_raisedAt; // the signal; set once the stop has begun
    std::unique_ptr<transport::event_loop::timer> m_timer; // set from then to the end
};

} // namespace jackdaw::cell_host
