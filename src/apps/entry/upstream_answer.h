// Reads upstreams' HTTP answers as outcomes of tasks.
#pragma once

#include "coordination/dispatcher.h"
#include "transport/http_client.h"

#include <optional>
#include <string>

namespace jackdaw::entry {

struct run_answer {
    coordination::task_outcome outcome = coordination::task_outcome::no_answer;
    std::string body;
    std::optional<protocol::upstream_state> state; // when the answer carried it
    bool isCrossed = false; // it was the answer to another task: the connection can't be trusted
};

// The answer to POST /run. It counts only when it echoes the task's id.
run_answer readRunAnswer(const protocol::task_key& task, transport::http_result result);

// The answer to DELETE /tasks/{id}. An unreadable one is silent: the fate is still open.
run_answer readSettleAnswer(const protocol::task_key& task, transport::http_result result);

} // namespace jackdaw::entry
