// Checks the schedule on the loop, by the time since the signal was raised.
#include "apps/cell_host/planned_stop.h"

#include <csignal>
#include <utility>

namespace jackdaw::cell_host {

using protocol::steadyNow;
using protocol::time_point;

planned_stop::planned_stop(transport::event_loop& loop, const stop_schedule& schedule, hooks stopHooks)
    : m_loop(loop)
    , m_schedule(schedule)
    , m_hooks(std::move(stopHooks))
{
}

void planned_stop::takeSignals()
{
    m_loop.onSignal(SIGTERM, [this](time_point raisedAt) { begin(raisedAt); });
    m_loop.onSignal(SIGINT, [this](time_point raisedAt) { begin(raisedAt); });
}

void planned_stop::begin(time_point raisedAt)
{
    if (m_raisedAt)
        return;
    m_raisedAt = raisedAt;
    m_hooks.begin(steadyNow() - raisedAt);
    m_timer = m_loop.every(stop_schedule::checkInterval, [this] { check(); });
}

void planned_stop::check()
{
    stop_schedule::state now = m_hooks.look();
    now.since = steadyNow() - *m_raisedAt;
    const stop_schedule::step due = m_schedule.next(now);
    if (due.ends)
        m_timer.reset();
    m_hooks.act(due);
}

} // namespace jackdaw::cell_host
