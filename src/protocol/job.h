// Jobs, their tasks and their answers, as all layers use them.
#pragma once

#include "protocol/error_kind.h"
#include "protocol/submission_id.h"
#include "protocol/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jackdaw::protocol {

// Amounts of each resource that a task needs or an upstream has. Needs are the caller's declarations and may be inaccurate;
// announced capacities are reliable.
struct resources {
    std::uint32_t millicores = 0;
    std::uint32_t memoryMb = 0;
    std::uint32_t accelerators = 0;

    bool fitsIn(const resources& capacity) const
    {
        return millicores <= capacity.millicores && memoryMb <= capacity.memoryMb && accelerators <= capacity.accelerators;
    }
};

struct task_spec {
    std::string payload;
    resources need;
    duration expectedRunTime {}; // declared run time; zero when not declared
};

// One submission, as sent by the caller.
struct job_request {
    submission_id submission;
    std::string client;
    std::string team;
    std::string zone; // home availability zone; empty: derived from a hash of the id
    duration deadline {}; // relative to arrival; always positive
    bool idempotent = false;
    bool firstAttempt = false; // the caller guarantees that it never sent this submission before
    std::uint64_t bodyHash = 0; // XXH3 of the body as received; tells a resubmission from another job under the same id
    std::vector<task_spec> tasks; // never empty
};

// Identifies one attempt of one task. Each attempt has its own key.
struct task_key {
    submission_id submission;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;

    friend bool operator==(const task_key&, const task_key&) = default;
};

// Value of the Task-Id header: "<submission>.<index>.<attempt>".
std::string toText(const task_key& key);
result<task_key> parseTaskKey(std::string_view text);

struct job_failure {
    error_kind kind = error_kind::internal;
    std::string detail; // may be empty
    duration retryAfter {}; // zero: not given

    friend bool operator==(const job_failure&, const job_failure&) = default;
};

struct job_results {
    std::vector<std::string> bodies; // one for each task, in the order of the tasks

    friend bool operator==(const job_results&, const job_results&) = default;
};

// A job is answered as a whole: with the results of all tasks or with a failure.
using job_answer = std::variant<job_results, job_failure>;

} // namespace jackdaw::protocol

template <>
struct std::hash<jackdaw::protocol::task_key> {
    std::size_t operator()(const jackdaw::protocol::task_key& key) const noexcept
    {
        return boost::uuids::hash_value(key.submission) * 1000003U + key.index * 31U + key.attempt;
    }
};
