// State of a cell's dispatcher, and the operations that its public functions consist of.
#pragma once

#include "coordination/cells/cell_dispatcher.h"
#include "coordination/cells/internal/call_watch.h"
#include "coordination/cells/internal/cell_job.h"
#include "coordination/cells/internal/failure_history.h"
#include "coordination/cells/internal/group_shares.h"
#include "coordination/cells/internal/placement.h"
#include "coordination/cells/internal/repair_budget.h"
#include "coordination/cells/internal/upstream_record.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace jackdaw::cells {

constexpr duration idlePollInterval = std::chrono::seconds(1); // keeps an idle upstream known while no reports arrive

class cell_dispatcher::impl {
public:
    using cell_job = internal::cell_job;
    using upstream_record = internal::upstream_record;
    using run_record = internal::run_record;

    impl(cell_settings wanted, cell_hooks wantedHooks, time_point now);

    const cell_settings settings;
    const cell_hooks hooks;
    const time_point ownedSince;
    time_point firstAdoptedAt = time_point::max(); // until then nothing has fenced earlier owners
    internal::upstream_map upstreams;
    std::map<std::string, std::unique_ptr<cell_job>, std::less<>> jobs;
    std::uint64_t tasksOfJobs = 0; // of all steps of these jobs
    std::uint64_t bytesOfOrders = 0; // of these jobs
    std::map<std::string, time_point, std::less<>> originsHeardAt; // of origins with open jobs
    internal::service_ratios serviceRatios;
    internal::run_overhead overhead;
    internal::group_shares shares;
    internal::failure_history failures;
    internal::call_watch calls; // starts and stops, which are answered at once
    internal::repair_budget repairs;
    std::vector<cell_action> actions;
    bool isFenced = false;
    std::optional<time_point> evacuationStartsUntil; // set while the zone is evacuated: jobs that have begun may start tasks until then
    std::uint64_t lastLife = 0; // number of the upstreams' incarnations seen so far
    bool isTakeoverLogged = false;

    struct removed_upstream {
        std::uint32_t tokenRaises = 0;
        time_point until;
    };
    std::map<std::string, removed_upstream, std::less<>> removedUpstreams; // they may be back in the same life

    // Answers of ended jobs, kept for resubmissions that arrive late.
    struct cached_answer {
        protocol::order_answer answer;
        time_point until;
    };
    std::map<std::string, cached_answer, std::less<>> answeredJobs;
    // Tasks of unknown jobs that ended as done: time of expiry by task name.
    std::map<std::string, time_point, std::less<>> unclaimedDoneTasks;
    time_point nextExpiryAt; // of entries that have expired
    void removeExpired(time_point now);

    // Upstreams.
    void onReport(time_point now, const protocol::upstream_report& report);
    // A start has ended, answered or not. Returns whether tasks may have waited for that.
    static bool endStart(upstream_record& upstream);
    void applyStartAnswer(time_point now, upstream_record& upstream, const start_request& order, const call_answer& answer);
    void onUnansweredStart(time_point now, upstream_record& upstream, const run_id& name, run_record& record);
    void onRestart(time_point now, upstream_record& upstream, const protocol::upstream_report& report, std::span<const running_task> running);
    void endLapsedRuns(time_point now, upstream_record& upstream);
    void endUnansweredStarts(time_point now, upstream_record& upstream);
    std::map<run_id, run_record> removeRuns(upstream_record& upstream, std::string_view cause, const std::function<bool(const run_record& record)>& isGone);
    void requeueAllRuns(upstream_record& upstream, std::string_view cause);
    void removeUpstream(time_point now, const std::string& id, std::string_view cause);
    void removeOthersAt(time_point now, const protocol::upstream_report& report);
    // The lease that the upstream may be given now. Zero: it must not be renewed.
    duration leaseFor(time_point now, upstream_record& upstream) const;
    time_point leaseLimitOf(const upstream_record& upstream) const;
    time_point keptUntil(const run_record& record) const;
    void poll(time_point now, upstream_record& upstream);
    void applyPollAnswer(time_point now, upstream_record& upstream, const poll_request& order, const poll_answer& answer);
    void reconcileRunning(time_point now, upstream_record& upstream, const poll_answer& answer);
    void removeUnlistedRuns(upstream_record& upstream, const poll_answer& answer);
    void onRunEnded(time_point now, upstream_record& upstream, const ended_task& end, std::int64_t clockMs);
    void updateEjection(time_point now, upstream_record& upstream, end_kind how);
    void checkUpstream(time_point now, upstream_record& upstream);
    void checkStarts(time_point now, upstream_record& upstream);
    void removeStoppedRuns(time_point now, upstream_record& upstream);
    void stopRun(time_point now, upstream_record& upstream, const run_id& name, run_record& record);
    void recordAnswer(time_point now, upstream_record& upstream, const call_answer& answer);
    // Returns the upstream that answered a call. Null if the answer ended this ownership, or is of an upstream or an incarnation that
    // is no longer known. token: of the call.
    upstream_record* findAnsweringUpstream(time_point now, const upstream_target& target, std::uint64_t token, const call_answer& answer);
    // The token of calls to the upstream, and that of the next one, raised if earlier calls may still be carried out.
    std::uint64_t tokenOf(const std::string& upstream) const;
    std::uint64_t nextToken(time_point now, upstream_record& upstream);
    void noteUnanswered(upstream_record& upstream, std::uint64_t token) const;

    // Crashes.
    // Counts runs that were lost with an upstream that may have crashed.
    void addLosses(time_point now, const upstream_record& upstream, const std::map<run_id, run_record>& lost);
    void noteSilence(time_point now, const upstream_record& upstream); // it has just stopped answering, with its runs
    void onCrashed(time_point now, upstream_record& upstream, std::string_view cause); // and is gone for good
    void confirmLosses(time_point now, const upstream_record& upstream); // it has crashed
    void dismissLosses(const upstream_record& upstream); // it has not crashed
    cell_job* findJobOfTask(std::string_view task);
    // Holds a waiting task that may have crashed upstreams, and releases it if it has not.
    void updateHold(std::string_view task);
    // Holds suspects. Returns false if too many upstreams crashed under a task, and the job has been answered as failed.
    bool applyFailureHistory(time_point now, cell_job& job);

    // Jobs.
    void submit(time_point now, const protocol::job_order& order, std::string_view origin);
    const protocol::order_answer* findCachedAnswer(const protocol::job_order& order) const;
    bool admit(time_point now, cell_job& job);
    void reject(time_point now, cell_job& job, std::string_view reason, duration wait);
    protocol::order_answer answerUnfitting(const protocol::job_order& order) const;
    // Answers the order and returns true if it would take the owner over its bounds.
    bool refusesSize(const protocol::job_order& order, std::string_view origin);
    work_in_hand workInHand() const;
    void addWork(cell_job& job);
    void removeWork(const cell_job& job);
    void claimRuns(time_point now, cell_job& job);
    std::ptrdiff_t countRuns(std::string_view task) const; // of a task, on all upstreams
    void requeue(cell_job& job, std::size_t step, std::size_t index);
    void requeueRun(const run_record& record);
    void answerOrigins(const cell_job& job, const protocol::order_answer& answer);
    void finish(time_point now, cell_job& job, protocol::order_answer answer);
    void finishIfDone(time_point now, cell_job& job);
    // Until when a run of the job is certain to be over before a caller that has left sends the job again.
    time_point keptUntil(const cell_job& job) const;
    // When an origin of the job was last known to wait for it.
    time_point lastWantedAt(const cell_job& job) const;
    void answerCancel(std::string_view job, std::string_view origin, std::uint64_t submissionNumber);
    void endOverdue(time_point now, cell_job& job); // its caller has stopped waiting
    void checkJobs(time_point now);
    void checkJob(time_point now, cell_job& job, const internal::available_upstreams& available);
    cell_job* findJob(std::string_view id);

    // Evacuation of the zone.
    // Whether tasks of the job may have run in this zone, as far as is known.
    static bool mayHaveBegun(const cell_job& job);
    bool mayStartWhileEvacuated(time_point now, const cell_job& job) const;
    // Moves, rejects or ends the job, unless it may stay until its runs have ended or are known. Returns whether it has been answered.
    bool evacuate(time_point now, cell_job& job);

    // Placement.
    void dispatch(time_point now);
    void dispatchJob(time_point now, cell_job& job, internal::available_upstreams& available);
    void dispatchWaiting(time_point now);
    void dispatchHeld(time_point now);
    void dispatchHeld(time_point now, cell_job& job, internal::available_upstreams& available);
    static bool canStartAny(const cell_job& job, const internal::available_upstreams& available);
    void start(time_point now, cell_job& job, std::size_t step, std::size_t index, upstream_record& upstream);
    bool mayStart(time_point now, const cell_job& job) const;
    bool canEverRun(const cell_job& job) const;
    // Whether a job that can only end late may take capacity that nothing else waits for.
    bool mayRunLate(time_point now, const cell_job& job, const internal::available_upstreams& available) const;
    bool fitsNow(const cell_job& job, const internal::available_upstreams& available) const;
    duration estimateWait(time_point now, const cell_job& job) const;
    static duration fastestRun(const cell_job& job, const internal::available_upstreams& available);
    static duration fastestRun(const cell_job& job, const internal::available_upstreams& available, duration declared);
    bool areEarlierRunsKnown(time_point now, const cell_job& job) const;
    bool mayRunInOtherCells(const cell_job& job) const;
    bool mayRunUnderLaterToken(const cell_job& job) const;
    std::vector<protocol::upstream_report> upstreamsWithRunsOf(const cell_job& job) const;
    bool isTakeoverComplete(time_point now, time_point handedOverAt) const;
    // Whether no earlier owner of a job handed over at the given time can have a lease left.
    bool areEarlierLeasesOver(time_point now, time_point handedOverAt) const;
    void logTakeover(time_point now);

    void note(std::string_view event, std::string_view subject, std::string inputs) const;
};

} // namespace jackdaw::cells
