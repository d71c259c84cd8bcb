// Takes jobs from callers and sees to it that each gets its one answer: joins resubmissions to the job that runs,
// hands new jobs to the dispatcher, cancels jobs nobody waits for. Lives on the decision loop's thread.
#pragma once

#include "apps/entry/dispatch_driver.h"
#include "apps/entry/entry_counters.h"
#include "apps/entry/job_registry.h"

#include <memory>

namespace jackdaw::entry {

struct job_service_settings {
    protocol::duration abandonAfter {}; // a job whose callers all went away is cancelled then
    protocol::duration recordRetention = std::chrono::hours(1); // how long a submission is known
    protocol::duration maxClockSkew = std::chrono::minutes(2); // between this host and the clients that make ids
};

class job_service {
public:
    // Names one caller's interest in one job.
    struct ticket {
        protocol::submission_id submission {};
        job_registry::waiter_id waiter = 0;
    };

    job_service(job_service_settings settings, dispatch_driver& dispatch, job_registry& registry, entry_counters& counters);
    ~job_service();

    // The hook gets the job's answer, once, perhaps before this returns. A detached job goes on when nobody waits.
    ticket submit(protocol::job_request job, bool isDetached, answer_hook onAnswer);

    // The caller went away: its hook is not called any more.
    void abandon(const ticket& caller);

    registry_view find(const protocol::submission_id& submission) const;

    // Stops an open job. False when no open job has this id.
    bool cancel(const protocol::submission_id& submission);

    // To be wired to the dispatcher's answers.
    void onAnswer(coordination::answer_job action);

    // New jobs are refused from now on; resubmissions still join open ones.
    void refuseNewJobs();

    // Cancels abandoned jobs and drops what is past its retention. To be called a few times a second.
    void tick();

    std::size_t openJobs() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::entry
