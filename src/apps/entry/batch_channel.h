// Carries messages from one event loop's thread to another's in batches: all that is sent in one turn of the sending
// loop arrives in one call.
#pragma once

#include "transport/event_loop.h"

#include <functional>
#include <utility>
#include <vector>

namespace jackdaw::entry {

// Must outlive the running of both loops.
template <typename Message>
class batch_channel {
public:
    using delivery_hook = std::function<void(std::vector<Message> batch)>;

    // The hook runs on the receiving loop's thread.
    batch_channel(transport::event_loop& sender, transport::event_loop& receiver, delivery_hook onDelivery)
        : m_sender(sender)
        , m_receiver(receiver)
        , m_onDelivery(std::move(onDelivery))
    {
    }

    // On the sending loop's thread.
    void send(Message message)
    {
        m_batch.push_back(std::move(message));
        if (m_batch.size() == 1)
            m_sender.post([this] { flush(); });
    }

private:
    void flush()
    {
        m_receiver.post([this, batch = std::exchange(m_batch, {})]() mutable { m_onDelivery(std::move(batch)); });
    }

    transport::event_loop& m_sender;
    transport::event_loop& m_receiver;
    delivery_hook m_onDelivery;
    std::vector<Message> m_batch; // owned by the sending thread; not empty while a flush is queued
};

} // namespace jackdaw::entry
