// Schedules the tasks of admitted jobs on upstreams, for one entry host. The code uses no sockets, threads or clock:
// each event carries its time point, and each decision is passed as an action to a hook.
#pragma once

#include "coordination/rules.h"
#include "protocol/announcement.h"
#include "protocol/job.h"
#include "protocol/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jackdaw::coordination {

using protocol::time_point;

// Identifies one incarnation of an upstream.
struct upstream_id {
    std::string name;
    std::uint64_t incarnation = 0;

    friend bool operator==(const upstream_id&, const upstream_id&) = default;
    friend auto operator<=>(const upstream_id&, const upstream_id&) = default;
};

// Request to send POST /run. The payload view is valid until the task is reported or its job is answered.
struct start_task {
    protocol::task_key task;
    upstream_id upstream;
    std::string host;
    std::uint16_t port = 0;
    duration lease {}; // the upstream stops the task when the lease expires
    bool idempotent = false;
    std::string_view payload;
};

// Request to send DELETE /tasks/{id} over a new connection, which settles the task: the upstream answers with the
// task's outcome, or, if it does not know the task, stores a tombstone that prevents a later start.
struct settle_task {
    protocol::task_key task;
    upstream_id upstream;
    std::string host;
    std::uint16_t port = 0;
};

// Request to answer the caller. Issued exactly once for each admitted job.
struct answer_job {
    protocol::submission_id submission;
    protocol::job_answer answer;
};

using dispatch_action = std::variant<start_task, settle_task, answer_job>;

// The result of a start_task or settle_task exchange.
enum class task_outcome {
    finished, // completed; the body is the result
    failed, // ran and failed
    not_started, // the upstream guarantees that it has not started the task and never will
    no_answer, // sent, but no usable answer arrived; the task may have started
    running, // settle_task only: still running; to be settled again later
    stopped // settle_task only: started, then stopped without a result
};

struct task_report {
    protocol::task_key task;
    upstream_id upstream;
    task_outcome outcome = task_outcome::no_answer;
    std::string body;
    std::optional<protocol::upstream_state> state; // the upstream's state, if the reply contained it
};

struct dispatcher_settings {
    std::uint64_t seed = 1; // of the random number generator
    duration minLeaseLimit = std::chrono::seconds(30); // lower bound of the lease limit, for tasks of unknown run time
    double leaseFactor = 8; // ratio of lease limit to expected run time
    duration settleInterval = std::chrono::milliseconds(200); // first interval between two settle requests for a task
};

struct dispatcher_status {
    std::size_t jobs = 0; // admitted and not yet answered
    std::size_t queuedTasks = 0;
    std::size_t runningTasks = 0;
    std::size_t upstreams = 0; // serving and not expired
    std::size_t ejectedUpstreams = 0;
    std::uint64_t starts = 0;
    std::uint64_t retries = 0;
    std::uint64_t settles = 0;
};

class dispatcher {
public:
    using action_hook = std::function<void(dispatch_action action)>;

    dispatcher(dispatcher_settings settings, action_hook onAction);
    ~dispatcher();

    void setRules(std::shared_ptr<const rules> activeRules);

    // Admits the job, or returns the reason for the refusal. No state is kept for a refused job; an admitted job gets
    // exactly one answer_job.
    std::optional<protocol::job_failure> submit(time_point now, protocol::job_request job);

    // Answers the job as cancelled. Tasks that are already started keep their slots until they are reported or their
    // leases expire. Unknown submissions are ignored.
    void cancel(time_point now, const protocol::submission_id& submission);

    // Adds or refreshes an upstream. The announcement was received at the time point, by this host or by the one that
    // relayed it.
    void applyAnnouncement(time_point receivedAt, const protocol::announcement& announcement);

    // Limits the slots of an upstream that this host may use. Without a call it may use all of them.
    void setSlots(time_point now, const upstream_id& upstream, std::uint32_t slots);

    // Applies the outcome of a start_task or settle_task. Reports of earlier attempts are ignored.
    void report(time_point now, task_report report);

    // Refuses new jobs from now on; admitted jobs are completed.
    void drain();

    // Runs the timers that are due. To be called at nextTimer() or later.
    void advance(time_point now);
    std::optional<time_point> nextTimer() const;

    dispatcher_status status() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::coordination
