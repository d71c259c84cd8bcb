// Forwards the jobs of callers connected to this host to the owner of a cell, forwards them again when the owner changes, and
// answers each caller once.
//
// Load pattern: owners that crash or freeze while jobs are in progress. A job whose tasks may have run is never reported as not
// run, and is forwarded to the next owner together with the tasks that the previous owner reported as done.
#pragma once

#include "coordination/cells/cell_ownership.h"
#include "protocol/cell_messages.h"
#include "protocol/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace jackdaw::cells {

using protocol::duration;
using protocol::time_point;

using caller_id = std::uint64_t; // identifies one caller's request

struct forward_job {
    std::string host;
    protocol::job_order order;
};

struct forward_cancel {
    std::string host;
    std::string job;
    std::uint64_t submissionNumber = 0;
};

struct answer_callers {
    std::vector<caller_id> callers;
    protocol::order_answer answer;
};

using router_action = std::variant<forward_job, forward_cancel, answer_callers>;

class job_router {
public:
    using owner_lookup = std::function<std::optional<cell_owner>(std::string_view cell)>;
    using cell_lookup = std::function<std::string(std::string_view job)>;

    // Empty: the host's zone is not evacuated. Otherwise the cell of another zone for a new job; an empty name if no zone takes it.
    using evacuation_lookup = std::function<std::optional<std::string>(const protocol::job_order& job)>;

    static constexpr std::size_t unlimited = SIZE_MAX;

    // homeCellOf: returns the cell of this zone that a new job is forwarded to first.
    // evacuationTargetOf: may be empty.
    // maxBytes: what the jobs in progress may take together. Each is kept until it is answered, to be forwarded again if its owner is lost.
    job_router(cell_lookup homeCellOf, owner_lookup ownerOf, evacuation_lookup evacuationTargetOf = {}, std::size_t maxBytes = unlimited);

    // A resubmission of a job in progress adds the caller to that job; each caller is answered in its own time. A job with too little time
    // left for an answer is rejected: its caller may have given up and sent it again elsewhere. So is one that would take more than maxBytes together with the others.
    // preferredCell: the cell that a new job is forwarded to first; empty: its home cell.
    void submit(time_point now, protocol::job_order order, caller_id caller, std::string preferredCell = {});

    // The caller's connection is lost or the caller has stopped waiting. Cancels the job if no other caller waits for it.
    void onCallerGone(time_point now, caller_id caller);

    // Returns false if the job is not in progress on this host.
    bool cancel(time_point now, std::string_view job);

    // Ends all jobs as unfinished and cancels them at their owners: the process is about to end, and its callers' connections with it.
    void abandonJobs(time_point now);

    void onAnswer(time_point now, std::string_view host, const protocol::order_answer& answer);

    // Forwards jobs whose owner has changed, resends unanswered orders and cancellations, and ends jobs whose
    // callers must be answered now to hear it before their deadline.
    void advance(time_point now);

    // Hosts that own the cells of jobs in progress. They have to hear from this host, or they end its jobs.
    std::set<std::string> owners() const;

    std::vector<router_action> takeActions();
    std::size_t size() const { return m_jobs.size(); }

private:
    struct waiting_caller {
        caller_id id = 0;
        time_point answerBy; // when it is answered at the latest
    };
    struct pending_job {
        protocol::job_order order; // with the number of the latest submission
        std::uint64_t firstSubmission = 0; // number of the first one
        std::size_t bytes = 0; // that the order takes
        std::vector<waiting_caller> callers; // in the order of their arrival; not empty
        std::string cell;
        std::string host; // the owner that the job was forwarded to; empty: none
        std::uint64_t token = 0; // of the ownership that the job was forwarded to
        std::uint32_t zoneCellCount = 1; // of that ownership
        std::set<std::string> lostHosts; // earlier owners that have not answered: they may still run the job
        std::uint32_t moveCount = 0; // how often an owner moved the job to another cell
        std::uint32_t sendCount = 0; // how often the order was sent under that ownership
        time_point arrivedAt;
        time_point deadline; // when the last of the callers stops waiting
        time_point sentAt; // valid while host is not empty
        bool mayHaveRun = false; // the order was sent to an owner that has not confirmed that no task ran

        // When the last of its callers is answered.
        time_point answerBy() const;
    };

    // A cancellation that its owner has not answered. While it is lost, the job's tasks run on.
    struct pending_cancel {
        forward_cancel message;
        time_point sentAt;
        time_point until; // the owner ends the job by itself
    };
    using cancel_key = std::tuple<std::string, std::uint64_t, std::string>; // job, submission number and host

    void addCaller(time_point now, pending_job& job, caller_id caller, duration timeLeft);
    static void removeCaller(time_point now, pending_job& job, std::size_t index);
    // Unless all of them are overdue: then the job ends.
    void answerOverdueCallers(time_point now, pending_job& job);
    void sendCancel(time_point now, const pending_job& job);
    void forwardToOwner(time_point now, pending_job& job);
    // The owner that the job was sent to may have started tasks, and the next one has to know of them.
    static void noteHandOver(pending_job& job);
    void send(time_point now, pending_job& job);
    void finish(const std::string& id, protocol::order_answer answer);
    void updateBytes(pending_job& job);

    cell_lookup m_homeCellOf;
    owner_lookup m_ownerOf;
    evacuation_lookup m_evacuationTargetOf;
    std::size_t m_maxBytes;
    std::size_t m_bytes = 0; // sum over m_jobs
    std::map<std::string, pending_job, std::less<>> m_jobs;
    std::map<caller_id, std::string> m_jobOfCaller;
    std::map<cancel_key, pending_cancel> m_cancels;
    std::vector<router_action> m_actions;
    std::uint64_t m_lastSubmission = 0;
};

} // namespace jackdaw::cells
