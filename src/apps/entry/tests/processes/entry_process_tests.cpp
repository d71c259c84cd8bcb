// Tests of jackdaw-entry as real processes with stand-in upstreams.
#include "apps/entry/tests/processes/cluster.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <string>
#include <string_view>
#include <thread>

using namespace jackdaw;
using tests::cluster;
using tests::job_options;
using transport::http_method;

namespace {

// True for a complete answer with every task's own result in its place.
bool isWhole(const nlohmann::json& answer, std::size_t tasks)
{
    if (!answer.is_object() || answer["state"] != "complete" || answer["results"].size() != tasks)
        return false;
    for (std::size_t i = 0; i < tasks; ++i) {
        if (answer["results"][i] != "r" + std::to_string(i))
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("a job over two upstreams comes back whole and in order, and its resubmission gets the stored answer")
{
    cluster processes { { "a", { "a1" } } };
    processes.startHosts({ "a1" });
    processes.startUpstreams("a", 2, "a1", { "a1" });
    const auto submission = processes.newSubmission();
    CHECK(isWhole(processes.waitJson(processes.submit("a1", submission, { .tasks = 40 })), 40));
    const auto stats = processes.upstreamStats("a");
    for (const auto& [name, instance] : stats["instances"].items())
        CHECK(instance["started"].get<int>() > 0);
    CHECK(isWhole(processes.waitJson(processes.submit("a1", submission, { .tasks = 40 })), 40));
    CHECK(processes.waitJson(processes.submit("a1", submission, { .tasks = 41 }))["error"] == "submission_mismatch");
    CHECK(processes.upstreamStats("a")["started"] == 40);
}

TEST_CASE("SIGTERM during a job cuts nothing")
{
    cluster processes { { "a", { "a1" } } };
    processes.startHosts({ "a1" });
    processes.startUpstreams("a", 1, "a1", { "a1" });
    const auto answer = processes.submit("a1", processes.newSubmission(), { .tasks = 12, .workMs = 700 });
    processes.waitUntil([&] { return processes.upstreamStats("a")["running"] > 0; }, "tasks run");
    processes.host("a1").signal(SIGTERM);
    processes.waitUntil([&] { return !processes.isReady("a1"); }, "the host is not ready");
    CHECK(isWhole(processes.waitJson(processes.submit("a1", processes.newSubmission(), {})), 1));
    CHECK(isWhole(processes.waitJson(answer), 12));
    processes.waitUntil([&] { return processes.host("a1").exitCode().has_value(); }, "the host ends");
    CHECK(processes.host("a1").exitCode() == 0);
}

// Guards against an end of the process while a connection is open on which a request may be read.
TEST_CASE("a host that drains cuts off a request that is being sent")
{
    cluster processes { { "a", { "a1" } } };
    processes.startHosts({ "a1" });
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(processes.callerPort("a1"));
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    const int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    constexpr timeval answerTime { 5, 0 };
    setsockopt(caller, SOL_SOCKET, SO_RCVTIMEO, &answerTime, sizeof(answerTime));
    REQUIRE(connect(caller, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
    constexpr std::string_view request = "GET /v1/jobs/unknown HTTP/1.1\r\nHost: x\r\n\r\n";
    constexpr std::size_t half = request.size() / 2;
    CHECK(send(caller, request.data(), half, MSG_NOSIGNAL) == static_cast<ssize_t>(half));
    processes.host("a1").signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(1300)); // the host refuses jobs after 0.3 s, and may end then
    [[maybe_unused]] const ssize_t sent = send(caller, request.data() + half, request.size() - half, MSG_NOSIGNAL);
    std::string answer(9, '\0');
    CHECK(recv(caller, answer.data(), answer.size(), MSG_WAITALL) == static_cast<ssize_t>(answer.size()));
    CHECK(answer == "HTTP/1.1 ");
    close(caller);
    processes.waitUntil([&] { return processes.host("a1").exitCode().has_value(); }, "the host ends");
    CHECK(processes.host("a1").exitCode() == 0);
}

TEST_CASE("a host that drains refuses new work once the balancer's lag is over")
{
    cluster processes { { "a", { "a1" } } };
    processes.startHosts({ "a1" });
    processes.startUpstreams("a", 1, "a1", { "a1" });
    const auto answer = processes.submit("a1", processes.newSubmission(), { .workMs = 3000 });
    processes.waitUntil([&] { return processes.upstreamStats("a")["running"] > 0; }, "the task runs");
    processes.host("a1").signal(SIGTERM);
    processes.waitUntil([&] { return processes.status("a1")["state"] == "refusing"; }, "the host refuses new work");
    const auto refusal = processes.waitJson(processes.submit("a1", processes.newSubmission(), { .isFirstAttempt = true }));
    CHECK(refusal["error"] == "draining");
    CHECK(refusal["ran"] == "no");
    CHECK(isWhole(processes.waitJson(answer), 1));
}

TEST_CASE("a job whose only caller went away is cancelled")
{
    cluster processes { { "a", { "a1" } } };
    processes.startHosts({ "a1" });
    processes.startUpstreams("a", 1, "a1", { "a1" });
    const auto submission = processes.newSubmission();
    processes.submit("a1", submission, { .tasks = 20, .workMs = 20000 });
    processes.waitUntil([&] { return processes.upstreamStats("a")["running"] > 0; }, "tasks run");
    processes.dropCallers();
    processes.waitUntil([&] { return processes.status("a1")["jobs"] == 0; }, "the job is gone");
    const auto answer = processes.waitJson(processes.call(processes.callerPort("a1"), http_method::get, "/v1/jobs/" + protocol::toText(submission)));
    CHECK(answer["error"] == "cancelled_after_start");
}

TEST_CASE("a job is answered by its home zone, whichever host it reaches")
{
    cluster processes { { "a", { "a1" } }, { "b", { "b1", "b2" } } };
    processes.startHosts({ "a1", "b1", "b2" });
    processes.startUpstreams("b", 2, "b1", { "b1", "b2" });
    CHECK(isWhole(processes.waitJson(processes.submit("a1", processes.newSubmission(), { .tasks = 20, .zone = "b" })), 20));
    CHECK(processes.upstreamStats("b")["started"] == 20);
    CHECK(processes.waitJson(processes.submit("a1", processes.newSubmission(), { .zone = "z" }))["error"] == "malformed_request");
}

TEST_CASE("a home zone that can't be reached is told truthfully")
{
    cluster processes { { "a", { "a1" } }, { "b", { "b1" } } };
    processes.startHosts({ "a1", "b1" });
    processes.startUpstreams("b", 1, "b1", { "b1" });
    const auto answer = processes.submit("a1", processes.newSubmission(), { .workMs = 20000, .zone = "b", .isFirstAttempt = true });
    processes.waitUntil([&] { return processes.upstreamStats("b")["running"] > 0; }, "the task runs");
    processes.host("b1").signal(SIGKILL);
    const auto lost = processes.waitJson(answer);
    CHECK(lost["error"] == "zone_unreachable");
    CHECK(lost["ran"] == "maybe");
    const auto proved = processes.waitJson(processes.submit("a1", processes.newSubmission(), { .zone = "b", .isFirstAttempt = true }));
    CHECK(proved["error"] == "zone_unreachable_first_attempt");
    CHECK(proved["ran"] == "no");
    CHECK(processes.waitJson(processes.submit("a1", processes.newSubmission(), { .zone = "b" }))["error"] == "zone_unreachable");
}

TEST_CASE("a resubmission that reaches another host joins the job, and starts nothing twice")
{
    cluster processes { { "a", { "a1", "a2", "a3" } } };
    processes.startHosts({ "a1", "a2", "a3" });
    processes.startUpstreams("a", 2, "a1", { "a1", "a2", "a3" });
    // Moves the host's turn among the upstreams, so that two hosts would choose different ones for the same task.
    CHECK(isWhole(processes.waitJson(processes.submit("a1", processes.newSubmission(), {})), 1));
    const auto submission = processes.newSubmission();
    const job_options options { .tasks = 8, .workMs = 1500 };
    const auto first = processes.submit("a1", submission, options);
    processes.waitUntil([&] { return processes.upstreamStats("a")["running"] > 0; }, "tasks run");
    const auto second = processes.submit("a2", submission, options);
    CHECK(isWhole(processes.waitJson(first), 8));
    CHECK(isWhole(processes.waitJson(second), 8));
    CHECK(isWhole(processes.waitJson(processes.submit("a3", submission, options)), 8));
    CHECK(processes.waitJson(processes.submit("a3", submission, { .tasks = 9 }))["error"] == "submission_mismatch");
    const auto stats = processes.upstreamStats("a");
    CHECK(stats["started_twice"] == 0);
    CHECK(stats["finished"] == 9);
}

TEST_CASE("a job whose coordinator was killed is answered with maybe, and starts nothing twice")
{
    cluster processes { { "a", { "a1", "a2", "a3" } } };
    processes.startHosts({ "a1", "a2", "a3" });
    processes.startUpstreams("a", 2, "a1", { "a1", "a2", "a3" });
    const auto submission = processes.newSubmission();
    const job_options options { .tasks = 8, .workMs = 3000 };
    const auto first = processes.submit("a1", submission, options);
    processes.waitUntil([&] { return processes.upstreamStats("a")["running"] > 0; }, "tasks run");
    const auto joined = processes.submit("a2", submission, options);
    processes.waitUntil([&] { return processes.status("a2")["jobs"] == 1; }, "the resubmission waits");
    processes.host("a1").signal(SIGKILL);
    const auto answer = processes.waitJson(joined);
    CHECK(answer["error"] == "coordinator_lost");
    CHECK(answer["ran"] == "maybe");
    CHECK(processes.waitJson(processes.submit("a3", submission, options))["ran"] == "maybe");
    processes.startHosts({ "a1" });
    CHECK(processes.waitJson(processes.submit("a1", submission, options))["ran"] == "maybe");
    CHECK(processes.upstreamStats("a")["started_twice"] == 0);
    CHECK(isWhole(processes.waitJson(processes.submit("a2", processes.newSubmission(), {})), 1));
}
