// Runs the event loop until an answer is there.
#include "apps/shared/blocking_client.h"

#include <optional>

namespace jackdaw::apps {

blocking_client::blocking_client(transport::event_loop& loop)
    : m_loop(loop)
    , m_client(loop, 1)
{
}

transport::http_result blocking_client::await(const transport::endpoint& target, transport::http_call call)
{
    std::optional<transport::http_result> answer;
    m_client.call(target, std::move(call), [&](transport::http_result result) {
        answer = std::move(result);
        m_loop.stop();
    });
    while (!answer)
        m_loop.run();
    return std::move(*answer);
}

} // namespace jackdaw::apps
