// Tests of slot leases: the limit of held slots under message loss, delay, network partitions and restarts, and the
// division by demand.
#include "coordination/slot_leases.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <random>

using namespace jackdaw::coordination;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slotsPerUpstream = 8;
constexpr std::size_t hostCount = 3;
constexpr std::size_t upstreamCount = 4;

// Simulates the hosts of a zone, the network between them, and the issuer of membership views.
class lease_zone {
public:
    explicit lease_zone(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < hostCount; ++i)
            restart(i);
    }

    void restart(std::size_t index)
    {
        host& each = m_hosts[index];
        ++each.identity.incarnation;
        each.identity.name = "host" + std::to_string(index);
        slot_lease_settings settings;
        settings.self = each.identity;
        each.leases = std::make_unique<slot_leases>(settings, [this](const lease_host& to, lease_message message) { send(to, std::move(message)); });
        for (std::size_t i = 0; i < upstreamCount; ++i)
            each.leases->setUpstream(m_now, upstream(i), slotsPerUpstream);
        newEpoch();
    }

    void setIsolated(std::size_t index, bool isolated)
    {
        m_hosts[index].isolated = isolated;
        newEpoch();
    }

    void step(duration time, int lossPercent, duration maxDelay)
    {
        m_lossPercent = lossPercent;
        m_maxDelay = maxDelay;
        m_now += time;
        for (host& each : m_hosts) {
            if (!each.isolated && !isLost())
                schedule(drawDelay(), [this, &each, view = m_view, until = m_now + 1s, incarnation = each.identity.incarnation] {
                    if (each.identity.incarnation == incarnation)
                        each.leases->setView(m_now, view, until);
                });
            each.leases->advance(m_now);
            checkSlotLimit();
        }
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto callback = m_events.begin()->second;
            m_events.erase(m_events.begin());
            callback();
            checkSlotLimit();
        }
    }

    std::uint32_t held(std::size_t index, std::size_t upstreamIndex) const { return m_hosts[index].leases->slots(m_now, upstream(upstreamIndex)); }

    std::uint32_t total(std::size_t upstreamIndex) const
    {
        std::uint32_t sum = 0;
        for (std::size_t i = 0; i < hostCount; ++i)
            sum += held(i, upstreamIndex);
        return sum;
    }

    void demand(std::size_t index, std::uint32_t wanted)
    {
        for (std::size_t i = 0; i < upstreamCount; ++i)
            m_hosts[index].leases->setDemand(upstream(i), wanted, 0);
    }

    std::uint64_t draw(std::uint64_t below) { return m_random() % below; }

private:
    struct host {
        lease_host identity;
        std::unique_ptr<slot_leases> leases;
        bool isolated = false;
    };

    static upstream_id upstream(std::size_t index) { return { "u" + std::to_string(index), 1 }; }

    bool isLost() { return draw(100) < static_cast<std::uint64_t>(m_lossPercent); }
    duration drawDelay() { return duration { draw(m_maxDelay.count() + 1) }; }
    void schedule(duration wait, std::function<void()> callback) { m_events.emplace(m_now + wait, std::move(callback)); }

    void newEpoch()
    {
        ++m_view.epoch;
        m_view.hosts.clear();
        for (const host& each : m_hosts) {
            if (!each.isolated && each.leases)
                m_view.hosts.push_back(each.identity);
        }
    }

    void send(const lease_host& to, lease_message message)
    {
        const auto from = std::visit([](const auto& each) { return each.from; }, message);
        for (host& each : m_hosts) {
            const bool sameSide = !each.isolated && !isIsolated(from);
            if (each.identity != to || !sameSide || isLost())
                continue;
            schedule(drawDelay(), [this, &each, to, message = std::move(message)] {
                if (each.identity == to)
                    each.leases->receive(m_now, message);
            });
            return;
        }
    }

    bool isIsolated(const lease_host& identity) const
    {
        for (const host& each : m_hosts) {
            if (each.identity == identity)
                return each.isolated;
        }
        return true;
    }

    void checkSlotLimit() const
    {
        for (std::size_t i = 0; i < upstreamCount; ++i)
            REQUIRE(total(i) <= slotsPerUpstream);
    }

    std::mt19937_64 m_random;
    host m_hosts[hostCount];
    membership_view m_view;
    std::multimap<time_point, std::function<void()>> m_events;
    time_point m_now { 1000s };
    int m_lossPercent = 0;
    duration m_maxDelay {};
};

} // namespace

TEST_CASE("the hosts together never hold more slots than an upstream has, under loss, delay, partitions and restarts")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        lease_zone zone(seed);
        std::uint64_t heldSum = 0;
        for (int i = 0; i < 4000; ++i) {
            if (zone.draw(300) == 0)
                zone.restart(zone.draw(hostCount));
            if (zone.draw(200) == 0)
                zone.setIsolated(zone.draw(hostCount), zone.draw(2) == 0);
            zone.demand(zone.draw(hostCount), static_cast<std::uint32_t>(zone.draw(10)));
            zone.step(50ms, 15, 300ms);
            heldSum += zone.total(0);
        }
        CHECK(heldSum > 0);
        for (std::size_t i = 0; i < hostCount; ++i)
            zone.setIsolated(i, false);
        for (int i = 0; i < 200; ++i)
            zone.step(50ms, 0, 1ms);
        for (std::size_t i = 0; i < upstreamCount; ++i)
            CHECK(zone.total(i) == slotsPerUpstream);
    }
}

TEST_CASE("shares are equal first, follow demand, and the slots of an isolated host go to the others after its lease")
{
    lease_zone zone(7);
    const auto settle = [&zone] {
        for (int i = 0; i < 100; ++i)
            zone.step(50ms, 0, 1ms);
    };
    for (std::size_t i = 0; i < hostCount; ++i)
        zone.demand(i, slotsPerUpstream);
    settle();
    for (std::size_t i = 0; i < hostCount; ++i)
        CHECK(zone.held(i, 0) >= slotsPerUpstream / hostCount);
    zone.demand(0, 1);
    zone.demand(1, 1);
    settle();
    CHECK(zone.held(2, 0) == 6);
    zone.setIsolated(2, true);
    settle();
    CHECK(zone.held(2, 0) == 0);
    CHECK(zone.total(0) == slotsPerUpstream);
}
