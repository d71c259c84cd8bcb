// One thread's event loop: an event_base with precise timers and a mailbox other threads may post to.
#pragma once

#include "protocol/time.h"

#include <functional>
#include <memory>

struct event_base;

namespace jackdaw::transport {

class event_loop {
public:
    using task = std::function<void()>;

    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    // Runs until stop(). Everything but post() and stop() belongs to the thread that runs this.
    void run();

    // Ends run() after the task in hand. Any thread.
    void stop();

    // Queues a task for the loop's thread; tasks posted by one thread keep their order. Any thread.
    // The loop is woken once for a batch of tasks.
    void post(task work);

    // Calls the hook once, after the delay. The timer is cancelled when the returned handle is destroyed.
    class timer {
    public:
        virtual ~timer() = default;
    };
    std::unique_ptr<timer> after(protocol::duration delay, task hook);

    // Calls the hook again and again, with the interval between the starts of two calls.
    std::unique_ptr<timer> every(protocol::duration interval, task hook);

    // Calls the hook on a signal. One loop of a process may take signals.
    void onSignal(int signalNumber, task hook);

    // The same, with the time at which the signal reached the process: a busy loop calls the hook later. Of signals that were raised
    // before the hook could be called, the time of the first.
    using signal_hook = std::function<void(protocol::time_point raisedAt)>;
    void onSignal(int signalNumber, signal_hook hook);

    event_base* base();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::transport
