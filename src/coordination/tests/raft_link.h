// Simulated links between hosts, from a seed: message loss, duplication, delay, reordering and one-way cuts.
#pragma once

#include "protocol/time.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace jackdaw::coordination::tests {

struct link_settings {
    double loss = 0;
    double duplication = 0;
    protocol::duration minDelay = std::chrono::microseconds(200);
    protocol::duration maxDelay = std::chrono::milliseconds(2);
};

template <typename Message>
class simulated_link {
public:
    struct delivery {
        std::string from;
        std::string to;
        Message message;
    };

    explicit simulated_link(std::uint64_t seed)
        : m_random(seed)
    {
    }

    link_settings settings;

    // Drops messages in one direction until the time point.
    void cut(const std::string& from, const std::string& to, protocol::time_point until) { m_cuts[{ from, to }] = until; }
    void heal() { m_cuts.clear(); }

    void send(protocol::time_point now, const std::string& from, const std::string& to, Message message)
    {
        const auto found = m_cuts.find({ from, to });
        if ((found != m_cuts.end() && now < found->second) || happens(settings.loss))
            return;
        if (happens(settings.duplication))
            m_deliveries.emplace(now + delay(), delivery { from, to, message });
        m_deliveries.emplace(now + delay(), delivery { from, to, std::move(message) });
    }

    protocol::time_point nextDelivery() const
    {
        return m_deliveries.empty() ? protocol::time_point::max() : m_deliveries.begin()->first;
    }

    // Delivers a message later, for a receiver that is frozen.
    void postpone(protocol::time_point until, delivery held) { m_deliveries.emplace(until, std::move(held)); }

    delivery takeDelivery() { return std::move(m_deliveries.extract(m_deliveries.begin()).mapped()); }

private:
    bool happens(double chance) { return std::bernoulli_distribution(chance)(m_random); }

    protocol::duration delay()
    {
        std::uniform_int_distribution<protocol::duration::rep> wait(settings.minDelay.count(), settings.maxDelay.count());
        return protocol::duration(wait(m_random));
    }

    std::mt19937_64 m_random;
    std::multimap<protocol::time_point, delivery> m_deliveries;
    std::map<std::pair<std::string, std::string>, protocol::time_point> m_cuts;
};

} // namespace jackdaw::coordination::tests
