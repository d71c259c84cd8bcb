// Test harness of the review's scripts: starts the project's programs as processes on loopback addresses, and stands in for the
// platform's operator, clients and runners as PROTOCOL.md and DEPLOY.md describe them.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using json = nlohmann::json;
using clock_type = std::chrono::steady_clock;

inline const clock_type::time_point processStart = clock_type::now();

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - processStart).count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// A case that can't run; the script then exits with 2.
struct cannot_run : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class record {
public:
    void open(const std::string& path) { m_out.open(path, std::ios::trunc); }
    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.3f s  ", static_cast<double>(nowMs()) / 1000);
        m_out << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

inline record& out()
{
    static record instance;
    return instance;
}

struct address {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ':' + std::to_string(port); }
    static address parse(const std::string& text)
    {
        const auto colon = text.rfind(':');
        return { text.substr(0, colon), std::stoi(text.substr(colon + 1)) };
    }
    sockaddr_in raw() const
    {
        sockaddr_in out {};
        out.sin_family = AF_INET;
        out.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
        return out;
    }
};

// ---- HTTP

struct message {
    std::string startLine;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

class connection {
public:
    explicit connection(int descriptor)
        : m_descriptor(descriptor)
    {
        const int on = 1;
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~connection()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    int descriptor() const { return m_descriptor; }
    void breakOff() { ::shutdown(m_descriptor, SHUT_RDWR); }

    bool write(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t n = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    // deadline: on nowMs(); nothing if the message is not whole by then, or the connection ends.
    std::optional<message> read(std::int64_t deadline)
    {
        std::size_t end = 0;
        while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline))
                return std::nullopt;
        }
        message out;
        std::size_t at = m_input.find("\r\n");
        out.startLine = m_input.substr(0, at);
        at += 2;
        while (at < end + 2) {
            const std::size_t stop = m_input.find("\r\n", at);
            const std::string line = m_input.substr(at, stop - at);
            const std::size_t colon = line.find(':');
            std::string name = line.substr(0, colon);
            for (char& c : name)
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            if (colon != std::string::npos)
                out.headers[name] = line.substr(value);
            at = stop + 2;
        }
        const std::string length = out.header("content-length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        m_input.erase(0, end + 4);
        while (m_input.size() < size) {
            if (!fill(deadline))
                return std::nullopt;
        }
        out.body = m_input.substr(0, size);
        m_input.erase(0, size);
        return out;
    }

private:
    bool fill(std::int64_t deadline)
    {
        const std::int64_t left = deadline - nowMs();
        pollfd wait { m_descriptor, POLLIN, 0 };
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0)
            return false;
        char buffer[16384];
        const ssize_t n = ::recv(m_descriptor, buffer, sizeof(buffer), 0);
        if (n <= 0)
            return false;
        m_input.append(buffer, static_cast<std::size_t>(n));
        return true;
    }

    int m_descriptor;
    std::string m_input;
};

struct answer {
    int status = 0; // 0: none
    std::string body;
    std::string location;
};

inline answer call(const address& target, const std::string& method, const std::string& path, const std::string& body, std::int64_t timeoutMs, const std::vector<std::string>& headers = {})
{
    const std::int64_t deadline = nowMs() + timeoutMs;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    connection link(descriptor);
    const sockaddr_in raw = target.raw();
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) != 0 && errno != EINPROGRESS)
        return {};
    pollfd wait { descriptor, POLLOUT, 0 };
    int failure = 0;
    socklen_t size = sizeof(failure);
    if (::poll(&wait, 1, static_cast<int>(timeoutMs)) <= 0 || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0)
        return {};
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    std::string request = method + ' ' + path + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\nContent-Type: application/json\r\n";
    bool hasHost = false;
    for (const std::string& header : headers) {
        hasHost = hasHost || header.starts_with("Host:");
        request += header + "\r\n";
    }
    if (!hasHost)
        request += "Host: " + target.text() + "\r\n";
    if (!link.write(request + "\r\n" + body))
        return {};
    const auto response = link.read(deadline);
    if (!response || response->startLine.size() < 12)
        return {};
    return { std::stoi(response->startLine.substr(9, 3)), response->body, response->header("location") };
}

// One thread for each connection.
class server {
public:
    using handler = std::function<std::pair<int, std::string>(const message& request)>;

    server(const address& at, handler onRequest)
        : m_handler(std::move(onRequest))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in raw = at.raw();
        if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) != 0 || ::listen(m_listener, 256) != 0)
            throw cannot_run("can't listen on " + at.text());
        m_acceptor = std::thread([this] { accept(); });
    }
    ~server() { stop(); }

    // Ends all connections, as the end of the process does.
    void stop()
    {
        if (m_stopping.exchange(true))
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        std::vector<std::thread> threads;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto& link : m_links)
                link->breakOff();
            threads.swap(m_threads);
        }
        for (std::thread& thread : threads)
            thread.join();
    }

private:
    void accept()
    {
        while (!m_stopping) {
            const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            const std::lock_guard lock(m_mutex);
            m_links.push_back(std::make_shared<connection>(descriptor));
            m_threads.emplace_back([this, link = m_links.back()] { serve(*link); });
        }
    }
    void serve(connection& link)
    {
        while (!m_stopping) {
            const auto request = link.read(nowMs() + 600000);
            if (!request)
                break;
            const auto [status, body] = m_handler(*request);
            if (status == 0 || m_stopping)
                break;
            if (!link.write("HTTP/1.1 " + std::to_string(status) + " Answer\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
                break;
        }
        link.breakOff();
    }

    handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_stopping { false };
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<connection>> m_links;
    std::vector<std::thread> m_threads;
};

// ---- Processes of the system

class process {
public:
    process(std::string name, std::string program, std::string settings, std::string log)
        : m_name(std::move(name))
        , m_program(std::move(program))
        , m_settings(std::move(settings))
        , m_log(std::move(log))
    {
    }
    ~process() { kill(); }
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void start()
    {
        out().line("start " + m_name);
        m_pid = ::fork();
        if (m_pid < 0)
            throw cannot_run("fork failed");
        if (m_pid > 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // also if this stand-in is ended
        const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, 1);
        ::dup2(log, 2);
        const char* const arguments[] = { m_program.c_str(), "--settings", m_settings.c_str(), nullptr };
        ::execv(m_program.c_str(), const_cast<char* const*>(arguments));
        ::_exit(127);
    }
    void signal(int number, const std::string& name)
    {
        out().line(name + " to " + m_name);
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    void kill()
    {
        if (m_pid <= 0)
            return;
        signal(SIGKILL, "SIGKILL");
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
    // Whether it has ended by itself within the time.
    bool waitEnd(std::int64_t timeoutMs)
    {
        const std::int64_t deadline = nowMs() + timeoutMs;
        while (m_pid > 0 && nowMs() < deadline) {
            if (::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
                m_pid = 0;
                out().line(m_name + " has ended");
            } else {
                sleepMs(10);
            }
        }
        return m_pid == 0;
    }
    bool isRunning()
    {
        if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
            m_pid = 0;
        return m_pid > 0;
    }
    const std::string& name() const { return m_name; }

private:
    std::string m_name;
    std::string m_program;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = 0;
};

// A deployment on addresses 127.A.B.x, with the same ports on every host, as on the platform.
class deployment {
public:
    deployment()
    {
        std::random_device device;
        std::mt19937 random(device());
        std::string pattern = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
        if (!::mkdtemp(pattern.data()))
            throw cannot_run("no temporary folder");
        m_folder = pattern;
        for (int attempt = 0; attempt < 50; ++attempt) {
            m_network = "127." + std::to_string(10 + random() % 200) + '.' + std::to_string(random() % 250) + '.';
            m_port = 20000 + static_cast<int>(random() % 1000) * 10;
            if (arePortsFree())
                return;
        }
        throw cannot_run("no free ports");
    }
    ~deployment()
    {
        m_processes.clear();
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    std::string ip(int host) const { return m_network + std::to_string(host); }
    address controlPlane(int host) const { return { ip(host), m_port }; }
    address frontend(int host) const { return { ip(host), m_port + 1 }; }
    address readiness(int host) const { return { ip(host), m_port + 2 }; }
    address runner(int host) const { return { ip(host), m_port + 6 }; }

    std::vector<int> seeds;

    // As deploy/control.toml is filled in.
    process& control(int host, bool isFirstStart)
    {
        const std::string name = "core-" + std::to_string(host);
        std::filesystem::create_directories(dataFolder(host));
        std::ofstream(settingsFile(name), std::ios::trunc) << "name = \"" << name << "\"\nhost = \"" << ip(host) << "\"\ndata_folder = \"" << dataFolder(host) << "\"\nseeds = " << seedList()
                                                           << "\nfirst_start = " << (isFirstStart ? "true" : "false") << "\nzones = [\"z1\", \"z2\", \"z3\"]\ntolerated_losses = 1\noperators = \"" << controlPlane(host).text()
                                                           << "\"\ncontrol_mesh_port = " << m_port + 3 << "\nentry_mesh_port = " << m_port + 4 << "\nmetrics_port = " << m_port + 5 << "\nmemory_mb = 256\nmax_descriptors = 4096\n";
        return launch(name, "target/bin/jackdaw-platform-control");
    }
    // As deploy/entry.toml is filled in.
    process& entry(int host, const std::string& zone = "z1")
    {
        const std::string name = "edge-" + std::to_string(host);
        std::ofstream(settingsFile(name), std::ios::trunc) << "name = \"" << name << "\"\nhost = \"" << ip(host) << "\"\nzone = \"" << zone << "\"\nprocessor_cores = 0.25\nseeds = " << seedList()
                                                           << "\ncallers = \"" << frontend(host).text() << "\"\nreadiness = \"" << readiness(host).text() << "\"\ncontrol_mesh_port = " << m_port + 3 << "\nentry_mesh_port = " << m_port + 4
                                                           << "\nmax_lease_ms = 1000\nreport_interval_ms = 1500\ntask_stop_ms = 50\ngrace_s = 6\nmetrics_port = " << m_port + 5 << "\nmemory_mb = 260\nmax_descriptors = 4100\n";
        return launch(name, "target/bin/jackdaw-platform-entry");
    }
    std::string dataFolder(int host) const { return m_folder + "/data-" + std::to_string(host); }
    void loseDisk(int host)
    {
        out().line("core-" + std::to_string(host) + " loses its disk");
        std::filesystem::remove_all(dataFolder(host));
    }
    // The processes' own logs, for whoever looks into a failure.
    void copyLogs(const std::string& path) const
    {
        std::ofstream all(path, std::ios::trunc);
        for (const auto& file : std::filesystem::directory_iterator(m_folder)) {
            if (file.path().extension() == ".log")
                all << "==== " << file.path().filename().string() << '\n'
                    << std::ifstream(file.path()).rdbuf() << '\n';
        }
    }

private:
    std::string seedList() const
    {
        std::string list;
        for (const int seed : seeds)
            list += (list.empty() ? "\"" : ", \"") + controlPlane(seed).text() + '"';
        return '[' + list + ']';
    }
    std::string settingsFile(const std::string& name) const { return m_folder + '/' + name + ".toml"; }
    process& launch(const std::string& name, const std::string& program)
    {
        if (::access(program.c_str(), X_OK) != 0)
            throw cannot_run(program + " is not built");
        m_processes[name] = std::make_unique<process>(name, program, settingsFile(name), m_folder + '/' + name + ".log");
        m_processes[name]->start();
        return *m_processes[name];
    }
    bool arePortsFree() const
    {
        for (int host = 1; host <= 40; ++host) {
            for (int port = m_port; port < m_port + 8; ++port) {
                const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                const sockaddr_in raw = address { ip(host), port }.raw();
                const bool isFree = ::bind(probe, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) == 0;
                ::close(probe);
                if (!isFree)
                    return false;
            }
        }
        return true;
    }

    std::string m_folder;
    std::string m_network;
    int m_port = 0;
    std::map<std::string, std::unique_ptr<process>> m_processes;
};

// ---- The operator

struct route {
    std::string name;
    std::string prefix;
};

inline std::string configuration(std::uint64_t version, const std::vector<route>& routes, int timeoutMs = 1500)
{
    json body = { { "version", version }, { "routes", json::array() }, { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
    for (const route& item : routes)
        body["routes"].push_back({ { "name", item.name }, { "host", "jobs.example" }, { "path_prefix", item.prefix }, { "kind", "non_idempotent" }, { "timeout_ms", timeoutMs }, { "target_duration_ms", 60 }, { "priority", 0 }, { "service", "planning" }, { "max_attempts", 2 }, { "slack_factor", 1.6 } });
    body["services"] = json::array({ { { "name", "planning" }, { "health_path", "/health" }, { "max_conns", 64 }, { "protocol", "h1" }, { "tls", false }, { "enforce_limits", false }, { "standby", false } } });
    return body.dump();
}

// Calls one host, and follows a redirect twice.
inline answer callControl(address target, const std::string& method, const std::string& path, const std::string& body)
{
    answer result;
    for (int hop = 0; hop < 3; ++hop) {
        result = call(target, method, path, body, 1000);
        if (result.status != 307 || !result.location.starts_with("http://"))
            return result;
        const std::string rest = result.location.substr(7);
        target = address::parse(rest.substr(0, rest.find('/')));
    }
    return result;
}

// Sends the configuration to one host after the other until it is acknowledged. Returns the time of that, or nothing.
inline std::optional<std::int64_t> replaceConfiguration(const std::vector<address>& hosts, std::uint64_t version, const std::string& body, std::int64_t timeoutMs)
{
    const std::int64_t deadline = nowMs() + timeoutMs;
    std::string last;
    std::int64_t pause = 100;
    for (std::size_t i = 0; nowMs() < deadline; ++i) {
        const address& target = hosts[i % hosts.size()];
        const answer result = callControl(target, "POST", "/api/config/replace", body);
        const std::string said = "configuration " + std::to_string(version) + " to " + target.text() + ": " + (result.status ? std::to_string(result.status) + ' ' + result.body : std::string("no answer"));
        if (said != last || result.status == 200)
            out().line(said);
        last = said;
        if (result.status == 200)
            return nowMs();
        sleepMs(pause);
        pause = std::min<std::int64_t>(pause * 2, 500);
    }
    out().line("configuration " + std::to_string(version) + " is not acknowledged");
    return std::nullopt;
}

// ---- A runner

struct start_event {
    std::int64_t at = 0;
    std::string task;
    std::uint32_t run = 0;
};

// One machine that runs tasks. The spec of a job holds how long each of its tasks takes, in ms.
class runner {
public:
    runner(std::string id, address at, std::vector<address> controlHosts, json capacity, json labels, std::string zone = "z1")
        : m_id(std::move(id))
        , m_address(std::move(at))
        , m_controlHosts(std::move(controlHosts))
        , m_capacity(std::move(capacity))
        , m_labels(std::move(labels))
        , m_zone(std::move(zone))
    {
        m_born = unixMs();
        m_bornAt = nowMs();
        m_server = std::make_unique<server>(m_address, [this](const message& request) { return handle(request); });
        m_ticker = std::thread([this] { tick(); });
        m_reporter = std::thread([this] { report(); });
    }
    ~runner() { end(); }

    // The process crashes, and starts again after a while under its id, maybe as another kind of machine. It reports at once.
    void restart(std::int64_t downMs, json newCapacity, json newLabels)
    {
        out().line(m_id + " crashes");
        {
            const std::lock_guard lock(m_mutex);
            m_isDown = true;
            for (const auto& [task, running] : m_running)
                m_intervals.push_back({ m_id, task, running.run, running.from, nowMs() });
            m_running.clear();
            m_wake.notify_all();
        }
        m_server->stop();
        sleepMs(downMs);
        {
            const std::lock_guard lock(m_mutex);
            m_born = unixMs();
            m_bornAt = nowMs();
            m_token = 0;
            m_leaseEnd = 0;
            m_ends = 0;
            m_sequence = 0;
            m_over.clear();
            m_finished.clear();
            m_capacity = std::move(newCapacity);
            m_labels = std::move(newLabels);
            m_reportAt = nowMs();
            m_isDown = false;
            out().line(m_id + " is back, born " + std::to_string(m_born) + ", capacity " + m_capacity.dump() + ", labels " + m_labels.dump());
        }
        m_server = std::make_unique<server>(m_address, [this](const message& request) { return handle(request); });
    }

    // Called with each start, which it may judge, before the task runs. The runner's present capacity and labels, and the tasks running there.
    using start_check = std::function<void(const runner& self, const std::string& task)>;
    void setCheck(start_check check)
    {
        const std::lock_guard lock(m_mutex);
        m_check = std::move(check);
    }
    // Starts for which the hook returns a time above 0 get no answer and are carried out that much later, in ms, by the runner as it is then.
    using delay_hook = std::function<std::int64_t(const std::string& task)>;
    void setDelay(delay_hook delay)
    {
        const std::lock_guard lock(m_mutex);
        m_delay = std::move(delay);
    }
    // When which tasks ran; a run that has not ended yet has no end.
    struct interval {
        std::string runner;
        std::string task;
        std::uint32_t run = 0;
        std::int64_t from = 0;
        std::int64_t to = 0;
    };
    std::vector<interval> intervals()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<interval> all = m_intervals;
        for (const auto& [task, running] : m_running)
            all.push_back({ m_id, task, running.run, running.from, nowMs() });
        return all;
    }

    // Only for the check.
    const json& capacity() const { return m_capacity; }
    const json& labels() const { return m_labels; }
    std::size_t runningTasks() const { return m_running.size(); }

    // From now on it reports that it drains. It serves on.
    void drain()
    {
        const std::lock_guard lock(m_mutex);
        out().line(m_id + " begins to drain");
        m_isDraining = true;
        m_reportAt = nowMs();
    }
    // When a draining report was first acknowledged; 0: not yet.
    std::int64_t drainAcknowledgedAt() const { return m_drainAcknowledgedAt; }
    std::int64_t born() const { return m_born; }
    const std::string& id() const { return m_id; }

    std::vector<start_event> starts()
    {
        const std::lock_guard lock(m_mutex);
        return m_starts;
    }
    void end()
    {
        if (m_ended.exchange(true))
            return;
        m_wake.notify_all();
        m_server->stop();
        m_ticker.join();
        m_reporter.join();
    }

private:
    struct running_task {
        std::uint32_t run = 0;
        std::int64_t endsAt = 0;
        std::string how = "done";
        std::int64_t from = 0;
    };

    std::int64_t clockMs() const { return nowMs() - m_bornAt + 1; }
    json head() const { return { { "clock_ms", clockMs() }, { "born", m_born } }; }

    std::pair<int, std::string> handle(const message& request)
    {
        const std::string path = request.startLine.substr(request.startLine.find(' ') + 1, request.startLine.rfind(' ') - request.startLine.find(' ') - 1);
        if (path == "/health")
            return { 200, "{}" };
        const json body = json::parse(request.body, nullptr, false);
        std::unique_lock lock(m_mutex);
        if (m_isDown)
            return { 0, {} };
        if (const std::int64_t delay = path == "/api/run-start" && m_delay ? m_delay(body.at("task").get<std::string>()) : 0; delay > 0) {
            out().line(m_id + " leaves the start of " + body.at("task").get<std::string>() + " run " + body.at("run").dump() + " unanswered");
            m_delayed.emplace_back(nowMs() + delay, request);
            const std::int64_t until = nowMs() + 5000;
            while (nowMs() < until && !m_ended && !m_isDown)
                m_wake.wait_for(lock, std::chrono::milliseconds(until - nowMs()));
            return { 0, {} };
        }
        return carryOut(request, path, body, lock);
    }
    std::pair<int, std::string> carryOut(const message& request, const std::string& path, const json& body, std::unique_lock<std::mutex>& lock)
    {
        json reply = head();
        if (request.header("jackdawpath-expected-instance") != m_id)
            return { 421, reply.dump() };
        const auto token = body.value("fencing_token", std::uint64_t(0));
        if (token < m_token)
            return conflict(reply, "fence");
        m_token = token;
        if (const auto expires = body.value("expires_at_ms", std::int64_t(0)); expires > 0)
            m_leaseEnd = std::max(m_leaseEnd, std::min(expires, clockMs() + 1000));
        if (path == "/api/run-start")
            return startTask(body, reply);
        if (path == "/api/run-stop")
            return stopTask(body, reply);
        if (path == "/api/hold")
            return hold(body, lock);
        return { 404, reply.dump() };
    }
    static std::pair<int, std::string> conflict(json& reply, const std::string& reason)
    {
        reply["reason"] = reason;
        return { 409, reply.dump() };
    }
    std::pair<int, std::string> startTask(const json& body, json& reply)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint32_t>();
        if (const auto known = m_running.find(task); known != m_running.end() && known->second.run == run)
            return { 200, reply.dump() };
        if (const auto over = m_over.find(task); over != m_over.end() && run <= over->second)
            return conflict(reply, "old");
        if (m_leaseEnd <= clockMs())
            return conflict(reply, "late");
        m_starts.push_back({ nowMs(), task, run });
        out().line(m_id + " starts " + task + " run " + std::to_string(run));
        if (m_check)
            m_check(*this, task);
        m_running[task] = { run, nowMs() + std::stoll(body.at("spec").get<std::string>()), "done", nowMs() };
        m_wake.notify_all();
        return { 200, reply.dump() };
    }
    std::pair<int, std::string> stopTask(const json& body, json& reply)
    {
        const auto task = body.at("task").get<std::string>();
        const auto run = body.at("run").get<std::uint32_t>();
        m_over[task] = std::max(m_over[task], run);
        if (const auto known = m_running.find(task); known != m_running.end() && known->second.run <= run) {
            known->second.endsAt = std::min(known->second.endsAt, nowMs() + 20);
            known->second.how = "stopped";
        }
        return { 200, reply.dump() };
    }
    std::pair<int, std::string> hold(const json& body, std::unique_lock<std::mutex>& lock)
    {
        const auto cursor = body.value("ack_cursor", std::uint64_t(0));
        std::erase_if(m_finished, [cursor](const json& row) { return row.at(0).get<std::uint64_t>() <= cursor; });
        const std::int64_t until = nowMs() + body.value("wait_ms", std::int64_t(0));
        while (m_finished.empty() && nowMs() < until && !m_ended && !m_isDown)
            m_wake.wait_for(lock, std::chrono::milliseconds(until - nowMs()));
        if (m_isDown)
            return { 0, {} };
        json reply = head();
        reply["running"] = json::array();
        for (const auto& [task, running] : m_running)
            reply["running"].push_back({ task, running.run, "", 50, 0 });
        reply["finished"] = json::array();
        for (const json& row : m_finished) {
            if (reply["finished"].size() < 500)
                reply["finished"].push_back(row);
        }
        return { 200, reply.dump() };
    }
    void tick()
    {
        while (!m_ended) {
            sleepMs(2);
            std::unique_lock lock(m_mutex);
            if (m_isDown)
                continue;
            for (auto item = m_delayed.begin(); item != m_delayed.end();) {
                if (nowMs() < item->first) {
                    ++item;
                    continue;
                }
                const message late = item->second;
                item = m_delayed.erase(item);
                const auto [status, text] = carryOut(late, "/api/run-start", json::parse(late.body), lock);
                out().line(m_id + " has carried out the late start: " + std::to_string(status) + ' ' + text);
            }
            const bool isLapsed = m_leaseEnd <= clockMs();
            for (auto item = m_running.begin(); item != m_running.end();) {
                if (!isLapsed && nowMs() < item->second.endsAt) {
                    ++item;
                    continue;
                }
                const std::string how = nowMs() >= item->second.endsAt ? item->second.how : "lapsed";
                m_finished.push_back({ ++m_ends, item->first, item->second.run, how, "" });
                m_over[item->first] = std::max(m_over[item->first], item->second.run);
                m_intervals.push_back({ m_id, item->first, item->second.run, item->second.from, nowMs() });
                item = m_running.erase(item);
                m_wake.notify_all();
            }
        }
    }
    void report()
    {
        std::size_t host = 0;
        m_reportAt = nowMs();
        while (!m_ended) {
            sleepMs(5);
            if (nowMs() < m_reportAt)
                continue;
            m_reportAt = nowMs() + 1500;
            const bool isDraining = m_isDraining;
            for (std::size_t attempt = 0; attempt < m_controlHosts.size() && !m_ended; ++attempt) {
                const address& target = m_controlHosts[host % m_controlHosts.size()];
                std::unique_lock lock(m_mutex);
                if (m_isDown)
                    break;
                const json body = { { "service", "planning" }, { "address", m_address.text() }, { "zone", m_zone }, { "version", "v1" }, { "slots", 8 }, { "state", isDraining ? "draining" : "ready" },
                    { "cold_left_ms", 0 }, { "capacity", m_capacity }, { "labels", m_labels }, { "clock_ms", clockMs() }, { "sequence", ++m_sequence }, { "born", m_born } };
                json sent = body;
                lock.unlock();
                if (isDraining)
                    sent["remaining_ms"] = 10000;
                const answer result = call(target, "POST", "/api/instances/" + m_id + "/heartbeat", sent.dump(), 1000);
                if (isDraining)
                    out().line(m_id + " reports to " + target.text() + ": draining, sequence " + std::to_string(m_sequence) + ", born " + std::to_string(m_born) + ": answer " + std::to_string(result.status));
                if (result.status / 100 == 2) {
                    if (isDraining && m_drainAcknowledgedAt == 0)
                        m_drainAcknowledgedAt = nowMs();
                    break;
                }
                ++host;
            }
        }
    }

    const std::string m_id;
    const address m_address;
    const std::vector<address> m_controlHosts;
    json m_capacity;
    json m_labels;
    start_check m_check;
    delay_hook m_delay;
    std::vector<interval> m_intervals;
    std::vector<std::pair<std::int64_t, message>> m_delayed; // when to carry out which start
    bool m_isDown = false;
    const std::string m_zone;
    std::int64_t m_born = 0;
    std::int64_t m_bornAt = 0;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseEnd = 0; // on clockMs()
    std::uint64_t m_ends = 0;
    std::map<std::string, running_task> m_running;
    std::map<std::string, std::uint32_t> m_over; // highest run stopped or ended here, by task
    std::vector<json> m_finished;
    std::vector<start_event> m_starts;
    std::atomic<bool> m_isDraining { false };
    std::atomic<std::int64_t> m_drainAcknowledgedAt { 0 };
    std::atomic<std::int64_t> m_reportAt { 0 };
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_ended { false };
    std::unique_ptr<server> m_server;
    std::thread m_ticker;
    std::thread m_reporter;
};

// ---- Clients

inline std::string randomId()
{
    static std::mutex mutex;
    static std::mt19937_64 random { std::random_device {}() };
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

inline json makeJob(int count, int cpu, int runMs)
{
    json step = { { "count", count }, { "cpu", cpu }, { "mem_mb", 64 }, { "estimate_ms", runMs } };
    return { { "spec", std::to_string(runMs) }, { "steps", json::array({ step }) }, { "best_effort", true } };
}

inline answer submit(const address& frontend, const std::string& id, const json& job, std::int64_t deadlineMs = 1500)
{
    return call(frontend, "POST", "/jobs/" + id, job.dump(), deadlineMs, { "Host: jobs.example", "Jackdawpath-Deadline-Ms: " + std::to_string(deadlineMs) });
}

inline bool waitReady(const address& readiness, std::int64_t timeoutMs)
{
    const std::int64_t deadline = nowMs() + timeoutMs;
    while (nowMs() < deadline) {
        if (call(readiness, "GET", "/api/ready", "", 500).status == 200)
            return true;
        sleepMs(100);
    }
    return false;
}

} // namespace review
