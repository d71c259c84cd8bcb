// Forwards each event to the implementation, then passes the resulting actions to the hook.
#include "coordination/dispatcher.h"

#include "coordination/internal/dispatcher_impl.h"

#include <utility>

namespace jackdaw::coordination {

dispatcher::dispatcher(dispatcher_settings settings, action_hook onAction)
    : m_impl(std::make_unique<impl>(settings, std::move(onAction)))
{
}

dispatcher::~dispatcher() = default;

void dispatcher::setRules(std::shared_ptr<const rules> activeRules)
{
    m_impl->setRules(std::move(activeRules));
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

void dispatcher::applyAnnouncement(time_point receivedAt, const protocol::announcement& announcement)
{
    m_impl->applyAnnouncement(receivedAt, announcement);
    m_impl->startQueued(receivedAt);
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
