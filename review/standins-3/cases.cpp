// The cases of the third review that are scripts. Usage: cases NAME RECORD-FILE. Exit status: 1 if the rule was broken, 0 if it held,
// 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
#include "harness.hpp"

using namespace review;

namespace {

bool hasTrouble()
{
    const char* const value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

const std::vector<route> baseRoutes { { "r-jobs", "/jobs/" } };

// Three control hosts, 1 to 3, with their first configuration acknowledged.
void startCore(deployment& site, int timeoutMs = 1500)
{
    site.seeds = { 1, 2, 3 };
    for (const int host : site.seeds)
        site.control(host, true);
    if (!replaceConfiguration({ site.controlPlane(1), site.controlPlane(2), site.controlPlane(3) }, 5, configuration(5, baseRoutes, timeoutMs), 15000))
        throw cannot_run("the first configuration was not acknowledged");
}

// A machine of the core is replaced in a planned way, and a second later another one loses its disk.
int replaceThenDiskLoss()
{
    deployment site;
    site.seeds = { 1, 2, 3 };
    std::map<int, process*> core;
    for (const int host : site.seeds)
        core[host] = &site.control(host, true);
    const auto hosts = [&site](const std::vector<int>& numbers) {
        std::vector<address> all;
        for (const int number : numbers)
            all.push_back(site.controlPlane(number));
        return all;
    };
    if (!replaceConfiguration(hosts({ 1, 2, 3 }), 5, configuration(5, baseRoutes), 15000))
        throw cannot_run("the first configuration was not acknowledged");
    sleepMs(3000);
    out().line("planned replacement of core-1: core-4 starts first, with an empty disk");
    core[4] = &site.control(4, false);
    sleepMs(8000); // catch_up_s is 4
    if (!replaceConfiguration(hosts({ 2, 3, 4, 1 }), 9, configuration(9, baseRoutes), 10000))
        throw cannot_run("the configuration was not acknowledged beside the new machine");
    out().line("core-1 is removed for good");
    core[1]->signal(SIGTERM, "SIGTERM");
    if (!core[1]->waitEnd(6000)) // grace_s
        core[1]->kill();
    sleepMs(1000);
    if (hasTrouble()) {
        core[2]->kill();
        site.loseDisk(2);
        sleepMs(2000);
        site.seeds = { 3, 4 };
        core[2] = &site.control(2, false);
    }
    const std::int64_t backAt = nowMs();
    // recovery_s is 12; the operator reads for much longer, at all three machines.
    std::optional<std::int64_t> readAt;
    std::map<int, std::string> last;
    while (nowMs() < backAt + 40000 && !readAt) {
        for (const int host : { 2, 3, 4 }) {
            const answer result = callControl(site.controlPlane(host), "GET", "/api/config/get", "");
            const std::string said = "core-" + std::to_string(host) + " is asked for the configuration: " + (result.status ? std::to_string(result.status) + ' ' + result.body.substr(0, 100) : std::string("no answer"));
            if (said != last[host])
                out().line(said);
            last[host] = said;
            if (result.status == 200 && json::parse(result.body).at("version") == 9)
                readAt = nowMs();
        }
        sleepMs(500);
    }
    const bool isAcknowledged = replaceConfiguration(hosts({ 2, 3, 4 }), 12, configuration(12, baseRoutes), 15000).has_value();
    bool areAllRunning = true;
    for (const int host : { 2, 3, 4 })
        areAllRunning = areAllRunning && core[host]->isRunning();
    out().line(std::string("processes of core-2, core-3 and core-4 run: ") + (areAllRunning ? "yes" : "no"));
    out().line(readAt ? "version 9 is read " + std::to_string(*readAt - backAt) + " ms after the last machine was back" : "version 9, which was acknowledged, is not read within 40 s after the last machine was back");
    out().line(isAcknowledged ? "a later change is acknowledged" : "a later change is not acknowledged within 15 s");
    site.copyLogs(std::getenv("REVIEW_LOGS") ? std::getenv("REVIEW_LOGS") : "/dev/null");
    return readAt ? 0 : 1;
}

// A runner drains after a heartbeat of another writer has come under its id.
int drainAfterForeignHeartbeat()
{
    constexpr std::int64_t drainMs = 2000;
    deployment site;
    startCore(site);
    const std::vector<address> controlHosts { site.controlPlane(1), site.controlPlane(2), site.controlPlane(3) };
    for (const int host : { 11, 12 })
        site.entry(host);
    const json capacity = { { "cpu", 16000 }, { "mem_mb", 32768 }, { "gpu", 0 } };
    std::vector<std::unique_ptr<runner>> runners;
    for (int number = 1; number <= 16; ++number) // one of them, a share of 0.0625, drains
        runners.push_back(std::make_unique<runner>("i-" + std::to_string(10000000 + number), site.runner(number), controlHosts, capacity, json { "a", "r1-1" }));
    for (const int host : { 11, 12 }) {
        if (!waitReady(site.readiness(host), 15000))
            throw cannot_run("an entry host is not ready");
    }
    sleepMs(4000); // contact_ms is 3,000: all machines are in touch
    std::atomic<bool> isOver { false };
    std::atomic<int> served { 0 };
    std::vector<std::thread> clients;
    for (int client = 0; client < 16; ++client) {
        clients.emplace_back([&, client] {
            while (!isOver) {
                const answer result = submit(site.frontend(11 + client % 2), randomId(), makeJob(4, 3000, 200));
                served += result.status == 200 ? 1 : 0;
                sleepMs(50);
            }
        });
    }
    sleepMs(2000);
    runner& first = *runners.front();
    if (hasTrouble()) {
        // Another writer: its service is none of the configuration's; it was started later than the runner.
        const json foreign = { { "service", "nightly-batch" }, { "address", address { site.ip(19), 9 }.text() }, { "zone", "z1" }, { "version", "7" }, { "slots", 1 }, { "state", "ready" }, { "cold_left_ms", 0 },
            { "capacity", { { "cpu", 1000 }, { "mem_mb", 512 }, { "gpu", 0 } } }, { "labels", json::array() }, { "clock_ms", 1000 }, { "sequence", 1 }, { "born", unixMs() } };
        const answer result = call(controlHosts[0], "POST", "/api/instances/" + first.id() + "/heartbeat", foreign.dump(), 1000);
        out().line("heartbeat of another writer under " + first.id() + ": " + foreign.dump() + ": answer " + std::to_string(result.status));
    }
    sleepMs(2000);
    first.drain();
    const std::int64_t end = nowMs() + 9000;
    sleepMs(end - nowMs());
    isOver = true;
    for (std::thread& client : clients)
        client.join();
    const std::int64_t acknowledgedAt = first.drainAcknowledgedAt();
    if (acknowledgedAt == 0)
        throw cannot_run("the draining heartbeat was not acknowledged");
    std::size_t before = 0;
    std::size_t late = 0;
    std::int64_t latest = 0;
    for (const start_event& start : first.starts()) {
        before += start.at <= acknowledgedAt ? 1 : 0;
        if (start.at > acknowledgedAt + drainMs) {
            ++late;
            latest = start.at;
        }
    }
    out().line("jobs answered with 200: " + std::to_string(served) + "; draining acknowledged at " + std::to_string(acknowledgedAt) + " ms; starts on " + first.id() + " before: " + std::to_string(before) + ", later than drain_ms after: " + std::to_string(late) + (late > 0 ? ", the last at " + std::to_string(latest) + " ms" : ""));
    site.copyLogs(std::getenv("REVIEW_LOGS") ? std::getenv("REVIEW_LOGS") : "/dev/null");
    for (auto& item : runners)
        item->end();
    if (before == 0)
        throw cannot_run("the runner was not used");
    return late > 0 ? 1 : 0;
}

// The whole system starts for the first time, and one of the three machines of the core is lost at once.
int firstStartWithOneLost()
{
    deployment site;
    site.seeds = { 1, 2, 3 };
    std::map<int, process*> core;
    for (const int host : site.seeds)
        core[host] = &site.control(host, true);
    sleepMs(100);
    if (hasTrouble())
        core[3]->kill();
    const std::int64_t lostAt = nowMs();
    out().line("from " + std::to_string(lostAt + 3000) + " ms on the core is stable: contact_ms has passed"); // an acknowledgement is due ack_ms, 4 s, later
    const std::vector<address> all { site.controlPlane(1), site.controlPlane(2), site.controlPlane(3) };
    const auto acknowledgedAt = replaceConfiguration(all, 5, configuration(5, baseRoutes), 30000);
    if (hasTrouble()) {
        out().line("core-3 is started again");
        core[3] = &site.control(3, false);
        replaceConfiguration(all, 5, configuration(5, baseRoutes), 10000);
    }
    site.copyLogs(std::getenv("REVIEW_LOGS") ? std::getenv("REVIEW_LOGS") : "/dev/null");
    return acknowledgedAt && *acknowledgedAt <= lostAt + 7000 ? 0 : 1;
}

// A cancellation gets no answer, since its connection breaks, and is sent again to a node of another zone.
int cancelAtAnotherZone()
{
    constexpr std::int64_t cancelMs = 3000;
    constexpr int timeoutMs = 10000;
    deployment site;
    startCore(site, timeoutMs);
    const std::vector<address> controlHosts { site.controlPlane(1), site.controlPlane(2), site.controlPlane(3) };
    const std::map<int, std::string> entries { { 11, "z1" }, { 12, "z1" }, { 13, "z2" }, { 14, "z2" } };
    for (const auto& [host, zone] : entries)
        site.entry(host, zone);
    const json capacity = { { "cpu", 16000 }, { "mem_mb", 32768 }, { "gpu", 0 } };
    std::vector<std::unique_ptr<runner>> runners;
    for (int number = 1; number <= 4; ++number)
        runners.push_back(std::make_unique<runner>("i-0000000" + std::to_string(number), site.runner(number), controlHosts, capacity, json { "a", "r1-" + std::to_string(number) }, number <= 2 ? "z1" : "z2"));
    for (const auto& [host, zone] : entries) {
        if (!waitReady(site.readiness(host), 15000))
            throw cannot_run("an entry host is not ready");
    }
    sleepMs(5000); // contact_ms is 3,000: all machines are in touch
    const std::string id = randomId();
    json job = makeJob(2, 1000, 1500);
    while (job["steps"].size() < 5) {
        json step = job["steps"][0];
        step["after"] = json::array({ job["steps"].size() - 1 });
        job["steps"].push_back(step);
    }
    out().line("POST of job " + id + " to edge-11 in z1: " + job.dump());
    answer posted;
    std::thread client([&] { posted = submit(site.frontend(11), id, job, timeoutMs); });
    sleepMs(500);
    answer cancelled;
    const std::vector<std::string> headers { "Host: jobs.example" };
    if (hasTrouble()) {
        // The connection is reset before the request is whole.
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in raw = site.frontend(12).raw();
        if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) != 0)
            throw cannot_run("no connection to edge-12");
        const std::string part = "DELETE /jobs/" + id + " HTTP/1.1\r\nHost: jobs.ex";
        ::send(descriptor, part.data(), part.size(), MSG_NOSIGNAL);
        sleepMs(20);
        const linger reset { 1, 0 };
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        ::close(descriptor);
        out().line("DELETE of the job to edge-12 in z1: the connection is reset, no answer");
        sleepMs(200);
        cancelled = call(site.frontend(13), "DELETE", "/jobs/" + id, "", 1500, headers);
        out().line("DELETE of the job again, to edge-13 in z2: answer " + std::to_string(cancelled.status) + ' ' + cancelled.body);
    } else {
        cancelled = call(site.frontend(12), "DELETE", "/jobs/" + id, "", 1500, headers);
        out().line("DELETE of the job to edge-12 in z1: answer " + std::to_string(cancelled.status) + ' ' + cancelled.body);
    }
    const std::int64_t cancelledAt = nowMs();
    client.join();
    sleepMs(500);
    out().line("answer to the POST: " + std::to_string(posted.status) + ' ' + posted.body);
    std::size_t starts = 0;
    std::size_t late = 0;
    for (const auto& item : runners) {
        for (const start_event& start : item->starts()) {
            ++starts;
            if (start.at > cancelledAt + cancelMs) {
                ++late;
                out().line(start.task + " was started " + std::to_string(start.at - cancelledAt) + " ms after the cancelling was acknowledged");
            }
        }
    }
    site.copyLogs(std::getenv("REVIEW_LOGS") ? std::getenv("REVIEW_LOGS") : "/dev/null");
    for (auto& item : runners)
        item->end();
    if (starts == 0 || (cancelled.status / 100 != 2 && cancelled.status != 410))
        throw cannot_run("the job did not start, or its cancelling was not acknowledged");
    return late > 0 ? 1 : 0;
}

// A runner crashes and starts again at once under its id, as a machine of another kind.
int restartAsOtherKind()
{
    deployment site;
    startCore(site);
    const std::vector<address> controlHosts { site.controlPlane(1), site.controlPlane(2), site.controlPlane(3) };
    for (const int host : { 11, 12 })
        site.entry(host);
    const json large = { { "cpu", 32000 }, { "mem_mb", 32768 }, { "gpu", 0 } };
    const json small = { { "cpu", 16000 }, { "mem_mb", 32768 }, { "gpu", 0 } };
    constexpr int cpu = 7000;
    std::mutex mutex;
    std::size_t overCapacity = 0;
    std::size_t withoutLabel = 0;
    const auto check = [&](const runner& self, const std::string& task) {
        const std::lock_guard lock(mutex);
        const bool hasLabel = std::find(self.labels().begin(), self.labels().end(), json("b")) != self.labels().end();
        const auto used = (self.runningTasks() + 1) * cpu;
        if (!hasLabel) {
            ++withoutLabel;
            out().line(task + " requires the label b, which " + self.id() + " has not");
        }
        if (used > self.capacity().at("cpu").get<std::size_t>()) {
            ++overCapacity;
            out().line(task + " brings " + self.id() + " to " + std::to_string(used) + " of " + self.capacity().at("cpu").dump());
        }
    };
    runner first("i-00000001", site.runner(1), controlHosts, large, json { "b", "r1-1" });
    std::vector<std::unique_ptr<runner>> others; // one of eight, a share of 0.125, crashes
    for (int number = 2; number <= 8; ++number)
        others.push_back(std::make_unique<runner>("i-0000000" + std::to_string(number), site.runner(number), controlHosts, small, json { "a", "r1-1" }));
    first.setCheck(check);
    for (const int host : { 11, 12 }) {
        if (!waitReady(site.readiness(host), 15000))
            throw cannot_run("an entry host is not ready");
    }
    sleepMs(4000);
    std::atomic<bool> isOver { false };
    std::atomic<int> served { 0 };
    std::thread client([&] {
        std::mt19937 random(std::random_device {}());
        for (int i = 0; !isOver; ++i) {
            json job = makeJob(4, cpu, 50);
            job["steps"][0]["requires"] = "b";
            const answer result = submit(site.frontend(11 + i % 2), randomId(), job);
            served += result.status == 200 ? 1 : 0;
            sleepMs(50 + static_cast<std::int64_t>(random() % 200));
        }
    });
    sleepMs(2000);
    for (int round = 0; round < 30; ++round) {
        const bool isLargeNext = round % 2 == 1;
        if (hasTrouble())
            first.restart(100, isLargeNext ? large : small, isLargeNext ? json { "b", "r1-1" } : json { "a", "r1-1" });
        sleepMs(2500);
    }
    isOver = true;
    client.join();
    out().line("jobs answered with 200: " + std::to_string(served) + "; starts without the label: " + std::to_string(withoutLabel) + ", over the capacity: " + std::to_string(overCapacity));
    site.copyLogs(std::getenv("REVIEW_LOGS") ? std::getenv("REVIEW_LOGS") : "/dev/null");
    first.end();
    for (auto& item : others)
        item->end();
    if (served == 0)
        throw cannot_run("no job was served");
    return withoutLabel + overCapacity > 0 ? 1 : 0;
}

// Two starts that get no answer are carried out late, after the runner has crashed and started again.
int lateStartInNextLife()
{
    constexpr int timeoutMs = 8000;
    constexpr int runMs = 3500;
    constexpr std::int64_t delayMs = 2000; // orders are carried out 2 to 12 s later
    deployment site;
    startCore(site, timeoutMs);
    const std::vector<address> controlHosts { site.controlPlane(1), site.controlPlane(2), site.controlPlane(3) };
    for (const int host : { 11, 12 })
        site.entry(host);
    const json capacity = { { "cpu", 16000 }, { "mem_mb", 32768 }, { "gpu", 0 } };
    const json labels { "a", "r1-1" };
    std::mutex mutex;
    std::string wantedJob; // whose first start is late
    std::string shortJob; // the same, if it is sent to the same runner
    std::string lateAt;
    std::vector<std::unique_ptr<runner>> runners;
    for (int number = 1; number <= 8; ++number) { // one of eight, a share of 0.125, crashes
        runners.push_back(std::make_unique<runner>("i-0000000" + std::to_string(number), site.runner(number), controlHosts, capacity, labels));
        runners.back()->setDelay([&, id = runners.back()->id()](const std::string& task) -> std::int64_t {
            const std::lock_guard lock(mutex);
            const bool isWanted = !wantedJob.empty() && task.starts_with(wantedJob);
            const bool isShort = !shortJob.empty() && task.starts_with(shortJob) && id == lateAt;
            if (!isWanted && !isShort)
                return 0;
            (isWanted ? wantedJob : shortJob).clear();
            lateAt = id;
            return delayMs;
        });
    }
    for (const int host : { 11, 12 }) {
        if (!waitReady(site.readiness(host), 15000))
            throw cannot_run("an entry host is not ready");
    }
    sleepMs(4000);
    std::atomic<bool> isOver { false };
    std::vector<std::thread> others; // so that one order in some dozens is late
    for (int client = 0; client < 4; ++client) {
        others.emplace_back([&, client] {
            while (!isOver) {
                submit(site.frontend(11 + client % 2), randomId(), makeJob(2, 2000, 100), 1500);
                sleepMs(150);
            }
        });
    }
    sleepMs(1000);
    for (int round = 0; round < 6; ++round) {
        const std::string id = randomId();
        const std::string shortId = randomId();
        if (hasTrouble()) {
            const std::lock_guard lock(mutex);
            wantedJob = id;
            shortJob = shortId;
        }
        const std::int64_t sentAt = nowMs();
        answer result;
        std::thread client([&] { result = submit(site.frontend(11), id, makeJob(1, 2000, runMs), timeoutMs); });
        sleepMs(2);
        std::thread shortClient([&] { submit(site.frontend(11), shortId, makeJob(1, 2000, 10), timeoutMs); });
        sleepMs(delayMs - 107);
        for (const auto& item : runners) {
            const std::lock_guard lock(mutex);
            if (!lateAt.empty() && item->id() == lateAt)
                lateAt += "!";
        }
        for (const auto& item : runners) {
            if (lateAt == item->id() + "!")
                item->restart(100, capacity, labels);
        }
        lateAt.clear();
        client.join();
        shortClient.join();
        out().line("job " + id + ": answer " + std::to_string(result.status) + ' ' + result.body + " after " + std::to_string(nowMs() - sentAt) + " ms");
        sleepMs(2500);
    }
    isOver = true;
    for (std::thread& thread : others)
        thread.join();
    std::vector<runner::interval> all;
    for (const auto& item : runners) {
        const auto own = item->intervals();
        all.insert(all.end(), own.begin(), own.end());
    }
    std::size_t twice = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
        for (std::size_t j = i + 1; j < all.size(); ++j) {
            const std::int64_t together = std::min(all[i].to, all[j].to) - std::max(all[i].from, all[j].from);
            if (all[i].task != all[j].task || together <= 0)
                continue;
            ++twice;
            out().line(all[i].task + " ran twice for " + std::to_string(together) + " ms: run " + std::to_string(all[i].run) + " on " + all[i].runner + " from " + std::to_string(all[i].from) + " to " + std::to_string(all[i].to) + ", run " + std::to_string(all[j].run) + " on " + all[j].runner + " from " + std::to_string(all[j].from) + " to " + std::to_string(all[j].to));
        }
    }
    site.copyLogs(std::getenv("REVIEW_LOGS") ? std::getenv("REVIEW_LOGS") : "/dev/null");
    for (auto& item : runners)
        item->end();
    if (all.empty())
        throw cannot_run("no task was run");
    return twice > 0 ? 1 : 0;
}

const std::map<std::string, int (*)()> cases {
    { "late-start-in-next-life", &lateStartInNextLife },
    { "restart-as-other-kind", &restartAsOtherKind },
    { "cancel-at-another-zone", &cancelAtAnotherZone },
    { "first-start-with-one-lost", &firstStartWithOneLost },
    { "replace-then-disk-loss", &replaceThenDiskLoss },
    { "drain-after-foreign-heartbeat", &drainAfterForeignHeartbeat },
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3 || !cases.contains(argv[1])) {
        std::cerr << "usage: cases NAME RECORD-FILE\n";
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    out().open(argv[2]);
    out().line(std::string("case ") + argv[1] + (hasTrouble() ? "" : ", without the disruption"));
    int status = 2;
    try {
        status = cases.at(argv[1])();
    } catch (const std::exception& failure) {
        out().line(std::string("could not run: ") + failure.what());
    }
    out().line(status == 1 ? "result: the rule is broken" : status == 0 ? "result: the rule held"
                                                                        : "result: could not run");
    return status;
}
