// A cell host on loopback, among control hosts that have a newer configuration.
#include "apps/cell_host/cell_host.h"
#include "protocol/config_messages.h"
#include "transport/mesh.h"
#include "transport/tests/bound_port.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace jackdaw;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t newestVersion = 7;

// Answers directory requests with its configuration.
struct played_control_host {
    transport::event_loop& loop;
    std::string host;
    std::uint16_t entryPort;
    std::unique_ptr<transport::mesh> links;
    int requests = 0;
    int copies = 0;

    void start(std::uint16_t port)
    {
        transport::mesh_settings settings;
        settings.host = protocol::controlMeshName(host);
        settings.incarnation = 1;
        settings.listenAddress = host + ':' + std::to_string(port);
        links = std::make_unique<transport::mesh>(loop, settings, [this](const transport::mesh_delivery& delivery) { onDelivery(delivery); });
        REQUIRE(links->listen());
    }

    void onDelivery(const transport::mesh_delivery& delivery)
    {
        const auto message = protocol::decodeCellMessage(delivery.body);
        const auto* request = message ? std::get_if<protocol::directory_request>(&message.value()) : nullptr;
        if (!request)
            return;
        ++requests;
        links->setPeer(request->host, request->host + ':' + std::to_string(entryPort));
        if (!request->wantsConfiguration || request->configurationVersion >= newestVersion)
            return;
        ++copies;
        links->send(request->host, protocol::encodeCellMessage(protocol::configuration_push { newestVersion, "text" }));
    }
};

} // namespace

TEST_CASE("every control host sends its copy of a configuration to a host that is behind")
{
    transport::event_loop loop;
    cell_host::cell_host_settings settings;
    settings.host = "127.0.0.1";
    settings.zone = "a";
    settings.meshPort = transport::tests::bound_port().number();
    settings.controlMeshPort = transport::tests::bound_port().number();
    std::vector<played_control_host> controlHosts;
    controlHosts.reserve(6);
    for (int i = 0; i < 6; ++i) {
        controlHosts.push_back({ loop, "127.0.0." + std::to_string(11 + i), settings.meshPort, {} });
        controlHosts.back().start(settings.controlMeshPort);
        settings.seeds.push_back(controlHosts.back().host);
    }
    int applied = 0;
    // The host stays behind, as one does whose copies are still under way.
    cell_host::cell_host host(loop, settings, 1, { {}, [&](const protocol::configuration_push&) {
                                                      ++applied;
                                                      return false;
                                                  } });
    REQUIRE(host.open());
    const auto end = loop.after(milliseconds(2300), [&] { loop.stop(); });
    loop.run();
    int rounds = 0;
    int copies = 0;
    for (const played_control_host& control : controlHosts) {
        rounds = std::max(rounds, control.requests);
        copies += control.copies;
    }
    CHECK(applied >= 2);
    CHECK(copies <= rounds);
}
