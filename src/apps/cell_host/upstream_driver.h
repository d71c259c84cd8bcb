// Interface for calls to upstreams; the module that implements it speaks the upstreams' protocol.
#pragma once

#include "coordination/cells/upstream_calls.h"

#include <functional>

namespace jackdaw::cell_host {

// Each completion runs once, on the event loop's thread, and never before the call has returned.
struct upstream_driver {
    using call_completion = std::function<void(const cells::call_answer& answer)>;
    using poll_completion = std::function<void(const cells::poll_answer& answer)>;

    std::function<void(const cells::start_request& order, call_completion done)> start;
    std::function<void(const cells::stop_request& order, call_completion done)> stop;
    std::function<void(const cells::poll_request& order, poll_completion done)> poll;
};

} // namespace jackdaw::cell_host
