// A thread that runs one event loop from construction to destruction.
#pragma once

#include "transport/event_loop.h"

#include <thread>

namespace jackdaw::entry {

class loop_thread {
public:
    loop_thread() = default;
    ~loop_thread() { stop(); }
    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;

    transport::event_loop& loop() { return m_loop; }

    // What runs on the loop may be set up until here.
    void start()
    {
        m_thread = std::thread([this] { m_loop.run(); });
    }

    // Waits until the loop has stopped.
    void stop()
    {
        if (!m_thread.joinable())
            return;
        m_loop.stop();
        m_thread.join();
    }

private:
    transport::event_loop m_loop;
    std::thread m_thread;
};

} // namespace jackdaw::entry
