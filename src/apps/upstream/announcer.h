// Announces one upstream to the entry hosts, a third of its ttl apart, to one host after the other as a balancer would.
#pragma once

#include "protocol/announcement.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace jackdaw::upstream {

class announcer {
public:
    // What to announce now; nothing keeps still.
    using source = std::function<std::optional<protocol::announcement>()>;

    // The loop and the client must outlive this object.
    announcer(transport::event_loop& loop, transport::http_client& client, std::vector<transport::endpoint> entries,
        std::size_t firstEntry, source current);
    ~announcer();

    // Announces at once, and from then on at the interval.
    void start(protocol::duration interval);
    void announceNow();

private:
    class impl;
    std::shared_ptr<impl> m_impl; // shared with the calls on their way
};

} // namespace jackdaw::upstream
