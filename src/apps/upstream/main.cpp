// jackdaw-upstream: stand-in upstreams for tests and trials. One process serves many instances on one event loop.
#include "apps/shared/command_line.h"
#include "apps/upstream/announcer.h"
#include "apps/upstream/control_server.h"
#include "apps/upstream/upstream_settings.h"

#include <csignal>
#include <random>

namespace {

using namespace jackdaw;
using namespace jackdaw::upstream;
using transport::event_loop;

constexpr std::size_t maxConnectionsToEntry = 4;
constexpr protocol::duration leaveCheckInterval = std::chrono::milliseconds(50);

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

// Everything the process serves.
class stand_in {
public:
    explicit stand_in(upstream_settings settings)
        : m_settings(std::move(settings))
        , m_client(m_loop, maxConnectionsToEntry)
        , m_control(m_loop, m_instances, m_starts, [this](std::size_t instance) { m_announcers[instance]->announceNow(); })
    {
    }

    protocol::result<void> listen()
    {
        for (std::size_t i = 0; i < m_settings.instances; ++i) {
            m_instances.push_back(std::make_unique<upstream_instance>(m_loop, m_starts, instanceSettings(i)));
            if (auto listening = m_instances.back()->listen(); !listening)
                return listening;
            addAnnouncer(*m_instances.back(), i);
        }
        return m_control.listen(m_settings.control);
    }

    void run()
    {
        for (const auto& announcer : m_announcers)
            announcer->start(m_settings.ttl / 3);
        for (const fault_step& step : m_settings.faults)
            schedule(step);
        m_loop.onSignal(SIGTERM, [this] { leave(); });
        m_loop.onSignal(SIGINT, [this] { m_loop.stop(); });
        state::logEvent(state::log_level::info, "serving", { { "instances", std::to_string(m_instances.size()) }, { "control_port", std::to_string(m_control.port()) } });
        m_loop.run();
    }

private:
    instance_settings instanceSettings(std::size_t number) const
    {
        instance_settings out;
        auto& identity = out.identity;
        identity.name = m_settings.name + std::to_string(number + 1);
        identity.incarnation = randomNumber();
        identity.host = m_settings.address;
        identity.port = m_settings.firstPort == 0 ? 0 : static_cast<std::uint16_t>(m_settings.firstPort + number);
        identity.zone = m_settings.zones[number % m_settings.zones.size()];
        identity.slots = m_settings.slots;
        identity.connections = m_settings.connections;
        identity.capacity = m_settings.capacity;
        identity.ttl = m_settings.ttl;
        out.speed = m_settings.speeds[number / m_settings.zones.size() % m_settings.speeds.size()];
        return out;
    }

    void addAnnouncer(upstream_instance& instance, std::size_t number)
    {
        std::vector<transport::endpoint> entries;
        for (const apps::zone_address& entry : m_settings.entries) {
            if (entry.zone.empty() || entry.zone == instance.identity().zone)
                entries.push_back(entry.address);
        }
        const auto current = [&instance]() -> std::optional<protocol::announcement> {
            if (!instance.isAnnouncing())
                return std::nullopt;
            return instance.identity();
        };
        m_announcers.push_back(std::make_unique<announcer>(m_loop, m_client, std::move(entries), number, current));
    }

    void schedule(const fault_step& step)
    {
        const auto set = [this, instance = step.instance](fault what) {
            if (!m_control.setFault(instance, what))
                state::logEvent(state::log_level::warning, "fault_for_unknown_instance", { { "instance", instance } });
        };
        m_faultTimers.push_back(m_loop.after(step.begin, [set, what = step.what] { set(what); }));
        if (step.end)
            m_faultTimers.push_back(m_loop.after(*step.end, [set] { set({}); }));
    }

    // Ends when no task runs any more and every announcement from before has expired.
    void leave()
    {
        if (m_leaveTimer)
            return;
        state::logEvent(state::log_level::info, "leaving", {});
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            m_instances[i]->leave();
            m_announcers[i]->announceNow();
        }
        const auto earliestEnd = protocol::steadyNow() + m_settings.ttl;
        m_leaveTimer = m_loop.every(leaveCheckInterval, [this, earliestEnd] {
            if (protocol::steadyNow() >= earliestEnd && isIdle())
                m_loop.stop();
        });
    }

    bool isIdle() const
    {
        return std::ranges::all_of(m_instances, [](const auto& instance) { return instance->counters().running == 0; });
    }

    upstream_settings m_settings;
    event_loop m_loop;
    start_register m_starts;
    transport::http_client m_client;
    std::vector<std::unique_ptr<upstream_instance>> m_instances;
    std::vector<std::unique_ptr<announcer>> m_announcers; // one for each instance, in the same order
    control_server m_control;
    std::vector<std::unique_ptr<event_loop::timer>> m_faultTimers;
    std::unique_ptr<event_loop::timer> m_leaveTimer;
};

} // namespace

int main(int argc, char** argv)
{
    constexpr std::string_view program = "jackdaw-upstream";
    const auto line = apps::readCommandLine({ program, "stand-in upstreams for tests and trials" }, { argv, static_cast<std::size_t>(argc) }, {});
    if (line.exitCode)
        return *line.exitCode;
    auto reader = state::settings_reader::open(line.settingsPath);
    if (!reader)
        return apps::reportBadSettings(program, reader.error());
    auto settings = readUpstreamSettings(reader.value());
    if (!settings)
        return apps::reportBadSettings(program, settings.error());
    if (line.isCheckOnly)
        return apps::exitDone;
    state::configureLog(settings.value().log);
    stand_in process(std::move(settings.value()));
    if (auto listening = process.listen(); !listening) {
        state::logEvent(state::log_level::error, "can't_listen", { { "reason", listening.error().detail } });
        return apps::exitFailed;
    }
    process.run();
    state::logEvent(state::log_level::info, "stopped", {});
    return apps::exitDone;
}
