// Tests of the reading of upstreams' answers.
#include "apps/entry/upstream_answer.h"

#include <doctest/doctest.h>

using namespace jackdaw;
using coordination::task_outcome;
using entry::readRunAnswer;
using entry::readSettleAnswer;
using transport::http_result;
using transport::request_outcome;

namespace {

const protocol::task_key task { protocol::makeSubmissionId(protocol::unix_milliseconds(1'700'000'000'000), 1, 2), 3, 0 };

http_result answered(int status, std::string body, std::vector<transport::http_header> headers)
{
    return { request_outcome::answered, { status, "text/plain", std::move(body), std::move(headers) } };
}

transport::http_header ownId()
{
    return { "Task-Id", protocol::toText(task) };
}

} // namespace

TEST_CASE("an answer is taken by its task id, not by its connection")
{
    const auto own = readRunAnswer(task, answered(200, "x", { ownId(), { "upstream-state", "leaving" } }));
    CHECK(own.outcome == task_outcome::finished);
    CHECK(own.body == "x");
    CHECK(own.state == protocol::upstream_state::leaving);
    protocol::task_key other = task;
    other.index = 4;
    const auto crossed = readRunAnswer(task, answered(200, "y", { { "Task-Id", protocol::toText(other) } }));
    CHECK(crossed.isCrossed);
    CHECK(crossed.outcome == task_outcome::no_answer);
    CHECK(crossed.body.empty());
}

TEST_CASE("only a proof counts as not started")
{
    CHECK(readRunAnswer(task, { request_outcome::refused, {} }).outcome == task_outcome::not_started);
    CHECK(readRunAnswer(task, answered(503, {}, { ownId(), { "Not-Started", "true" } })).outcome == task_outcome::not_started);
    CHECK(readRunAnswer(task, answered(503, {}, { ownId() })).outcome == task_outcome::no_answer);
    CHECK(readRunAnswer(task, { request_outcome::silent, {} }).outcome == task_outcome::no_answer);
    CHECK(readRunAnswer(task, answered(500, {}, { ownId() })).outcome == task_outcome::failed);
    CHECK(readSettleAnswer(task, { request_outcome::refused, {} }).outcome == task_outcome::no_answer);
}

TEST_CASE("a settled fate is read, and an unreadable one stays open")
{
    const auto finished = readSettleAnswer(task, answered(200, R"({"state":"finished","result":"x"})", {}));
    CHECK(finished.outcome == task_outcome::finished);
    CHECK(finished.body == "x");
    CHECK(readSettleAnswer(task, answered(200, R"({"state":"unknown"})", {})).outcome == task_outcome::not_started);
    CHECK(readSettleAnswer(task, answered(200, R"({"state":"running"})", {})).outcome == task_outcome::running);
    CHECK(readSettleAnswer(task, answered(200, "no json", {})).outcome == task_outcome::no_answer);
    CHECK(readSettleAnswer(task, answered(404, R"({"state":"unknown"})", {})).outcome == task_outcome::no_answer);
}
