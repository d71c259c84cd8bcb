// Tests of the JSON encoding of jobs, answers and announcements, and of the text form of ids.
#include "protocol/announcement.h"
#include "protocol/job_codec.h"

#include <doctest/doctest.h>

using namespace jackdaw::protocol;

namespace {

const submission_id exampleId = makeSubmissionId(unix_milliseconds(1'700'000'000'123), 0x1234, 0x5678);

result<job_request> parse(std::string_view json)
{
    return parseJobRequest(exampleId, json, job_limits {});
}

} // namespace

TEST_CASE("a submission id keeps its time stamp and is unchanged after conversion to text and back")
{
    CHECK(creationTime(exampleId) == unix_milliseconds(1'700'000'000'123));
    const auto parsed = parseSubmissionId(toText(exampleId));
    REQUIRE(parsed);
    CHECK(parsed.value() == exampleId);
}

TEST_CASE("an id that is not a UUIDv7 is rejected")
{
    CHECK_FALSE(parseSubmissionId(""));
    CHECK_FALSE(parseSubmissionId("01890a5d-ac96-774b-bcce-b302099a805"));
    CHECK_FALSE(parseSubmissionId("01890a5d-ac96-474b-bcce-b302099a8057"));
    CHECK_FALSE(parseSubmissionId("{1890a5d-ac96-774b-bcce-b302099a805}"));
}

TEST_CASE("a task key is unchanged after conversion to text and back")
{
    const task_key key { exampleId, 17, 2 };
    const auto parsed = parseTaskKey(toText(key));
    REQUIRE(parsed);
    CHECK(parsed.value() == key);
    CHECK_FALSE(parseTaskKey(toText(exampleId)));
    CHECK_FALSE(parseTaskKey(toText(exampleId) + ".1"));
    CHECK_FALSE(parseTaskKey(toText(exampleId) + ".1.x"));
    CHECK_FALSE(parseTaskKey(toText(exampleId) + ".1.99999999999"));
}

TEST_CASE("absent members of a job body take their defaults")
{
    const auto parsed = parse(R"({"client":"c","team":"t","tasks":[{"payload":"p","cores":0.5,"expected_ms":80}]})");
    REQUIRE(parsed);
    CHECK(parsed.value().deadline == job_limits {}.defaultDeadline);
    CHECK_FALSE(parsed.value().idempotent);
    CHECK(parsed.value().tasks.front().need.millicores == 500);
    CHECK(parsed.value().tasks.front().expectedRunTime == std::chrono::milliseconds(80));
}

TEST_CASE("an invalid job body is rejected with an error that names the member")
{
    const auto detail = [](std::string_view json) {
        const auto parsed = parse(json);
        return parsed ? std::string("accepted") : parsed.error().detail;
    };
    CHECK(detail("{") == "the body is not JSON");
    CHECK(detail(R"({"team":)" + std::string(1'000'000, '[') + std::string(1'000'000, ']') + "}") == "the body is nested deeper than 32 levels");
    CHECK(detail("[]") == "the body is not a JSON object");
    CHECK(detail(R"({"team":"t","tasks":[{"payload":"p"}]})") == "'client' is missing");
    CHECK(detail(R"({"client":1,"team":"t","tasks":[{"payload":"p"}]})") == "'client' is not a string");
    CHECK(detail(R"({"client":"c","team":"t","tasks":[]})") == "'tasks' must hold from 1 to 640 tasks");
    CHECK(detail(R"({"client":"c","team":"t","tasks":[{}]})") == "tasks[0] 'payload' is missing");
    CHECK(detail(R"({"client":"c","team":"t","tasks":[3]})") == "tasks[0] is not an object");
    CHECK(detail(R"({"client":"c","team":"t","deadline_ms":-1,"tasks":[{"payload":"p"}]})") == "'deadline_ms' is not a whole number from 1 to 600000");
}

TEST_CASE("a job request is unchanged after conversion to JSON and back")
{
    auto first = parse(R"({"client":"c","team":"t","zone":"a","idempotent":true,"tasks":[{"payload":"p"},{"payload":"q"}]})");
    REQUIRE(first);
    const auto second = parse(toJson(first.value()));
    REQUIRE(second);
    CHECK(second.value().zone == "a");
    CHECK(second.value().idempotent);
    CHECK(second.value().tasks.size() == 2);
    CHECK(second.value().tasks[1].payload == "q");
}

TEST_CASE("answers are unchanged after conversion to JSON and back")
{
    const job_answer complete = job_results { { "one", "two" } };
    const auto parsedComplete = parseJobAnswer(toJson(exampleId, complete));
    REQUIRE(parsedComplete);
    CHECK(parsedComplete.value() == complete);
    const job_answer failed = job_failure { error_kind::quota_exceeded, "team t", std::chrono::milliseconds(250) };
    const auto parsedFailed = parseJobAnswer(toJson(exampleId, failed));
    REQUIRE(parsedFailed);
    CHECK(parsedFailed.value() == failed);
    CHECK(httpStatus(failed) == 429);
}

TEST_CASE("an announcement is unchanged after conversion to JSON and back, and invalid ones are rejected")
{
    announcement sent;
    sent.name = "u1";
    sent.incarnation = UINT64_MAX;
    sent.host = "127.0.0.1";
    sent.port = 8080;
    sent.zone = "a";
    sent.slots = 8;
    sent.connections = 60;
    sent.capacity = { 4000, 2048, 1 };
    sent.state = upstream_state::leaving;
    sent.ttl = std::chrono::seconds(3);
    const auto parsed = parseAnnouncement(toJson(sent));
    REQUIRE(parsed);
    CHECK(parsed.value().incarnation == sent.incarnation);
    CHECK(parsed.value().port == 8080);
    CHECK(parsed.value().capacity.millicores == 4000);
    CHECK(parsed.value().state == upstream_state::leaving);
    CHECK_FALSE(parseAnnouncement(R"({"name":"u"})"));
    for (const std::string address : { "x", "10.0.0.9", "10.0.0.9:", ":8080", "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:80x", "10.0.0.9: 80", "upstream.example:8080", "localhost:8080" }) {
        CAPTURE(address);
        CHECK_FALSE(parseAnnouncement(R"({"name":"u","incarnation":1,"address":")" + address + R"(","zone":"a","slots":1,"state":"serving","ttl_ms":5})"));
    }
}
