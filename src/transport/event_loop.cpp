// Event loop by libevent, with an eventfd that wakes it for posted tasks.
#include "transport/event_loop.h"

#include <event2/event.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <mutex>
#include <stdexcept>
#include <vector>

namespace jackdaw::transport {
namespace {

    timeval toTimeval(protocol::duration delay)
    {
        constexpr std::int64_t microsecondsPerSecond = 1'000'000;
        const std::int64_t microseconds = std::max<std::int64_t>(delay.count(), 0);
        return { microseconds / microsecondsPerSecond, microseconds % microsecondsPerSecond };
    }

    // A libevent event that calls a hook; freed with this object.
    class hook_event final : public event_loop::timer {
    public:
        hook_event(event_base* base, evutil_socket_t descriptor, short flags, event_loop::task hook)
            : m_hook(std::move(hook))
            , m_event(event_new(base, descriptor, flags, &hook_event::onEvent, this))
        {
            if (!m_event)
                throw std::runtime_error("libevent could not create an event");
        }
        ~hook_event() override { event_free(m_event); }
        hook_event(const hook_event&) = delete;
        hook_event& operator=(const hook_event&) = delete;

        void add() { event_add(m_event, nullptr); }
        void add(protocol::duration delay)
        {
            const timeval interval = toTimeval(delay);
            event_add(m_event, &interval);
        }

    private:
        static void onEvent(evutil_socket_t, short, void* self)
        {
            // The hook may destroy this object.
            const event_loop::task hook = static_cast<hook_event*>(self)->m_hook;
            hook();
        }

        event_loop::task m_hook;
        event* m_event;
    };

} // namespace

class event_loop::impl {
public:
    impl()
    {
        event_config* config = event_config_new();
        event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
        event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST); // no descriptor of a loop is duplicated
        base = event_base_new_with_config(config);
        event_config_free(config);
        wakeDescriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
        if (!base || wakeDescriptor < 0)
            throw std::runtime_error("libevent could not create an event loop");
        wakeEvent = std::make_unique<hook_event>(base, wakeDescriptor, EV_READ | EV_PERSIST, [this] { runPosted(); });
        wakeEvent->add();
    }

    ~impl()
    {
        wakeEvent.reset();
        signalEvents.clear();
        // Connections that were closed just before the end free their buffers in a last pass.
        event_base_loop(base, EVLOOP_NONBLOCK);
        close(wakeDescriptor);
        event_base_free(base);
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    void runPosted()
    {
        eventfd_t count = 0;
        eventfd_read(wakeDescriptor, &count);
        std::vector<task> batch;
        {
            const std::lock_guard lock(mutex);
            batch.swap(posted);
        }
        for (const task& work : batch)
            work();
    }

    void post(task work)
    {
        bool isFirst = false;
        {
            const std::lock_guard lock(mutex);
            isFirst = posted.empty();
            posted.push_back(std::move(work));
        }
        if (isFirst)
            eventfd_write(wakeDescriptor, 1);
    }

    event_base* base = nullptr;
    int wakeDescriptor = -1;
    std::unique_ptr<hook_event> wakeEvent;
    std::vector<std::unique_ptr<hook_event>> signalEvents;
    std::mutex mutex;
    std::vector<task> posted; // guarded by mutex; the eventfd was written when it is not empty
};

event_loop::event_loop()
    : m_impl(std::make_unique<impl>())
{
}

event_loop::~event_loop() = default;

void event_loop::run()
{
    event_base_loop(m_impl->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    m_impl->post([base = m_impl->base] { event_base_loopbreak(base); });
}

void event_loop::post(task work)
{
    m_impl->post(std::move(work));
}

std::unique_ptr<event_loop::timer> event_loop::after(protocol::duration delay, task hook)
{
    auto event = std::make_unique<hook_event>(m_impl->base, -1, 0, std::move(hook));
    event->add(delay);
    return event;
}

std::unique_ptr<event_loop::timer> event_loop::every(protocol::duration interval, task hook)
{
    auto event = std::make_unique<hook_event>(m_impl->base, -1, EV_PERSIST, std::move(hook));
    event->add(interval);
    return event;
}

void event_loop::onSignal(int signalNumber, task hook)
{
    auto event = std::make_unique<hook_event>(m_impl->base, signalNumber, EV_SIGNAL | EV_PERSIST, std::move(hook));
    event->add();
    m_impl->signalEvents.push_back(std::move(event));
}

event_base* event_loop::base()
{
    return m_impl->base;
}

} // namespace jackdaw::transport
