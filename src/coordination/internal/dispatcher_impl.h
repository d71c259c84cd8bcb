// Implementation of the dispatcher: its state and its event handlers.
#pragma once

#include "coordination/dispatcher.h"
#include "coordination/internal/job_record.h"
#include "coordination/internal/retry_budget.h"
#include "coordination/internal/run_time_model.h"
#include "coordination/internal/start_policy.h"
#include "coordination/internal/task_queue.h"
#include "coordination/internal/team_table.h"
#include "coordination/internal/upstream_pool.h"

#include <deque>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

namespace jackdaw::coordination {

using protocol::error_kind;
using protocol::job_failure;
using protocol::submission_id;

class dispatcher::impl {
public:
    impl(dispatcher_settings settings, action_hook onAction)
        : m_settings(settings)
        , m_onAction(std::move(onAction))
        , m_rules(std::make_shared<const rules>())
    {
    }

    std::optional<job_failure> submit(time_point now, protocol::job_request request);
    void cancel(time_point now, const submission_id& submission);
    void applyAnnouncement(time_point receivedAt, const protocol::announcement& announcement);
    void report(time_point now, task_report&& report);
    void advance(time_point now);
    std::optional<time_point> nextTimer() const;
    dispatcher_status status() const;

    // Starts queued tasks on free slots. The limit saves the search for a further start that the caller knows to be
    // impossible.
    void startQueued(time_point at, std::size_t maxStarts = std::numeric_limits<std::size_t>::max());
    void setRules(std::shared_ptr<const rules> activeRules);
    // Passes the collected actions to the hook, which may call the dispatcher again.
    void flush();

    upstream_pool& upstreams() { return m_upstreams; }
    void drain() { m_draining = true; }

private:
    struct job_timer {
        submission_id submission;
    };

    struct settle_timer {
        protocol::task_key task;
    };

    struct retry_timer {
    };

    struct recheck_timer {
    };

    using due_timer = std::variant<job_timer, settle_timer, retry_timer, recheck_timer>;

    std::optional<job_failure> admit(time_point now, const protocol::job_request& request);
    job_record* find(const submission_id& submission);
    task_record* findOutstanding(const protocol::task_key& key, job_record& job);

    void estimateRunTimes(job_record& job);
    void changeQueuedWork(job_record& job, duration change);
    void groupIntoParts(job_record& job);
    void addPending(job_record& job, std::uint32_t index);
    void enqueueParts(job_record& job);
    void dequeueParts(job_record& job);

    void start(time_point now, const start_decision& decision);
    void updateQueueKey(job_record& job, std::uint32_t part);
    duration leaseFor(const job_record& job, const task_record& task, time_point now) const;
    duration stragglerAge(const task_record& task) const;
    void release(time_point now, job_record& job, task_record& task, task_phase next);

    void onFinished(time_point now, job_record& job, task_record& task, std::string&& body);
    void recordRunTime(time_point now, const job_record& job, const task_record& task);
    void onNotStarted(time_point now, job_record& job, const protocol::task_key& key, task_record& task);
    void onNoAnswer(time_point now, job_record& job, const protocol::task_key& key, task_record& task);
    void onRunning(time_point now, job_record& job, const protocol::task_key& key, task_record& task);
    void onOutcomeUnknown(time_point now, job_record& job, const protocol::task_key& key, task_record& task);
    void settle(const protocol::task_key& key, task_record& task);
    void recordStraggler(time_point now, const task_record& task);
    void requeue(time_point now, job_record& job, std::uint32_t index);
    void requeueDelayed(time_point now);
    void endTasksOfReplaced(time_point now);

    void fail(job_record& job, error_kind kind, std::string detail = {});
    void answer(job_record& job, protocol::job_answer answer);
    void eraseIfDone(time_point now, job_record& job);
    bool mayHaveStarted(const job_record& job) const;
    bool isEveryStartUnanswered(const job_record& job) const;

    void onTimer(time_point now, const job_timer& timer);
    void onTimer(time_point now, const settle_timer& timer);
    void onTimer(time_point now, const retry_timer& timer);
    void onTimer(time_point now, const recheck_timer& timer);

    const dispatcher_settings m_settings;
    const action_hook m_onAction;
    std::shared_ptr<const rules> m_rules;

    std::unordered_map<submission_id, std::unique_ptr<job_record>> m_jobs;
    task_queue m_queue;
    team_table m_teams;
    upstream_pool m_upstreams;
    start_policy m_startPolicy;
    run_time_model m_runTimes;
    double m_meanWork = 300'000; // moving average of started tasks' expected run time at factor 1; microseconds
    std::optional<timer_id> m_recheckTimer;
    timer_queue<due_timer> m_timers;
    retry_budget m_retryBudget;
    std::deque<protocol::task_key> m_delayedRetries; // entries of ended jobs are removed when they reach the front
    std::optional<timer_id> m_retryTimer;
    std::deque<dispatch_action> m_outbox;
    bool m_flushing = false;
    bool m_draining = false;
    std::uint64_t m_nextSequence = 1;
    time_point m_now {}; // latest time point of any event
    dispatcher_status m_status; // without the upstream counts, which the pool keeps
};

} // namespace jackdaw::coordination
