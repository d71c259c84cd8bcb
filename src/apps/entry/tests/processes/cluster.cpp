// Starts, asks and ends the processes of a test.
#include "apps/entry/tests/processes/cluster.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <stdexcept>
#include <tuple>

namespace jackdaw::tests {

using nlohmann::json;
using transport::endpoint;
using transport::http_method;
using transport::http_result;

namespace {

    constexpr const char* loopback = "127.0.0.1";
    constexpr protocol::duration waitLimit = std::chrono::seconds(60);
    constexpr protocol::duration pollInterval = std::chrono::milliseconds(10);
    constexpr std::size_t maxConnections = 64;
    constexpr int statusOk = 200;

    bool isFree(std::uint16_t port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, loopback, &address.sin_addr);
        const bool isBound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        close(descriptor);
        return isBound;
    }

    // Ports below the range from which the system takes those of outgoing connections; tests that run at the same time
    // take other ones.
    std::uint16_t nextPort()
    {
        constexpr int firstPort = 12000;
        constexpr int portsOfProcess = 100;
        constexpr int processes = 200;
        static int next = firstPort + (getpid() % processes) * portsOfProcess;
        while (!isFree(static_cast<std::uint16_t>(next)))
            ++next;
        return static_cast<std::uint16_t>(next++);
    }

    struct host_process {
        std::string zone;
        std::uint16_t callers = 0;
        std::uint16_t upstreams = 0;
        std::uint16_t operators = 0;
        std::uint16_t mesh = 0;
        std::unique_ptr<child_process> process;
    };

    struct upstream_process {
        std::uint16_t control = 0;
        std::unique_ptr<child_process> process;
    };

    // A direction of a link.
    struct host_pair {
        std::string from;
        std::string to;

        friend bool operator<(const host_pair& left, const host_pair& right)
        {
            return std::tie(left.from, left.to) < std::tie(right.from, right.to);
        }
    };

} // namespace

class cluster::impl {
public:
    transport::event_loop loop;
    std::unique_ptr<transport::http_client> callers = std::make_unique<transport::http_client>(loop, maxConnections);
    transport::http_client operators { loop, maxConnections };
    std::map<std::string, host_process> hosts;
    std::map<std::string, upstream_process> upstreams; // by zone
    std::map<host_pair, std::unique_ptr<transport::tests::tcp_relay>> relays;
    std::filesystem::path folder;
    std::mt19937_64 random { 7 };

    std::string zoneList() const
    {
        json zones = json::array();
        for (const auto& [name, host] : hosts) {
            if (zones.empty() || zones.back() != host.zone)
                zones.push_back(host.zone);
        }
        return zones.dump();
    }

    std::uint16_t meshPort(const std::string& from, const std::string& to) const
    {
        const auto found = relays.find({ from, to });
        return found == relays.end() ? hosts.at(to).mesh : found->second->port();
    }

    std::string peerList(const std::string& self) const
    {
        json peers = json::array();
        for (const auto& [name, host] : hosts) {
            if (name != self)
                peers.push_back(name + "@" + host.zone + "=" + loopback + ":" + std::to_string(meshPort(self, name)));
        }
        return peers.dump();
    }

    std::string writeSettings(const std::string& name) const
    {
        const host_process& host = hosts.at(name);
        std::string path = folder / (name + ".toml");
        std::ofstream file(path);
        file << "host = '" << name << "'\nzone = '" << host.zone << "'\nzones = " << zoneList() << "\npeers = " << peerList(name)
             << "\n[callers]\nport = " << host.callers << "\nabandon_after_ms = 100\n[upstreams]\nport = " << host.upstreams
             << "\n[operators]\nport = " << host.operators << "\n[mesh]\nport = " << host.mesh
             << "\nheartbeat_ms = 100\nsilence_limit_ms = 1500\n[drain]\nlag_ms = 300\n[log]\nlevel = 'debug'\n";
        return path;
    }

    std::string outputOf(const std::string& name) const { return folder / (name + ".log"); }

    void runFor(protocol::duration time)
    {
        const auto timer = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }
};

cluster::cluster(std::initializer_list<zone_hosts> zones)
    : cluster(std::span(zones.begin(), zones.size()))
{
}

cluster::cluster(std::span<const zone_hosts> zones)
    : m_impl(std::make_unique<impl>())
{
    std::string pattern = std::filesystem::temp_directory_path() / "jackdaw-test-XXXXXX";
    m_impl->folder = mkdtemp(pattern.data());
    for (const zone_hosts& each : zones) {
        for (const std::string& name : each.hosts)
            m_impl->hosts[name] = { each.zone, nextPort(), nextPort(), nextPort(), nextPort(), nullptr };
    }
}

cluster::~cluster()
{
    m_impl->hosts.clear();
    m_impl->upstreams.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_impl->folder, ignored);
}

void cluster::startHosts(const std::vector<std::string>& names)
{
    const std::string program = JACKDAW_BIN_DIR "/jackdaw-entry";
    for (const std::string& name : names) {
        const std::vector<std::string> arguments { "--settings", m_impl->writeSettings(name) };
        m_impl->hosts.at(name).process = std::make_unique<child_process>(program, arguments, m_impl->outputOf(name));
    }
    for (const std::string& name : names)
        waitUntil([&] { return isReady(name); }, name + " is ready");
}

bool cluster::isReady(const std::string& name)
{
    const http_result result = wait(call(operatorPort(name), http_method::get, "/readyz"));
    return result.outcome == transport::request_outcome::answered && result.response.status == statusOk;
}

child_process& cluster::host(const std::string& name)
{
    return *m_impl->hosts.at(name).process;
}

void cluster::startUpstreams(const std::string& zone, std::size_t instances, const std::string& announceTo, const std::vector<std::string>& knownBy)
{
    upstream_process& upstream = m_impl->upstreams[zone];
    upstream.control = nextPort();
    const std::string program = "upstreams-" + zone;
    const std::string path = m_impl->folder / (program + ".toml");
    std::ofstream(path) << "name = '" << zone << "'\nzones = ['" << zone << "']\ninstances = " << instances << "\nentries = ['" << zone << '=' << loopback << ':'
                        << m_impl->hosts.at(announceTo).upstreams << "']\n[control]\nport = " << upstream.control << '\n';
    upstream.process = std::make_unique<child_process>(JACKDAW_BIN_DIR "/jackdaw-upstream", std::vector<std::string> { "--settings", path }, m_impl->outputOf(program));
    for (const std::string& name : knownBy)
        waitUntil([&] { return status(name).value("upstreams", 0U) == instances; }, name + " knows the upstreams");
}

void cluster::relayLinks()
{
    for (const auto& [from, sender] : m_impl->hosts) {
        for (const auto& [to, receiver] : m_impl->hosts) {
            if (from != to)
                m_impl->relays[{ from, to }] = std::make_unique<transport::tests::tcp_relay>(m_impl->loop, receiver.mesh);
        }
    }
}

transport::tests::tcp_relay& cluster::relay(const std::string& from, const std::string& to)
{
    return *m_impl->relays.at({ from, to });
}

void cluster::setFault(const std::string& zone, const std::string& instance, const std::string& mode, double factor)
{
    const json body { { "instance", instance }, { "mode", mode }, { "factor", factor } };
    const http_result result = wait(call(m_impl->upstreams.at(zone).control, http_method::put, "/faults", body.dump()));
    if (result.response.status != statusOk)
        throw std::runtime_error("the stand-in refused the fault: " + result.response.body);
}

protocol::submission_id cluster::newSubmission()
{
    return protocol::makeSubmissionId(protocol::unixNow(), m_impl->random(), m_impl->random());
}

pending_answer cluster::submit(const std::string& host, const protocol::submission_id& submission, const job_options& options)
{
    json tasks = json::array();
    for (std::size_t i = 0; i < options.tasks; ++i)
        tasks.push_back({ { "payload", json { { "work_ms", options.workMs }, { "echo", "r" + std::to_string(i) } }.dump() } });
    json body { { "client", "c" }, { "team", "t" }, { "deadline_ms", options.deadlineMs }, { "tasks", tasks } };
    if (options.isIdempotent)
        body["idempotent"] = true;
    if (!options.zone.empty())
        body["zone"] = options.zone;
    transport::http_call request;
    request.method = http_method::put;
    request.path = "/v1/jobs/" + protocol::toText(submission) + (options.isDetached ? "?wait=0" : "");
    request.body = body.dump();
    request.timeout = waitLimit;
    if (options.isFirstAttempt)
        request.headers.push_back({ "First-Attempt", "true" });
    auto answer = std::make_shared<std::optional<http_result>>();
    m_impl->callers->call({ loopback, callerPort(host) }, std::move(request), [answer](http_result result) { *answer = std::move(result); });
    return answer;
}

http_result cluster::wait(const pending_answer& answer)
{
    waitUntil([&] { return answer->has_value(); }, "an answer comes");
    return **answer;
}

json cluster::waitJson(const pending_answer& answer)
{
    const http_result result = wait(answer);
    return json::parse(result.response.body, nullptr, false);
}

pending_answer cluster::call(std::uint16_t port, http_method method, const std::string& path, std::string body, std::vector<transport::http_header> headers)
{
    auto answer = std::make_shared<std::optional<http_result>>();
    transport::http_call request;
    request.method = method;
    request.path = path;
    request.body = std::move(body);
    request.headers = std::move(headers);
    m_impl->operators.call({ loopback, port }, std::move(request), [answer](http_result result) { *answer = std::move(result); });
    return answer;
}

json cluster::status(const std::string& host)
{
    return waitJson(call(operatorPort(host), http_method::get, "/v1/status"));
}

json cluster::upstreamStats(const std::string& zone)
{
    return waitJson(call(m_impl->upstreams.at(zone).control, http_method::get, "/stats"));
}

void cluster::dropCallers()
{
    m_impl->callers = std::make_unique<transport::http_client>(m_impl->loop, maxConnections);
}

void cluster::waitUntil(const std::function<bool()>& condition, const std::string& what)
{
    const auto limit = protocol::steadyNow() + waitLimit;
    while (!condition()) {
        if (protocol::steadyNow() > limit)
            throw std::runtime_error("waited in vain until " + what);
        m_impl->runFor(pollInterval);
    }
}

std::uint16_t cluster::callerPort(const std::string& host) const
{
    return m_impl->hosts.at(host).callers;
}

std::uint16_t cluster::operatorPort(const std::string& host) const
{
    return m_impl->hosts.at(host).operators;
}

} // namespace jackdaw::tests
