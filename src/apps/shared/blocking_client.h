// Sends one HTTP request after the other and waits for each answer; for tools that do nothing else meanwhile.
#pragma once

#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace jackdaw::apps {

class blocking_client {
public:
    // The loop must outlive this object, and must not be running while await() is called.
    explicit blocking_client(transport::event_loop& loop);

    transport::http_result await(const transport::endpoint& target, transport::http_call call);

private:
    transport::event_loop& m_loop;
    transport::http_client m_client;
};

} // namespace jackdaw::apps
