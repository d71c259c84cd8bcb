// Measures the cost of claims with three voters in one process over simulated links. Prints CPU time, messages and
// bytes for each claim, the latency in virtual time, the traffic of an idle group, and the memory used by each stored
// claim.
#include "coordination/claim_service.h"
#include "coordination/claim_table.h"

#include <malloc.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace {

using namespace jackdaw::coordination;
using namespace std::chrono_literals;
using jackdaw::protocol::submission_id;
using jackdaw::protocol::unix_milliseconds;

constexpr duration linkDelay = 250us; // in each direction
constexpr duration tick = 1ms; // claims that are due in the same tick arrive together
constexpr duration formationTime = 8s; // allows time for the group to elect a leader
constexpr duration loadTime = 10s;
constexpr unix_milliseconds epoch { 1'700'000'000'000 };
const std::vector<std::string> hostNames { "10.0.0.1", "10.0.0.2", "10.0.0.3" };

double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

class claim_load {
public:
    claim_load()
    {
        for (const std::string& name : hostNames)
            m_hosts.push_back({ name, nullptr, {} });
        for (virtual_host& host : m_hosts)
            start(host);
    }

    void runUntil(time_point end)
    {
        while (step(end)) { }
        m_now = end;
    }

    // Submits claims to the hosts in turn.
    void runLoad(std::size_t claimsPerSecond)
    {
        const time_point begin = m_now;
        const time_point end = begin + loadTime;
        std::size_t claims = 0;
        for (time_point next = begin; next < end; next += tick) {
            runUntil(next);
            for (const std::size_t due = claimsPerSecond * (next - begin).count() / duration(1s).count(); claims < due; ++claims)
                claim(m_hosts[claims % m_hosts.size()]);
        }
        runUntil(end + 1s);
    }

    void resetFigures()
    {
        messages = 0;
        bytes = 0;
        granted = 0;
        refused = 0;
        latencies.clear();
        for (virtual_host& host : m_hosts)
            host.cpu = {};
    }

    // The longest wall-clock time that one host spent in its service.
    std::chrono::duration<double> busiestHost() const
    {
        return std::ranges::max_element(m_hosts, {}, &virtual_host::cpu)->cpu;
    }

    time_point now() const { return m_now; }

    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::vector<duration> latencies;

private:
    struct virtual_host {
        std::string name;
        std::unique_ptr<claim_service> service;
        std::chrono::duration<double> cpu;
    };

    struct virtual_message {
        std::size_t to = 0;
        std::string from;
        std::string bytes;
    };

    unix_milliseconds unixNow() const { return epoch + std::chrono::duration_cast<unix_milliseconds>(m_now.time_since_epoch()); }

    void start(virtual_host& host)
    {
        claim_service_settings settings;
        settings.host = host.name;
        settings.incarnation = m_random();
        settings.seed = m_random();
        settings.voters = hostNames;
        claim_service_hooks hooks;
        hooks.send = [this, &host](const std::string& to, const std::string& body) { send(host, to, body); };
        hooks.result = [this](const claim_result& result) { count(result); };
        hooks.unixNow = [this] { return unixNow(); };
        host.service = std::make_unique<claim_service>(settings, hooks, m_now);
    }

    void send(const virtual_host& from, const std::string& to, const std::string& body)
    {
        ++messages;
        bytes += body.size();
        const auto target = static_cast<std::size_t>(std::ranges::find(hostNames, to) - hostNames.begin());
        m_messages.emplace(m_now + linkDelay, virtual_message { target, from.name, body });
    }

    void count(const claim_result& result)
    {
        const bool isGranted = result.verdict == claim_verdict::granted;
        ++(isGranted ? granted : refused);
        const auto started = m_started.find(result.submission);
        if (isGranted)
            latencies.push_back(m_now - started->second);
        m_started.erase(started);
    }

    void claim(virtual_host& host)
    {
        const submission_id submission = jackdaw::protocol::makeSubmissionId(unixNow(), m_random(), m_random());
        m_started.emplace(submission, m_now);
        timed(host, [&] { host.service->claim(m_now, submission, 1, true); });
    }

    template <typename Call>
    void timed(virtual_host& host, Call call)
    {
        const auto begin = std::chrono::steady_clock::now();
        call();
        host.cpu += std::chrono::steady_clock::now() - begin;
    }

    // Processes the next event up to the end, or returns false if there is none. At equal time points, messages are
    // delivered before timers run.
    bool step(time_point end)
    {
        virtual_host& first = *std::ranges::min_element(m_hosts, {}, [](const virtual_host& host) { return host.service->nextTimer(); });
        const time_point timer = first.service->nextTimer();
        const time_point arrival = m_messages.empty() ? time_point::max() : m_messages.begin()->first;
        if (std::min(timer, arrival) > end)
            return false;
        m_now = std::max(m_now, std::min(timer, arrival));
        if (timer < arrival) {
            timed(first, [&] { first.service->advance(m_now); });
            return true;
        }
        const virtual_message message = std::move(m_messages.extract(m_messages.begin()).mapped());
        virtual_host& host = m_hosts[message.to];
        timed(host, [&] { host.service->step(m_now, message.from, message.bytes); });
        return true;
    }

    std::mt19937_64 m_random { 1 };
    time_point m_now { 1s };
    std::vector<virtual_host> m_hosts;
    std::multimap<time_point, virtual_message> m_messages;
    std::unordered_map<submission_id, time_point> m_started;
};

void measureIdle(claim_load& load)
{
    load.resetFigures();
    load.runUntil(load.now() + 10s);
    std::printf("idle group: %.1f messages/s, %.0f bytes/s over all links\n", static_cast<double>(load.messages) / 10,
        static_cast<double>(load.bytes) / 10);
}

void measureLoad(claim_load& load, std::size_t claimsPerSecond)
{
    load.resetFigures();
    const double begin = cpuSeconds();
    load.runLoad(claimsPerSecond);
    const double cpu = cpuSeconds() - begin;
    const auto claims = static_cast<double>(load.granted);
    std::ranges::sort(load.latencies);
    std::printf("%zu claims/s: granted %llu, refused %llu; cpu %.2f us/claim over all hosts and the harness, busiest host %.2f us/claim "
                "(%.0f claims/s of one core); %.3f messages/claim, %.0f bytes/claim; latency p50 %lld us, p99 %lld us\n",
        claimsPerSecond, static_cast<unsigned long long>(load.granted), static_cast<unsigned long long>(load.refused), cpu / claims * 1e6,
        load.busiestHost().count() / claims * 1e6, claims / load.busiestHost().count(), static_cast<double>(load.messages) / claims,
        static_cast<double>(load.bytes) / claims, static_cast<long long>(load.latencies[load.latencies.size() / 2].count()),
        static_cast<long long>(load.latencies[load.latencies.size() * 99 / 100].count()));
}

void measureMemory()
{
    constexpr std::size_t claims = 1'000'000;
    std::mt19937_64 random(1);
    claim_table table({});
    jackdaw::protocol::claim_command command { epoch, epoch, { { { "10.0.0.1", 1 }, {} } } };
    const std::size_t before = mallinfo2().uordblks;
    for (std::size_t i = 0; i < claims; ++i) {
        command.batches.front().claims = { { jackdaw::protocol::makeSubmissionId(epoch, random(), random()), i, i } };
        table.apply(command, [](const auto&, const auto&) {});
    }
    const std::size_t after = mallinfo2().uordblks;
    const double begin = cpuSeconds();
    const std::string snapshot = table.snapshot();
    const double cpu = cpuSeconds() - begin;
    std::printf("memory: %.1f bytes/claim in the table, %.1f bytes/claim in a snapshot; snapshot of %zu claims took %.0f ms\n",
        static_cast<double>(after - before) / claims, static_cast<double>(snapshot.size()) / claims, table.size(), cpu * 1000);
}

} // namespace

int main()
{
    claim_load load;
    load.runUntil(load.now() + formationTime);
    measureIdle(load);
    for (const std::size_t rate : { 300UL, 3000UL, 21000UL, 60000UL })
        measureLoad(load, rate);
    measureMemory();
    return 0;
}
