// Test fixture: a dispatcher whose actions are recorded, with helpers that create its events.
#pragma once

#include "coordination/dispatcher.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jackdaw::coordination::tests {

using namespace std::chrono_literals;
using protocol::error_kind;

struct dispatch_fixture {
    explicit dispatch_fixture(rules activeRules = {}, dispatcher_settings settings = {})
        : core(settings, [this](dispatch_action action) { onAction(std::move(action)); })
    {
        core.setRules(std::make_shared<const rules>(std::move(activeRules)));
    }

    static protocol::submission_id submissionId(std::uint64_t number)
    {
        return protocol::makeSubmissionId(protocol::unix_milliseconds { 1 }, 0, number << 8U);
    }

    static protocol::job_request makeJob(std::uint64_t number, std::size_t tasks = 1)
    {
        protocol::job_request job;
        job.submission = submissionId(number);
        job.team = "minutes";
        job.deadline = 10s;
        job.tasks.assign(tasks, { "payload", { 100, 64, 0 }, 100ms });
        return job;
    }

    static protocol::announcement makeAnnouncement(const std::string& name, std::uint32_t slots = 8)
    {
        return { name, 1, "127.0.0.1", 8080, "a", slots, 60, { 4000, 8192, 0 }, protocol::upstream_state::serving, 3s };
    }

    void onAction(dispatch_action&& action)
    {
        if (auto* start = std::get_if<start_task>(&action))
            starts.push_back(*start);
        if (auto* settle = std::get_if<settle_task>(&action))
            settles.push_back(*settle);
        if (auto* answer = std::get_if<answer_job>(&action))
            answers.push_back(*answer);
    }

    void reportLatestStart(task_outcome outcome, std::string body = {})
    {
        core.report(now, { starts.back().task, starts.back().upstream, outcome, std::move(body), {} });
    }

    // The number of the latest started job, as passed to makeJob(). Numbers below 1,000 only.
    std::uint64_t latestStartedJob() const
    {
        std::uint64_t number = 0;
        while (number < 1000 && submissionId(number) != starts.back().task.submission)
            ++number;
        return number;
    }

    void advanceBy(duration time)
    {
        now += time;
        core.advance(now);
    }

    error_kind latestFailure() const
    {
        return std::get<protocol::job_failure>(answers.back().answer).kind;
    }

    time_point now { 1000s };
    std::vector<start_task> starts;
    std::vector<settle_task> settles;
    std::vector<answer_job> answers;
    dispatcher core;
};

} // namespace jackdaw::coordination::tests
