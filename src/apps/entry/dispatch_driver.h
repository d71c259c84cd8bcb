// Runs the dispatcher on the decision loop: feeds it events with the present time, arms its timer, and hands its
// actions on.
#pragma once

#include "coordination/dispatcher.h"
#include "transport/event_loop.h"

#include <functional>
#include <memory>
#include <optional>

namespace jackdaw::entry {

class dispatch_driver {
public:
    struct hooks {
        std::function<void(const coordination::start_task& action)> onStart;
        std::function<void(const coordination::settle_task& action)> onSettle;
        // Never called from within one of the driver's own functions.
        std::function<void(coordination::answer_job action)> onAnswer;
    };

    dispatch_driver(transport::event_loop& decisions, coordination::dispatcher_settings settings, hooks actionHooks);
    ~dispatch_driver();

    std::optional<protocol::job_failure> submit(protocol::job_request job);
    void cancel(const protocol::submission_id& submission);
    void hear(protocol::time_point heardAt, const protocol::announcement& announcement);
    void setSlots(const coordination::upstream_id& upstream, std::uint32_t slots);
    void setRules(std::shared_ptr<const coordination::rules> inForce);
    void report(coordination::task_report report);
    void drain();

    coordination::dispatcher_status status() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::entry
