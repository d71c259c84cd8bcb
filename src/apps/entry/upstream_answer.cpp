// From upstreams' HTTP answers to outcomes of tasks.
#include "apps/entry/upstream_answer.h"

#include "protocol/json_document.h"

#include <string_view>

namespace jackdaw::entry {

using coordination::task_outcome;
using protocol::upstream_state;
using transport::http_response;
using transport::http_result;
using transport::request_outcome;

namespace {

    constexpr int statusOk = 200;
    constexpr int statusFailed = 500;
    constexpr int statusUnavailable = 503;

    std::optional<upstream_state> stateOf(const http_response& response)
    {
        const std::string_view text = transport::findHeader(response.headers, "Upstream-State");
        if (text == "serving")
            return upstream_state::serving;
        if (text == "leaving")
            return upstream_state::leaving;
        return std::nullopt;
    }

    // Any other status says nothing of whether the task ran.
    task_outcome runOutcome(const http_response& response)
    {
        if (response.status == statusOk)
            return task_outcome::finished;
        if (response.status == statusFailed)
            return task_outcome::failed;
        if (response.status == statusUnavailable && transport::findHeader(response.headers, "Not-Started") == "true")
            return task_outcome::not_started;
        return task_outcome::no_answer;
    }

    task_outcome settleOutcome(std::string_view state)
    {
        if (state == "running")
            return task_outcome::running;
        if (state == "finished")
            return task_outcome::finished;
        if (state == "failed")
            return task_outcome::failed;
        if (state == "stopped")
            return task_outcome::stopped;
        if (state == "unknown")
            return task_outcome::not_started;
        return task_outcome::no_answer;
    }

    std::string textMember(const nlohmann::json& json, const char* name)
    {
        const auto found = json.find(name);
        return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

} // namespace

run_answer readRunAnswer(const protocol::task_key& task, http_result result)
{
    run_answer answer;
    if (result.outcome == request_outcome::refused)
        answer.outcome = task_outcome::not_started;
    if (result.outcome != request_outcome::answered)
        return answer;
    const std::string_view echoed = transport::findHeader(result.response.headers, "Task-Id");
    if (echoed != protocol::toText(task)) {
        answer.isCrossed = !echoed.empty();
        return answer;
    }
    answer.outcome = runOutcome(result.response);
    answer.state = stateOf(result.response);
    answer.body = std::move(result.response.body);
    return answer;
}

run_answer readSettleAnswer(const protocol::task_key& task, http_result result)
{
    run_answer answer;
    if (result.outcome != request_outcome::answered || result.response.status != statusOk)
        return answer;
    const std::string_view echoed = transport::findHeader(result.response.headers, "Task-Id");
    if (!echoed.empty() && echoed != protocol::toText(task))
        return answer;
    const auto json = protocol::parseJsonObject(result.response.body);
    if (!json)
        return answer;
    answer.outcome = settleOutcome(textMember(json.value(), "state"));
    answer.state = stateOf(result.response);
    answer.body = textMember(json.value(), "result");
    return answer;
}

} // namespace jackdaw::entry
