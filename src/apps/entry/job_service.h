// Takes jobs from callers and from other hosts, and sees to it that each gets its one answer: joins resubmissions to the
// job that runs, sends jobs to their home zone, claims a submission before anything of it starts, hands claimed jobs to
// the dispatcher, cancels jobs nobody waits for. Lives on the decision loop's thread.
#pragma once

#include "apps/entry/dispatch_driver.h"
#include "apps/entry/entry_counters.h"
#include "apps/entry/job_forwarder.h"
#include "apps/entry/job_registry.h"
#include "apps/shared/job_metrics.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jackdaw::entry {

struct job_service_settings {
    std::string host; // this host's name
    std::uint64_t incarnation = 0;
    std::string zone;
    std::vector<std::string> zones;
    protocol::duration abandonAfter {}; // a job whose callers all went away is cancelled then
};

// Who may start a submission's tasks.
enum class claim_state {
    granted, // this host, from now on
    held, // the incarnation of a host that is named, perhaps this one
    mismatch, // claimed with another body
    too_old, // the claims don't reach back to the submission's time stamp
    from_future, // the submission's time stamp is too far ahead
    unavailable, // nobody can tell now
    unavailable_first_attempt // as above, but it is proved that nobody has it
};

struct claim_outcome {
    claim_state state = claim_state::unavailable;
    std::string host; // only for held
    std::uint64_t incarnation = 0; // only for held
};

using claim_completion = std::function<void(const claim_outcome& outcome)>;

// Claims the submission of a job for this host. The completion runs once, perhaps at once.
using claim_hook = std::function<void(const protocol::job_request& job, claim_completion onOutcome)>;

class job_service {
public:
    // Names one caller's interest in one job.
    struct ticket {
        protocol::submission_id submission {};
        job_registry::waiter_id waiter = 0;
    };

    job_service(job_service_settings settings, claim_hook claim, dispatch_driver& dispatch, job_registry& registry, job_forwarder& forwarder,
        entry_counters& counters, apps::job_metrics& services);
    ~job_service();

    // The hook gets the job's answer, once, perhaps before this returns. A detached job goes on when nobody waits.
    // Hops counts the hosts that passed the job on before.
    ticket submit(protocol::job_request job, bool isDetached, std::uint32_t hops, answer_hook onAnswer);

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
