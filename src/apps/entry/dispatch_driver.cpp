// Drives the dispatcher by the decision loop's clock and timer.
#include "apps/entry/dispatch_driver.h"

#include "apps/entry/next_timer.h"

#include <utility>
#include <vector>

namespace jackdaw::entry {

using coordination::answer_job;
using coordination::dispatch_action;
using coordination::settle_task;
using coordination::start_task;
using protocol::steadyNow;
using protocol::time_point;

class dispatch_driver::impl {
public:
    impl(transport::event_loop& decisionLoop, coordination::dispatcher_settings settings, hooks actionHooks)
        : loop(decisionLoop)
        , actions(std::move(actionHooks))
        , timer(loop, [this](time_point now) {
            decisions.advance(now);
            arm();
        })
        , decisions(settings, [this](dispatch_action action) { perform(std::move(action)); })
    {
    }

    void perform(dispatch_action action)
    {
        if (const auto* start = std::get_if<start_task>(&action))
            return actions.onStart(*start);
        if (const auto* settle = std::get_if<settle_task>(&action))
            return actions.onSettle(*settle);
        answers.push_back(std::move(std::get<answer_job>(action)));
        if (answers.size() == 1)
            loop.post([this] { deliverAnswers(); });
    }

    void deliverAnswers()
    {
        for (answer_job& answer : std::exchange(answers, {}))
            actions.onAnswer(std::move(answer));
    }

    // To be called after each event: the dispatcher's next timer may have come nearer.
    void arm() { timer.arm(decisions.nextTimer()); }

    transport::event_loop& loop;
    const hooks actions;
    std::vector<answer_job> answers; // not empty while their delivery is queued
    next_timer timer;
    coordination::dispatcher decisions;
};

dispatch_driver::dispatch_driver(transport::event_loop& decisions, coordination::dispatcher_settings settings, hooks actionHooks)
    : m_impl(std::make_unique<impl>(decisions, settings, std::move(actionHooks)))
{
}

dispatch_driver::~dispatch_driver() = default;

std::optional<protocol::job_failure> dispatch_driver::submit(protocol::job_request job)
{
    auto refusal = m_impl->decisions.submit(steadyNow(), std::move(job));
    m_impl->arm();
    return refusal;
}

void dispatch_driver::cancel(const protocol::submission_id& submission)
{
    m_impl->decisions.cancel(steadyNow(), submission);
    m_impl->arm();
}

void dispatch_driver::hear(time_point heardAt, const protocol::announcement& announcement)
{
    m_impl->decisions.applyAnnouncement(heardAt, announcement);
    m_impl->arm();
}

void dispatch_driver::setSlots(const coordination::upstream_id& upstream, std::uint32_t slots)
{
    m_impl->decisions.setSlots(steadyNow(), upstream, slots);
    m_impl->arm();
}

void dispatch_driver::setRules(std::shared_ptr<const coordination::rules> inForce)
{
    m_impl->decisions.setRules(std::move(inForce));
    m_impl->arm();
}

void dispatch_driver::report(coordination::task_report report)
{
    m_impl->decisions.report(steadyNow(), std::move(report));
    m_impl->arm();
}

void dispatch_driver::drain()
{
    m_impl->decisions.drain();
}

coordination::dispatcher_status dispatch_driver::status() const
{
    return m_impl->decisions.status();
}

} // namespace jackdaw::entry
