// One timer that is only ever moved nearer.
#include "apps/entry/next_timer.h"

#include <utility>

namespace jackdaw::entry {

using protocol::steadyNow;
using protocol::time_point;

next_timer::next_timer(transport::event_loop& loop, std::function<void(time_point now)> hook)
    : m_loop(loop)
    , m_hook(std::move(hook))
{
}

next_timer::~next_timer() = default;

void next_timer::arm(std::optional<time_point> next)
{
    if (!next || (m_timer && m_armedFor <= *next))
        return;
    m_armedFor = *next;
    const time_point now = steadyNow();
    m_timer = m_loop.after(*next > now ? *next - now : protocol::duration(0), [this] {
        const auto expired = std::move(m_timer); // the hook may set the next one
        m_hook(steadyNow());
    });
}

} // namespace jackdaw::entry
