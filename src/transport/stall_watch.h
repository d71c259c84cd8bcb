// Notices when an event loop has stood still: the process was stopped, its machine was suspended, or a task ran for long. Requests
// and messages that are read after a stall may have waited in the kernel since it began, and their senders may have given up.
#pragma once

#include "protocol/time.h"
#include "transport/event_loop.h"

#include <functional>
#include <memory>

namespace jackdaw::transport {

class stall_watch {
public:
    using stall_hook = std::function<void(protocol::duration length)>;
    using clock = std::function<protocol::time_point()>;

    // Starts with the loop's first pass. Belongs to the loop's thread, as all functions do. The hook runs once after each stall. The
    // clock never goes back.
    explicit stall_watch(event_loop& loop, stall_hook onStall = {}, clock readClock = &protocol::steadyNow);
    ~stall_watch();
    stall_watch(const stall_watch&) = delete;
    stall_watch& operator=(const stall_watch&) = delete;

    // The longest time that input which is read now may have waited. Zero unless the loop has just stalled.
    protocol::duration maxInputDelay() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::transport
