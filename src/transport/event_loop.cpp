// Event loop by libevent, with an eventfd that wakes it for posted tasks.
#include "transport/event_loop.h"

#include <event2/event.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
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

    // What the handler of a signal shares with the loop that takes it. The handler may run on any thread.
    struct signal_mailbox {
        static constexpr std::int64_t none = -1;
        std::atomic<std::int64_t> raisedAt { none }; // since the steady clock's epoch, in its ticks; none: the hook has been called
        std::atomic<int> descriptor { -1 }; // an eventfd
    };

    std::array<signal_mailbox, NSIG> signalMailboxes;

    static_assert(std::atomic<std::int64_t>::is_always_lock_free && std::atomic<int>::is_always_lock_free, "the handler of a signal must not wait for a lock");

    // Calls only functions that are safe in a handler: clock_gettime, by the steady clock, and write.
    void onRaisedSignal(int signalNumber)
    {
        const int lastError = errno;
        signal_mailbox& mailbox = signalMailboxes[static_cast<std::size_t>(signalNumber)];
        std::int64_t expected = signal_mailbox::none;
        mailbox.raisedAt.compare_exchange_strong(expected, protocol::steadyNow().time_since_epoch().count());
        const std::uint64_t one = 1;
        [[maybe_unused]] const ssize_t written = write(mailbox.descriptor.load(), &one, sizeof(one));
        errno = lastError;
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

    // Takes a signal while it exists; afterwards the signal is ignored, as the process ends by itself.
    class signal_event {
    public:
        signal_event(event_base* base, int signalNumber, event_loop::signal_hook hook)
            : m_signalNumber(signalNumber)
            , m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
            , m_hook(std::move(hook))
            , m_event(base, m_descriptor, EV_READ | EV_PERSIST, [this] { callHook(); })
        {
            mailbox().descriptor = m_descriptor;
            m_event.add();
            struct sigaction action { };
            action.sa_handler = &onRaisedSignal;
            action.sa_flags = SA_RESTART;
            sigfillset(&action.sa_mask);
            if (m_descriptor < 0 || sigaction(signalNumber, &action, nullptr) != 0)
                throw std::runtime_error("the handler of a signal could not be installed");
        }
        ~signal_event()
        {
            std::signal(m_signalNumber, SIG_IGN);
            mailbox().descriptor = -1;
            close(m_descriptor);
        }
        signal_event(const signal_event&) = delete;
        signal_event& operator=(const signal_event&) = delete;

    private:
        signal_mailbox& mailbox() const { return signalMailboxes[static_cast<std::size_t>(m_signalNumber)]; }

        void callHook()
        {
            eventfd_t count = 0;
            eventfd_read(m_descriptor, &count);
            const std::int64_t raisedAt = mailbox().raisedAt.exchange(signal_mailbox::none);
            if (raisedAt != signal_mailbox::none)
                m_hook(protocol::time_point(protocol::time_point::duration(raisedAt)));
        }

        const int m_signalNumber;
        const int m_descriptor;
        const event_loop::signal_hook m_hook;
        hook_event m_event;
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
    std::vector<std::unique_ptr<signal_event>> signalEvents;
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
    onSignal(signalNumber, [hook = std::move(hook)](protocol::time_point) { hook(); });
}

void event_loop::onSignal(int signalNumber, signal_hook hook)
{
    m_impl->signalEvents.push_back(std::make_unique<signal_event>(m_impl->base, signalNumber, std::move(hook)));
}

event_base* event_loop::base()
{
    return m_impl->base;
}

} // namespace jackdaw::transport
