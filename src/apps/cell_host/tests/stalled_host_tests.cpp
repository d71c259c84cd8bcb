// A cell host on loopback that knows less than it should: it has just started, or stood still while another host of its zone went on.
#include "apps/cell_host/cell_host.h"
#include "protocol/config_messages.h"
#include "transport/mesh.h"
#include "transport/tests/bound_port.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

using namespace jackdaw;
using std::chrono::milliseconds;

namespace {

constexpr auto hostAddress = "127.0.0.1";
constexpr auto otherAddress = "127.0.0.2";
constexpr auto controlAddress = "127.0.0.11";
constexpr auto jobAtOwner = "at the owner"; // its caller is connected to the other host
constexpr auto jobElsewhere = "elsewhere"; // known to the other host only
constexpr milliseconds silence(1300); // longer than that of a host that counts as lost, 1 s

transport::mesh_settings makeLinkSettings(const std::string& host, const std::string& address, std::uint16_t port)
{
    transport::mesh_settings settings;
    settings.host = host;
    settings.incarnation = 1;
    settings.listenAddress = address + ':' + std::to_string(port);
    settings.silenceLimit = milliseconds(5000);
    return settings;
}

// The other host, on a thread of its own. It hands a job in as soon as the host under test owns the cell.
class other_host {
public:
    explicit other_host(std::uint16_t port)
        : m_links(m_loop, makeLinkSettings(otherAddress, otherAddress, port), [this](const transport::mesh_delivery& delivery) { onDelivery(delivery); })
    {
        REQUIRE(m_links.listen());
        m_links.setPeer(hostAddress, std::string(hostAddress) + ':' + std::to_string(port));
        m_timer = m_loop.every(milliseconds(20), [this] {
            protocol::host_gossip gossip;
            gossip.host = otherAddress;
            gossip.incarnation = 1;
            gossip.zone = "a";
            gossip.processorMillicores = 100; // less than the host under test has, which claims the cell
            send(gossip);
            ++m_gossips;
        });
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~other_host()
    {
        m_loop.stop();
        m_thread.join();
    }
    other_host(const other_host&) = delete;
    other_host& operator=(const other_host&) = delete;

    int gossips() const { return m_gossips; }

private:
    void send(const protocol::cell_message& message) { m_links.send(hostAddress, protocol::encodeCellMessage(message)); }

    void onDelivery(const transport::mesh_delivery& delivery)
    {
        const auto message = protocol::decodeCellMessage(delivery.body);
        if (!message)
            return;
        if (const auto* gossip = std::get_if<protocol::host_gossip>(&message.value()); gossip && !gossip->claims.empty() && !m_hasSubmitted) {
            m_hasSubmitted = true;
            protocol::job_order job;
            job.id = jobAtOwner;
            job.submissionNumber = 1;
            job.handOverCount = 1; // waits, since the upstreams of the earlier owner are not known
            job.cell = gossip->claims.front().cell;
            job.fencingToken = gossip->claims.front().fencingToken;
            job.steps = { { 1, { 1000, 64, 0 }, 1000, {}, "", "", 0 } };
            job.service = "planning";
            job.maxAttempts = 3;
            job.targetMs = 60000; // it is not given up as late
            job.timeLeftMs = 60000;
            send(job);
        } else if (const auto* cancel = std::get_if<protocol::job_cancel>(&message.value()); cancel && cancel->id == jobElsewhere) {
            protocol::job_order order;
            order.id = cancel->id;
            order.submissionNumber = cancel->submissionNumber;
            send(protocol::makeOrderAnswer(order, protocol::job_outcome::unfinished, "cancelled"));
        }
    }

    transport::event_loop m_loop;
    transport::mesh m_links;
    std::unique_ptr<transport::event_loop::timer> m_timer;
    bool m_hasSubmitted = false;
    std::atomic<int> m_gossips = 0;
    std::thread m_thread;
};

} // namespace

TEST_CASE("a host that stood still takes the others for lost before it has read what they sent")
{
    transport::event_loop loop;
    cell_host::cell_host_settings settings;
    settings.host = hostAddress;
    settings.zone = "a";
    settings.processorMillicores = 1000;
    settings.meshPort = transport::tests::bound_port().number();
    settings.controlMeshPort = transport::tests::bound_port().number();
    settings.seeds = { controlAddress };
    settings.maxLease = milliseconds(1000);
    std::unique_ptr<transport::mesh> control;
    control = std::make_unique<transport::mesh>(loop, makeLinkSettings(protocol::controlMeshName(controlAddress), controlAddress, settings.controlMeshPort), [&](const transport::mesh_delivery& delivery) {
        const auto message = protocol::decodeCellMessage(delivery.body);
        const auto* request = message ? std::get_if<protocol::directory_request>(&message.value()) : nullptr;
        if (!request)
            return;
        control->setPeer(request->host, request->host + ':' + std::to_string(settings.meshPort));
        control->send(request->host, protocol::encodeCellMessage(protocol::directory_update { { otherAddress }, { controlAddress }, {} }));
    });
    REQUIRE(control->listen());
    cell_host::cell_host host(loop, settings, 1, { {}, [](const protocol::configuration_push&) { return true; } });
    REQUIRE(host.open());
    other_host other(settings.meshPort);
    const auto runUntil = [&loop](const std::function<bool()>& isReached) {
        for (int round = 0; round < 200 && !isReached(); ++round) {
            const auto end = loop.after(milliseconds(50), [&loop] { loop.stop(); });
            loop.run();
        }
        REQUIRE(isReached());
    };
    const auto hasJob = [&host] { return host.metricsPage().find("\njackdaw_waiting_tasks 1\n") != std::string::npos; };
    runUntil(hasJob);

    // The host's timers that are due in the same pass of the loop run before it reads again.
    std::optional<cells::cancel_outcome> cancelled;
    std::unique_ptr<transport::event_loop::timer> longTimer;
    const auto timer = loop.after({}, [&] {
        longTimer = loop.after({}, [&] {
            const auto begin = std::chrono::steady_clock::now();
            while (std::chrono::steady_clock::now() - begin < silence)
                std::this_thread::sleep_for(milliseconds(10));
            for (const int sent = other.gossips(); other.gossips() < sent + 3;)
                std::this_thread::sleep_for(milliseconds(10));
            host.cancel(jobElsewhere, milliseconds(5000), [&](cells::cancel_outcome outcome) { cancelled = outcome; });
        });
        std::this_thread::sleep_for(milliseconds(200)); // the host's timers are due within it
    });
    runUntil([&] { return cancelled.has_value(); });
    CHECK(cancelled == cells::cancel_outcome::cancelled);
    const int sent = other.gossips();
    runUntil([&] { return other.gossips() >= sent + 20; });
    CHECK(hasJob());
}

TEST_CASE("a host that has just started says of a job that nobody has it, before it knows of an owner")
{
    transport::event_loop loop;
    cell_host::cell_host_settings settings;
    settings.host = hostAddress;
    settings.zone = "a";
    cell_host::cell_host host(loop, settings, 1, { {}, [](const protocol::configuration_push&) { return true; } });
    std::optional<cells::cancel_outcome> outcome;
    host.cancel(jobElsewhere, milliseconds(5000), [&](cells::cancel_outcome result) { outcome = result; });
    CHECK(outcome == cells::cancel_outcome::unanswered);
}
