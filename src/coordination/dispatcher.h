// Decides which task starts where and when, on one entry host. Pure decision code: no sockets, threads or clock.
// Events come with a time point; the decisions leave as actions through a hook.
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

// Names one incarnation of an upstream.
struct upstream_id {
    std::string name;
    std::uint64_t incarnation = 0;

    friend bool operator==(const upstream_id&, const upstream_id&) = default;
    friend auto operator<=>(const upstream_id&, const upstream_id&) = default;
};

// Send POST /run. The payload's view holds until the task is reported or its job answered.
struct start_task {
    protocol::task_key task;
    upstream_id upstream;
    std::string host;
    std::uint16_t port = 0;
    duration lease {}; // the upstream stops the task when it ends
    bool idempotent = false;
    std::string_view payload;
};

// Send DELETE /tasks/{id} over a new connection: tells the task's fate, and leaves a tombstone where it is unknown.
struct settle_task {
    protocol::task_key task;
    upstream_id upstream;
    std::string host;
    std::uint16_t port = 0;
};

// Answer the caller. Sent once for each accepted job.
struct answer_job {
    protocol::submission_id submission;
    protocol::job_answer answer;
};

using dispatch_action = std::variant<start_task, settle_task, answer_job>;

// What became of one started task.
enum class task_outcome {
    finished, // ran to its end; the body is the result
    failed, // ran and failed
    not_started, // proved: the upstream did not start it and never will
    no_answer, // sent, but no answer came
    running, // settle_task only: still running, ask again later
    stopped // settle_task only: started, then stopped without a result
};

struct task_report {
    protocol::task_key task;
    upstream_id upstream;
    task_outcome outcome = task_outcome::no_answer;
    std::string body;
    std::optional<protocol::upstream_state> state; // the upstream's state, when the reply carried it
};

struct dispatcher_settings {
    std::uint64_t seed = 1; // of the random choices
    duration minLeaseLimit = std::chrono::seconds(30); // of a task whose run time is not known
    double leaseFactor = 8; // lease over the expected run time
    duration settleInterval = std::chrono::milliseconds(200); // between two questions after a silent task's fate
};

struct dispatcher_status {
    std::size_t jobs = 0; // accepted and not yet answered
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

    void setRules(std::shared_ptr<const rules> inForce);

    // Admits the job, or says why not. A refused job leaves no trace; an admitted one gets exactly one answer_job.
    std::optional<protocol::job_failure> submit(time_point now, protocol::job_request job);

    // Stops a job on the caller's wish. Unknown submissions are ignored.
    void cancel(time_point now, const protocol::submission_id& submission);

    // An announcement that arrived at the time point, from the upstream itself or from another host that heard it.
    void applyAnnouncement(time_point heardAt, const protocol::announcement& announcement);

    // How many of an upstream's slots this host may use. Without a call it may use all.
    void setSlots(time_point now, const upstream_id& upstream, std::uint32_t slots);

    void report(time_point now, task_report report);

    // Refuses new jobs from now on; accepted ones go on.
    void drain();

    // Does what is due. To be called at nextTimer() or later.
    void advance(time_point now);
    std::optional<time_point> nextTimer() const;

    dispatcher_status status() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::coordination
