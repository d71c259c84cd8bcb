// Measures the CPU time that the owner of a cell uses for each task. A hub, a cell host and fake upstreams run on
// one thread each and communicate over loopback; jobs are submitted at a steady rate.
// usage: owner_load_bench [JOBS_PER_SECOND [UPSTREAMS [SECONDS]]]
#include "apps/cell_host/cell_host.h"
#include "apps/hub/control_host.h"
#include "platform/control_api.h"
#include "platform/tests/fake_upstream.h"
#include "platform/tests/loopback_settings.h"
#include "platform/upstream_client.h"
#include "state/log.h"

#include <pthread.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <thread>

using namespace jackdaw;
using std::chrono::milliseconds;

namespace {

constexpr platform::tests::loopback_ports ports { 17721, 17722, 17723 };
constexpr milliseconds tick(10); // interval between two batches of jobs
constexpr std::uint32_t tasksPerJob = 4;

double threadSeconds()
{
    timespec used {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

protocol::job_order makeJob(std::size_t number)
{
    protocol::job_order order;
    order.id = std::to_string(number);
    order.spec = std::string(100, 'x');
    order.service = "s1";
    order.slackFactor = 1.6;
    order.targetMs = 2000;
    order.timeLeftMs = 3000;
    protocol::job_step step;
    step.count = tasksPerJob;
    step.need = { 2000, 10, 0 };
    step.estimateMs = 50;
    order.steps = { step };
    return order;
}

} // namespace

int main(int count, char** arguments)
{
    const int jobsPerSecond = count > 1 ? std::atoi(arguments[1]) : 250;
    const int upstreams = count > 2 ? std::atoi(arguments[2]) : 100;
    const int seconds = count > 3 ? std::atoi(arguments[3]) : 10;
    state::configureLog({ state::log_level::info, "owner_load_bench", {} });

    const std::string folder = std::filesystem::temp_directory_path() / "jackdaw_owner_load_bench";
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    const hub::control_host_settings settings = platform::tests::loopbackControlHostSettings(ports, folder + "/control");
    hub::control_host hub(settings, std::move(hub::control_host::openStorage(settings).value()), 1);
    platform::control_api controlApi(hub);
    transport::http_server controlServer(hub.loop(), {}, [&](const auto& request, const auto& responder) { controlApi.onRequest(request, responder); });
    if (!hub.open() || !controlServer.listen(platform::tests::loopback, ports.operators))
        return 1;
    std::thread hubThread([&] {
        pthread_setname_np(pthread_self(), "hub");
        hub.run();
    });

    transport::event_loop upstreamLoop;
    std::vector<std::unique_ptr<platform::tests::fake_upstream>> fakeUpstreams;
    fakeUpstreams.reserve(static_cast<std::size_t>(upstreams));
    for (int i = 0; i < upstreams; ++i)
        fakeUpstreams.push_back(std::make_unique<platform::tests::fake_upstream>(upstreamLoop, "u" + std::to_string(i), transport::endpoint { platform::tests::loopback, ports.operators }));
    std::thread upstreamThread([&] {
        pthread_setname_np(pthread_self(), "upstreams");
        upstreamLoop.run();
    });

    transport::event_loop loop;
    platform::upstream_client client(loop);
    cell_host::cell_host host(loop, platform::tests::loopbackCellHostSettings(ports), 2, { client.driver(), [](const auto&) { return true; } });
    if (!host.open())
        return 1;
    std::size_t sent = 0;
    std::size_t completed = 0;
    std::size_t answered = 0;
    double usedBefore = 0;
    bool isMeasuring = false;
    const auto start = protocol::steadyNow() + std::chrono::seconds(4); // allows time for the upstreams to register
    const auto load = loop.every(tick, [&] {
        const auto now = protocol::steadyNow();
        if (now < start)
            return;
        if (!isMeasuring) {
            isMeasuring = true;
            usedBefore = threadSeconds();
        }
        const auto due = static_cast<std::size_t>(std::chrono::duration<double>(now - start).count() * jobsPerSecond);
        for (; sent < due; ++sent) {
            host.submit(makeJob(sent), [&](const protocol::order_answer& answer) {
                ++answered;
                completed += answer.outcome == protocol::job_outcome::completed ? 1 : 0;
            });
        }
        if (now - start >= std::chrono::seconds(seconds))
            loop.stop();
    });
    loop.run();
    const double used = threadSeconds() - usedBefore;
    std::fprintf(stderr, "%zu jobs, %zu answered, %zu completed; owner's loop: %.3f cores, %.0f us a task\n", sent, answered, completed, used / seconds, used * 1e6 / static_cast<double>(sent * tasksPerJob));
    upstreamLoop.stop();
    hub.loop().stop();
    upstreamThread.join();
    hubThread.join();
    return 0;
}
