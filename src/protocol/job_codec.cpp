// JSON encoding and decoding of jobs and answers.
#include "protocol/job_codec.h"

#include "protocol/internal/json_reader.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace jackdaw::protocol {
namespace {

    using std::chrono::duration_cast;
    using std::chrono::milliseconds;

    constexpr std::uint64_t maxExpectedMs = 600'000;

    task_spec readTask(internal::json_reader& reader)
    {
        task_spec task;
        task.payload = reader.requiredString("payload");
        task.need = reader.resourcesOr({});
        task.expectedRunTime = milliseconds(reader.integerOr("expected_ms", 0, 0, maxExpectedMs));
        return task;
    }

    void readTasks(internal::json_reader& reader, const job_limits& limits, job_request& out)
    {
        const nlohmann::json& tasks = reader.array("tasks");
        if (tasks.empty() || tasks.size() > limits.maxTasks)
            reader.fail("'tasks' must hold from 1 to " + std::to_string(limits.maxTasks) + " tasks");
        if (reader.hasFailed())
            return;
        out.tasks.reserve(tasks.size());
        for (std::size_t i = 0; i < tasks.size(); ++i) {
            internal::json_reader taskReader(tasks[i], "tasks[" + std::to_string(i) + "] ");
            out.tasks.push_back(readTask(taskReader));
            if (taskReader.hasFailed()) {
                reader.fail(taskReader.takeError().detail);
                return;
            }
        }
    }

    error_kind kindFromName(std::string_view name)
    {
        for (const error_answer& row : errorTable()) {
            if (row.name == name)
                return row.kind;
        }
        return error_kind::internal;
    }

    nlohmann::json failureToJson(const job_failure& failure)
    {
        const error_answer& row = errorAnswer(failure.kind);
        nlohmann::json json {
            { "state", "failed" },
            { "error", row.name },
            { "ran", toText(row.ran) },
            { "text", row.text },
            { "retry_after_ms", duration_cast<milliseconds>(failure.retryAfter).count() },
        };
        if (!failure.detail.empty())
            json["detail"] = failure.detail;
        return json;
    }

} // namespace

result<job_request> parseJobRequest(const submission_id& submission, std::string_view json, const job_limits& limits)
{
    if (json.size() > limits.maxBodyBytes)
        return makeError(error_kind::body_too_large, "the body has more than " + std::to_string(limits.maxBodyBytes) + " bytes");
    internal::json_reader reader(json);
    job_request out;
    out.submission = submission;
    out.client = reader.requiredString("client");
    out.team = reader.requiredString("team");
    out.zone = reader.stringOr("zone", {});
    out.deadline = milliseconds(reader.integerOr("deadline_ms", duration_cast<milliseconds>(limits.defaultDeadline).count(),
        1, duration_cast<milliseconds>(limits.maxDeadline).count()));
    out.idempotent = reader.booleanOr("idempotent", false);
    readTasks(reader, limits, out);
    if (reader.hasFailed())
        return reader.takeError();
    out.bodyHash = XXH3_64bits(json.data(), json.size());
    return out;
}

std::string toJson(const job_request& request)
{
    nlohmann::json tasks = nlohmann::json::array();
    for (const task_spec& task : request.tasks) {
        tasks.push_back({
            { "payload", task.payload },
            { "cores", task.need.millicores / internal::millicoresPerCore },
            { "memory_mb", task.need.memoryMb },
            { "accelerators", task.need.accelerators },
            { "expected_ms", duration_cast<milliseconds>(task.expectedRunTime).count() },
        });
    }
    nlohmann::json json {
        { "client", request.client },
        { "team", request.team },
        { "deadline_ms", duration_cast<milliseconds>(request.deadline).count() },
        { "idempotent", request.idempotent },
        { "tasks", std::move(tasks) },
    };
    if (!request.zone.empty())
        json["zone"] = request.zone;
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string toJson(const submission_id& submission, const job_answer& answer)
{
    nlohmann::json json;
    if (const auto* results = std::get_if<job_results>(&answer))
        json = { { "state", "complete" }, { "results", results->bodies } };
    else
        json = failureToJson(std::get<job_failure>(answer));
    json["submission"] = toText(submission);
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<job_answer> parseJobAnswer(std::string_view json)
{
    internal::json_reader reader(json);
    const std::string state = reader.requiredString("state");
    if (state == "failed") {
        job_failure failure;
        failure.kind = kindFromName(reader.requiredString("error"));
        failure.detail = reader.stringOr("detail", {});
        failure.retryAfter = milliseconds(reader.integerOr("retry_after_ms", 0, 0, INT32_MAX));
        if (reader.hasFailed())
            return reader.takeError();
        return job_answer(std::move(failure));
    }
    if (state != "complete")
        reader.fail("'state' is neither complete nor failed");
    job_results results;
    for (const nlohmann::json& body : reader.array("results")) {
        if (!body.is_string())
            reader.fail("'results' holds something that is not a string");
        else
            results.bodies.push_back(body.get<std::string>());
    }
    if (reader.hasFailed())
        return reader.takeError();
    return job_answer(std::move(results));
}

int httpStatus(const job_answer& answer)
{
    const auto* failure = std::get_if<job_failure>(&answer);
    return failure ? errorAnswer(failure->kind).httpStatus : 200;
}

} // namespace jackdaw::protocol
