// JSON encoding of job requests and answers, as documented in docs/API.md.
#pragma once

#include "protocol/job.h"
#include "protocol/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace jackdaw::protocol {

struct job_limits {
    std::size_t maxTasks = 640;
    std::size_t maxBodyBytes = 16 * 1024 * 1024;
    duration maxDeadline = std::chrono::minutes(10);
    duration defaultDeadline = std::chrono::seconds(10);
};

// Parses the body of PUT /v1/jobs/{submission}. The error detail names the invalid member.
result<job_request> parseJobRequest(const submission_id& submission, std::string_view json, const job_limits& limits);
std::string toJson(const job_request& request);

// The body of an answer: {"submission", "state": "complete", "results": [...]} or
// {"submission", "state": "failed", "error", "ran", "text", "detail", "retry_after_ms"}.
std::string toJson(const submission_id& submission, const job_answer& answer);
result<job_answer> parseJobAnswer(std::string_view json);

int httpStatus(const job_answer& answer);

} // namespace jackdaw::protocol
