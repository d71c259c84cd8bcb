// How long an accepted change takes to be in force on nine entry hosts over a lossy link, by push, pull and both. Runs on a
// clock and a seeded link of its own.
#include "apps/control/rules_publisher.h"
#include "coordination/rules_follower.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>

using namespace jackdaw;
using namespace jackdaw::control;
using coordination::rules_follower;
using protocol::config_message;
using protocol::duration;
using protocol::time_point;
using std::chrono::milliseconds;

namespace {

constexpr int hostCount = 9;
constexpr int changeCount = 1000;
constexpr duration step = milliseconds(1); // also the link's latency
constexpr duration pushAgainInterval = milliseconds(200);
constexpr duration heartbeat = milliseconds(500);
constexpr duration pullInterval = milliseconds(1000);
constexpr duration giveUp = std::chrono::seconds(10);

struct spread_mode {
    std::string name;
    bool pushes;
    bool pushesAgain;
    bool pulls;
    bool hints;
};

struct spread_result {
    std::vector<duration> untilEverywhere; // of each change, at most giveUp
    std::uint64_t messages = 0;

    duration quantile(double share)
    {
        std::sort(untilEverywhere.begin(), untilEverywhere.end());
        return untilEverywhere[static_cast<std::size_t>(share * static_cast<double>(untilEverywhere.size() - 1))];
    }
};

class spread_simulation {
public:
    spread_simulation(spread_mode mode, double loss)
        : m_mode(std::move(mode))
        , m_loss(loss)
        , m_publisher(names(), [this](const std::string& host, const config_message& message) {
            deliver([this, host, message] { static_cast<void>(m_followers.at(host)->onPush("control", std::get<protocol::rules_push>(message))); });
        })
    {
        for (const std::string& name : names())
            m_followers[name] = makeFollower(name);
    }

    spread_result run()
    {
        spread_result result;
        for (int change = 1; change <= changeCount; ++change) {
            const time_point begin = m_now;
            m_publisher.publish(static_cast<std::uint64_t>(change), "retry.budget = 0.2 # asked for by Ana Kos\n", m_mode.pushes);
            while (!isEverywhere(static_cast<std::uint64_t>(change)) && m_now - begin < giveUp)
                pass();
            result.untilEverywhere.push_back(m_now - begin);
            for (std::uint64_t pause = m_random() % 1000; pause > 0; --pause)
                pass();
        }
        result.messages = m_messages;
        return result;
    }

private:
    static std::vector<std::string> names()
    {
        std::vector<std::string> all;
        all.reserve(hostCount);
        for (int i = 0; i < hostCount; ++i)
            all.push_back("e" + std::to_string(i));
        return all;
    }

    std::unique_ptr<rules_follower> makeFollower(const std::string& name)
    {
        const auto send = [this, name](const std::string&, const config_message& message) {
            deliver([this, name, message] { m_publisher.onPull(m_now, name, std::get<protocol::rules_pull>(message).version); });
        };
        return std::make_unique<rules_follower>(std::vector<std::string> { "control" }, pullInterval, coordination::rules_follower_hooks { send, [](const auto&) {} });
    }

    void deliver(std::function<void()> arrival)
    {
        ++m_messages;
        if (std::uniform_real_distribution<double>(0, 1)(m_random) >= m_loss)
            m_arrivals.emplace(m_now + step, std::move(arrival));
    }

    void pass()
    {
        m_now += step;
        while (!m_arrivals.empty() && m_arrivals.begin()->first <= m_now)
            m_arrivals.extract(m_arrivals.begin()).mapped()();
        const auto isDue = [this](duration interval) { return m_now.time_since_epoch() % interval == duration::zero(); };
        if (m_mode.pushesAgain && isDue(pushAgainInterval))
            m_publisher.pushAgain(m_now);
        if (m_mode.hints && isDue(heartbeat))
            hintAll();
        for (const auto& [name, follower] : m_followers) {
            if (m_mode.pulls)
                follower->advance(m_now);
        }
    }

    // Heartbeats are sent anyway and are not counted.
    void hintAll()
    {
        for (const auto& [name, follower] : m_followers) {
            for (const auto& [peerName, peer] : m_followers) {
                if (std::uniform_real_distribution<double>(0, 1)(m_random) >= m_loss)
                    follower->onHint(m_now, peer->version());
            }
        }
    }

    bool isEverywhere(std::uint64_t version) const
    {
        return std::all_of(m_followers.begin(), m_followers.end(), [version](const auto& item) { return item.second->version() >= version; });
    }

    spread_mode m_mode;
    double m_loss;
    std::mt19937_64 m_random { 7 };
    time_point m_now { std::chrono::seconds(100) };
    std::multimap<time_point, std::function<void()>> m_arrivals;
    std::uint64_t m_messages = 0;
    rules_publisher m_publisher;
    std::map<std::string, std::unique_ptr<rules_follower>> m_followers;
};

} // namespace

TEST_CASE("with 20 % loss a change is in force on nine hosts within a second, at the 99th percentile")
{
    constexpr double loss = 0.2;
    const spread_mode both { "push, push again, pull on hint", true, true, true, true };
    for (const spread_mode& mode : { spread_mode { "push once", true, false, false, false }, spread_mode { "pull only", false, false, true, false },
             spread_mode { "push once, pull on hint", true, false, true, true }, both }) {
        spread_result result = spread_simulation(mode, loss).run();
        MESSAGE(mode.name << ": p50 " << result.quantile(0.5).count() / 1000 << " ms, p99 " << result.quantile(0.99).count() / 1000
                          << " ms, messages for each change " << static_cast<double>(result.messages) / changeCount);
        if (mode.pushesAgain)
            CHECK(result.quantile(0.99) <= std::chrono::seconds(1));
    }
}
