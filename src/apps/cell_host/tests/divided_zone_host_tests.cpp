// A cell host on loopback whose zone is divided while it owns the zone's cell.
#include "apps/cell_host/cell_host.h"
#include "protocol/config_messages.h"
#include "transport/mesh.h"
#include "transport/tests/bound_port.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

using namespace jackdaw;
using std::chrono::milliseconds;

namespace {

constexpr int fewUpstreams = 10;
constexpr int manyUpstreams = 100; // gives two cells
constexpr auto otherEntryHost = "127.0.0.2";
constexpr auto controlHost = "127.0.0.11";

// A process of the mesh that the test plays.
struct played_host {
    std::unique_ptr<transport::mesh> links;

    played_host(transport::event_loop& loop, const std::string& meshName, const std::string& address, std::uint16_t port, std::function<void(const protocol::cell_message& message)> onMessage)
    {
        transport::mesh_settings settings;
        settings.host = meshName;
        settings.incarnation = 1;
        settings.listenAddress = address + ':' + std::to_string(port);
        links = std::make_unique<transport::mesh>(loop, settings, [onMessage = std::move(onMessage)](const transport::mesh_delivery& delivery) {
            if (const auto message = protocol::decodeCellMessage(delivery.body))
                onMessage(message.value());
        });
        REQUIRE(links->listen());
    }
};

// Upstreams that answer each call after a millisecond and run tasks for ever.
struct played_upstreams {
    transport::event_loop& loop;
    std::map<std::string, std::vector<cells::running_task>> running; // by upstream
    std::set<std::string> startedJobs;
    std::vector<std::unique_ptr<transport::event_loop::timer>> timers;

    void later(std::function<void()> work) { timers.push_back(loop.after(milliseconds(1), std::move(work))); }
    static cells::call_answer done() { return { cells::call_outcome::done, 5000 }; }

    cell_host::upstream_driver driver()
    {
        cell_host::upstream_driver out;
        out.start = [this](const cells::start_request& order, const auto& completion) {
            running[order.target.id].push_back({ order.run });
            startedJobs.insert(order.run.task.substr(0, order.run.task.find('.')));
            later([completion] { completion(done()); });
        };
        out.stop = [this](const cells::stop_request&, const auto& completion) { later([completion] { completion(done()); }); };
        out.poll = [this](const cells::poll_request& order, const auto& completion) {
            cells::poll_answer answer;
            answer.call = done();
            answer.bornUnixMs = 1000;
            answer.running = running[order.target.id];
            later([completion, answer] { completion(answer); });
        };
        return out;
    }
};

protocol::job_order makeHandedOverJob(const std::string& id, const protocol::cell_claim& claim, std::uint32_t earlierCellCount)
{
    protocol::job_order job;
    job.id = id;
    job.cell = claim.cell;
    job.fencingToken = claim.fencingToken;
    job.steps = { { 1, { 1000, 64, 0 }, 1000, {}, "", "", 0 } };
    job.service = "planning";
    job.maxAttempts = 3;
    job.slackFactor = 2;
    job.targetMs = 5000;
    job.timeLeftMs = 6000;
    job.handOverCount = 1;
    job.earlierCellCount = earlierCellCount;
    return job;
}

} // namespace

// Guards the way of a division from the upstreams' reports to the claim, and from a job's order to its start.
TEST_CASE("a host that divides its zone keeps its claim, or starts a job whose tasks may run in the other cell")
{
    transport::event_loop loop;
    cell_host::cell_host_settings settings;
    settings.host = "127.0.0.1";
    settings.zone = "a";
    settings.processorMillicores = 250;
    settings.meshPort = transport::tests::bound_port().number();
    settings.controlMeshPort = transport::tests::bound_port().number();
    settings.seeds = { controlHost };
    settings.maxLease = milliseconds(1000);
    settings.reportInterval = milliseconds(20);
    settings.stopTime = milliseconds(50);

    int upstreamCount = fewUpstreams;
    const auto makeReports = [&upstreamCount] {
        std::vector<protocol::upstream_report> reports;
        reports.reserve(static_cast<std::size_t>(upstreamCount));
        for (int i = 0; i < upstreamCount; ++i)
            reports.push_back({ "u" + std::to_string(i), 1000, static_cast<std::uint64_t>(upstreamCount), "planning", "10.0.0." + std::to_string(i + 1) + ":80", "a", { 16000, 65536, 0 }, {}, false });
        return reports;
    };
    std::unique_ptr<played_host> control;
    control = std::make_unique<played_host>(loop, protocol::controlMeshName(controlHost), controlHost, settings.controlMeshPort, [&](const protocol::cell_message& message) {
        const auto* request = std::get_if<protocol::directory_request>(&message);
        if (!request)
            return;
        control->links->setPeer(request->host, request->host + ':' + std::to_string(settings.meshPort));
        control->links->send(request->host, protocol::encodeCellMessage(protocol::directory_update { { otherEntryHost }, { controlHost }, makeReports(), request->newsZone, request->newsTime }));
    });
    std::vector<protocol::cell_claim> claims; // as last announced
    played_host origin(loop, otherEntryHost, otherEntryHost, settings.meshPort, [&](const protocol::cell_message& message) {
        if (const auto* gossip = std::get_if<protocol::host_gossip>(&message))
            claims = gossip->claims;
    });
    origin.links->setPeer(settings.host, settings.host + ':' + std::to_string(settings.meshPort));

    played_upstreams upstreams { loop, {}, {}, {} };
    cell_host::cell_host host(loop, settings, 1, { upstreams.driver(), [](const protocol::configuration_push&) { return true; } });
    REQUIRE(host.open());
    const auto runUntil = [&loop](const std::function<bool()>& isReached, int rounds) {
        for (int round = 0; round < rounds && !isReached(); ++round) {
            const auto end = loop.after(milliseconds(100), [&loop] { loop.stop(); });
            loop.run();
        }
    };
    runUntil([&claims] { return !claims.empty(); }, 50);
    REQUIRE(claims.size() == 1);
    const protocol::cell_claim undivided = claims[0];
    CHECK(undivided.cell == "a");
    CHECK(undivided.zoneCellCount == 1);

    upstreamCount = manyUpstreams;
    runUntil([&claims] { return claims.size() > 1; }, 50);
    REQUIRE(claims.size() == 2);
    CHECK(claims[0].cell == "a");
    CHECK(claims[0].zoneCellCount == 2);
    CHECK(claims[0].fencingToken > undivided.fencingToken);

    origin.links->send(settings.host, protocol::encodeCellMessage(protocol::upstream_list { makeReports(), std::vector<std::uint32_t>(manyUpstreams, 0) }));
    const auto hasStarted = [&] {
        origin.links->send(settings.host, protocol::encodeCellMessage(makeHandedOverJob("divided", claims[0], 1)));
        origin.links->send(settings.host, protocol::encodeCellMessage(makeHandedOverJob("same", claims[0], 2)));
        return !upstreams.startedJobs.empty();
    };
    runUntil(hasStarted, 15); // 1.5 s: less than the job of the other division waits
    CHECK(upstreams.startedJobs == std::set<std::string> { "same" });
}
