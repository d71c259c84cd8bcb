// Compares the time between two beats of a timer with its interval.
#include "transport/stall_watch.h"

#include <optional>
#include <utility>

namespace jackdaw::transport {
namespace {

    using protocol::duration;
    using protocol::time_point;
    using std::chrono::milliseconds;

    constexpr duration beatInterval = milliseconds(100);
    constexpr duration stallLimit = milliseconds(250); // a loop under load is late by a part of it
    // One pass reads open connections and accepts new ones, the next reads those; libevent's first passes take few events each.
    constexpr int passesToDrain = 4;

} // namespace

class stall_watch::impl {
public:
    impl(event_loop& eventLoop, stall_hook hook, clock clockHook)
        : loop(eventLoop)
        , onStall(std::move(hook))
        , readClock(std::move(clockHook))
        , timer(loop.every(beatInterval, [this] { beat(); }))
    {
    }

    void beat()
    {
        const time_point now = readClock();
        const time_point before = std::exchange(lastBeat, now);
        if (stalledSince || now - before < stallLimit)
            return;
        stalledSince = before;
        drain(passesToDrain);
        if (onStall)
            onStall(now - before);
    }

    void drain(int passes)
    {
        if (passes == 0) {
            stalledSince.reset();
            return;
        }
        loop.post([this, alive = std::weak_ptr<bool>(aliveToken), passes] {
            if (!alive.expired())
                drain(passes - 1);
        });
    }

    event_loop& loop;
    const stall_hook onStall;
    const clock readClock;
    time_point lastBeat = readClock();
    std::optional<time_point> stalledSince; // while input of that time may be unread
    std::shared_ptr<bool> aliveToken = std::make_shared<bool>(true);
    std::unique_ptr<event_loop::timer> timer;
};

stall_watch::stall_watch(event_loop& loop, stall_hook onStall, clock readClock)
    : m_impl(std::make_unique<impl>(loop, std::move(onStall), std::move(readClock)))
{
}

stall_watch::~stall_watch() = default;

// The input may be read before the beat that is late.
duration stall_watch::maxInputDelay() const
{
    const duration delay = m_impl->readClock() - m_impl->stalledSince.value_or(m_impl->lastBeat);
    return m_impl->stalledSince || delay >= stallLimit ? delay : duration::zero();
}

} // namespace jackdaw::transport
