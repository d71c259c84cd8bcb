// Tests of one stand-in upstream over HTTP on loopback.
#include "apps/upstream/upstream_instance.h"

#include "protocol/job.h"
#include "transport/http_client.h"

#include <doctest/doctest.h>

using namespace jackdaw;
using namespace jackdaw::upstream;
using transport::http_method;
using transport::http_result;

namespace {

constexpr const char* endless = R"({"work_ms": 600000, "echo": "e"})";

// One upstream with two slots, and a client of it.
class fixture {
public:
    fixture()
        : m_instance(m_loop, starts, settings())
    {
        REQUIRE(m_instance.listen());
    }

    static std::string taskId(std::uint32_t index)
    {
        return toText(protocol::task_key { protocol::makeSubmissionId(protocol::unix_milliseconds(1), 2, 3), index, 0 });
    }

    // Sends a request; its result is stored when it arrives.
    std::shared_ptr<std::optional<http_result>> send(http_method method, std::string path, std::string body = {}, std::vector<transport::http_header> headers = {})
    {
        auto slot = std::make_shared<std::optional<http_result>>();
        transport::http_call call;
        call.method = method;
        call.path = std::move(path);
        call.body = std::move(body);
        call.headers = std::move(headers);
        call.timeout = std::chrono::seconds(60);
        m_client.call({ "127.0.0.1", m_instance.identity().port }, std::move(call), [this, slot](http_result result) {
            *slot = std::move(result);
            m_loop.stop();
        });
        return slot;
    }

    auto sendRun(std::uint32_t index, std::string body, std::string leaseMs = "600000")
    {
        return send(http_method::post, "/run", std::move(body), { { "Task-Id", taskId(index) }, { "Lease-Ms", std::move(leaseMs) } });
    }

    http_result await(const std::shared_ptr<std::optional<http_result>>& slot)
    {
        while (!*slot)
            m_loop.run();
        REQUIRE((*slot)->outcome == transport::request_outcome::answered);
        return **slot;
    }

    // Waits until that many tasks were started.
    void awaitStarts(std::uint64_t count)
    {
        while (m_instance.counters().started < count)
            await(send(http_method::get, "/tasks/" + taskId(99)));
    }

    upstream_instance& instance() { return m_instance; }

    start_register starts;

private:
    static instance_settings settings()
    {
        instance_settings out;
        out.identity.name = "u1";
        out.identity.host = "127.0.0.1";
        out.identity.slots = 2;
        out.identity.connections = 20;
        return out;
    }

    transport::event_loop m_loop;
    upstream_instance m_instance;
    transport::http_client m_client { m_loop, 16 };
};

std::string header(const http_result& result, std::string_view name)
{
    for (const auto& each : result.response.headers) {
        if (each.name == name)
            return each.value;
    }
    return {};
}

} // namespace

TEST_CASE("a task runs once and its result can be asked for")
{
    fixture upstream;
    const auto answer = upstream.await(upstream.sendRun(0, R"({"work_ms": 1, "echo": "text"})"));
    CHECK(answer.response.status == 200);
    CHECK(answer.response.body == "text");
    CHECK(header(answer, "Task-Id") == fixture::taskId(0));
    CHECK(header(answer, "Upstream-State") == "serving");
    const auto again = upstream.await(upstream.sendRun(0, R"({"work_ms": 1})"));
    CHECK(again.response.status == 409);
    CHECK(header(again, "Not-Started").empty());
    const auto told = upstream.await(upstream.send(http_method::get, "/tasks/" + fixture::taskId(0)));
    CHECK(told.response.body == R"({"result":"text","state":"finished"})");
    CHECK(upstream.instance().counters().started == 1);
    CHECK(upstream.starts.startedTwice() == 0);
}

TEST_CASE("a task over the slots is refused for good")
{
    fixture upstream;
    const auto first = upstream.sendRun(0, endless);
    const auto second = upstream.sendRun(1, endless);
    upstream.awaitStarts(2);
    const auto refused = upstream.await(upstream.sendRun(2, endless));
    CHECK(refused.response.status == 503);
    CHECK(header(refused, "Not-Started") == "true");
    CHECK(header(refused, "Task-Id") == fixture::taskId(2));
    CHECK(upstream.instance().counters().overSlots == 1);
    upstream.await(upstream.send(http_method::del, "/tasks/" + fixture::taskId(0) + "?stop=1"));
    CHECK(header(upstream.await(upstream.sendRun(2, endless)), "Not-Started") == "true");
    CHECK(upstream.instance().counters().started == 2);
}

TEST_CASE("DELETE blocks an unknown id, leaves a running task alone, and stops it on demand")
{
    fixture upstream;
    const auto unknown = upstream.await(upstream.send(http_method::del, "/tasks/" + fixture::taskId(0)));
    CHECK(unknown.response.body == R"({"state":"unknown"})");
    CHECK(header(upstream.await(upstream.sendRun(0, endless)), "Not-Started") == "true");
    const auto running = upstream.sendRun(1, endless);
    upstream.awaitStarts(1);
    CHECK(upstream.await(upstream.send(http_method::del, "/tasks/" + fixture::taskId(1))).response.body == R"({"state":"running"})");
    CHECK(upstream.await(upstream.send(http_method::del, "/tasks/" + fixture::taskId(1) + "?stop=1")).response.body == R"({"state":"stopped"})");
    CHECK(upstream.await(running).response.status == 500);
}

TEST_CASE("a task ends with its lease")
{
    fixture upstream;
    const auto answer = upstream.await(upstream.sendRun(0, endless, "5"));
    CHECK(answer.response.status == 500);
    CHECK(upstream.instance().counters().stopped == 1);
}

TEST_CASE("a silent upstream runs a task without an answer, and tells its fate over another request")
{
    fixture upstream;
    upstream.instance().setFault({ fault_mode::silent, 1 });
    const auto unanswered = upstream.sendRun(0, R"({"work_ms": 0, "echo": "text"})");
    upstream.awaitStarts(1);
    CHECK(upstream.await(upstream.send(http_method::get, "/tasks/" + fixture::taskId(0))).response.body == R"({"result":"text","state":"finished"})");
    CHECK_FALSE(unanswered->has_value());
}

TEST_CASE("faults fail and refuse, and a leaving upstream says so")
{
    fixture upstream;
    upstream.instance().setFault({ fault_mode::fail_all, 1 });
    CHECK(upstream.await(upstream.sendRun(0, endless)).response.status == 500);
    upstream.instance().setFault({ fault_mode::refuse, 1 });
    CHECK(header(upstream.await(upstream.sendRun(1, endless)), "Not-Started") == "true");
    upstream.instance().leave();
    upstream.instance().setFault({});
    const auto answer = upstream.await(upstream.sendRun(2, R"({"work_ms": 0})"));
    CHECK(answer.response.status == 200);
    CHECK(header(answer, "Upstream-State") == "leaving");
}
