// The public face of the dispatcher: each event is handled to its end, then its actions leave.
#include "coordination/dispatcher.h"

#include "coordination/internal/dispatcher_impl.h"

#include <utility>

namespace jackdaw::coordination {

dispatcher::dispatcher(dispatcher_settings settings, action_hook onAction)
    : m_impl(std::make_unique<impl>(settings, std::move(onAction)))
{
}

dispatcher::~dispatcher() = default;

void dispatcher::setRules(std::shared_ptr<const rules> inForce)
{
    m_impl->setRules(std::move(inForce));
}

std::optional<job_failure> dispatcher::submit(time_point now, protocol::job_request job)
{
    auto refusal = m_impl->submit(now, std::move(job));
    m_impl->flush();
    return refusal;
}

void dispatcher::cancel(time_point now, const submission_id& submission)
{
    m_impl->cancel(now, submission);
    m_impl->startQueued(now);
    m_impl->flush();
}

void dispatcher::applyAnnouncement(time_point heardAt, const protocol::announcement& announcement)
{
    m_impl->applyAnnouncement(heardAt, announcement);
    m_impl->startQueued(heardAt);
    m_impl->flush();
}

void dispatcher::setSlots(time_point now, const upstream_id& upstream, std::uint32_t slots)
{
    m_impl->upstreams().setSlots(upstream, slots);
    m_impl->startQueued(now);
    m_impl->flush();
}

void dispatcher::report(time_point now, task_report report)
{
    m_impl->report(now, std::move(report));
    m_impl->flush();
}

void dispatcher::drain()
{
    m_impl->drain();
}

void dispatcher::advance(time_point now)
{
    m_impl->advance(now);
    m_impl->flush();
}

std::optional<time_point> dispatcher::nextTimer() const
{
    return m_impl->nextTimer();
}

dispatcher_status dispatcher::status() const
{
    return m_impl->status();
}

} // namespace jackdaw::coordination
