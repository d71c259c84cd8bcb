// A cell host on loopback, among entry hosts of the test that know of other evacuations than it does.
#include "apps/cell_host/cell_host.h"
#include "protocol/cell_messages.h"
#include "transport/mesh.h"
#include "transport/tests/bound_port.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace jackdaw;
using std::chrono::milliseconds;

namespace {

// An entry host that gossips, and keeps the evacuations that it is sent.
struct played_entry_host {
    transport::event_loop& loop;
    std::string host;
    std::uint16_t port;
    std::unique_ptr<transport::mesh> links;
    std::vector<protocol::evacuation_state> states;

    void start(const std::string& other)
    {
        transport::mesh_settings settings;
        settings.host = host;
        settings.incarnation = 1;
        settings.listenAddress = host + ':' + std::to_string(port);
        links = std::make_unique<transport::mesh>(loop, settings, [this](const transport::mesh_delivery& delivery) {
            const auto message = protocol::decodeCellMessage(delivery.body);
            if (message && std::holds_alternative<protocol::evacuation_state>(message.value()))
                states.push_back(std::get<protocol::evacuation_state>(message.value()));
        });
        REQUIRE(links->listen());
        links->setPeer(other, other + ':' + std::to_string(port));
    }

    void gossip(const std::string& to, std::uint64_t evacuationNumber) const
    {
        links->send(to, protocol::encodeCellMessage(protocol::host_gossip { host, 1, "a", 100, false, 0, {}, 1, evacuationNumber }));
    }
};

struct host_among_peers {
    transport::event_loop loop;
    cell_host::cell_host_settings settings;
    std::unique_ptr<cell_host::cell_host> host;
    std::unique_ptr<played_entry_host> informed;
    std::unique_ptr<played_entry_host> behind;

    host_among_peers()
    {
        settings.host = "127.0.0.1";
        settings.zone = "a";
        settings.meshPort = transport::tests::bound_port().number();
        settings.controlMeshPort = transport::tests::bound_port().number();
        host = std::make_unique<cell_host::cell_host>(loop, settings, 1, cell_host::cell_host_hooks { {}, [](const protocol::configuration_push&) { return false; } });
        REQUIRE(host->open());
        informed = std::make_unique<played_entry_host>(played_entry_host { loop, "127.0.0.21", settings.meshPort, {}, {} });
        behind = std::make_unique<played_entry_host>(played_entry_host { loop, "127.0.0.22", settings.meshPort, {}, {} });
        informed->start(settings.host);
        behind->start(settings.host);
    }

    // Runs the loop until the condition holds, or for 10 s.
    void runUntil(const std::function<bool()>& condition)
    {
        const auto poll = loop.every(milliseconds(20), [&] {
            if (condition())
                loop.stop();
        });
        const auto limit = loop.after(std::chrono::seconds(10), [&] { loop.stop(); });
        loop.run();
    }

    bool hasEvacuatedZones(int count) const { return host->metricsPage().find("\njackdaw_evacuated_zones " + std::to_string(count) + "\n") != std::string::npos; }
};

} // namespace

TEST_CASE("an entry host keeps an evacuation to itself while a host that no control host reaches does not know of it")
{
    host_among_peers f;
    f.runUntil([&] {
        f.informed->links->send(f.settings.host, protocol::encodeCellMessage(protocol::evacuation_state { 3, { { "b", true, 400 } } }));
        return f.hasEvacuatedZones(1);
    });
    REQUIRE(f.hasEvacuatedZones(1));
    f.runUntil([&] {
        f.informed->gossip(f.settings.host, 3);
        f.behind->gossip(f.settings.host, 2);
        return !f.behind->states.empty();
    });
    REQUIRE_FALSE(f.behind->states.empty());
    const protocol::evacuation_state& passed = f.behind->states.front();
    CHECK(passed.number == 3);
    REQUIRE(passed.rows.size() == 1);
    CHECK(passed.rows[0].zone == "b");
    CHECK(passed.rows[0].storedMsAgo >= 400);
    CHECK(f.informed->states.empty()); // it knows as much
}

TEST_CASE("an impossible evacuation takes effect, or keeps later ones from it")
{
    host_among_peers f;
    bool hasTakenEffect = false;
    f.runUntil([&] {
        f.informed->links->send(f.settings.host, protocol::encodeCellMessage(protocol::evacuation_state { 9, { { "a#1", true, 0 } } }));
        f.informed->links->send(f.settings.host, protocol::encodeCellMessage(protocol::evacuation_state { 9, { { "a", true, 0 }, { "a", true, 0 } } }));
        hasTakenEffect = hasTakenEffect || f.hasEvacuatedZones(2);
        f.informed->links->send(f.settings.host, protocol::encodeCellMessage(protocol::evacuation_state { 4, { { "a", true, 0 } } }));
        return f.hasEvacuatedZones(1);
    });
    CHECK_FALSE(hasTakenEffect);
    CHECK(f.hasEvacuatedZones(1));
}

TEST_CASE("without evacuations a host sends messages about them")
{
    host_among_peers f;
    int rounds = 0;
    f.runUntil([&] {
        f.informed->gossip(f.settings.host, 0);
        f.behind->gossip(f.settings.host, 0);
        return ++rounds > 50;
    });
    CHECK(f.informed->states.empty());
    CHECK(f.behind->states.empty());
}
