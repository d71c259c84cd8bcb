// Jobs of the callers that are connected to this host: handed to the owner of a cell, handed over again when the owner
// changes, answered once.
//
// Load pattern: owners that die or freeze with work in hand. A job whose tasks may have run is never answered as if it had
// not, and is handed to the next owner with what the last one saw done.
#pragma once

#include "coordination/cells/cell_ownership.h"
#include "protocol/cell_messages.h"
#include "protocol/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jackdaw::cells {

using protocol::duration;
using protocol::time_point;

using caller_id = std::uint64_t; // one request of a caller

struct forward_job {
    std::string host;
    protocol::job_order order;
};

struct forward_cancel {
    std::string host;
    std::string job;
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

    // homeCellOf: the cell of this zone that a new job is handed to first.
    job_router(cell_lookup homeCellOf, owner_lookup ownerOf);

    // A copy of a job that is under way joins it.
    void submit(time_point now, protocol::job_order order, caller_id caller);

    // The caller's connection is lost, or it waits no longer.
    void onCallerGone(caller_id caller);

    // False when the job is not under way here.
    bool cancel(std::string_view job);

    void onAnswer(time_point now, std::string_view host, const protocol::order_answer& answer);

    // Hands over the jobs whose owner has changed, sends unanswered orders again, and ends those whose time is up.
    void advance(time_point now);

    std::vector<router_action> takeActions();
    std::size_t size() const { return m_jobs.size(); }

private:
    struct pending_job {
        protocol::job_order order;
        std::vector<caller_id> callers;
        std::string cell;
        std::string host; // that has the job in hand; empty: none
        std::uint64_t token = 0; // of the ownership that the job was handed to
        std::uint32_t sendCount = 0; // of the order to that ownership
        time_point arrivedAt;
        time_point deadline;
        time_point sentAt; // valid while host is set
        bool mayHaveRun = false; // it was handed to an owner that did not answer that it has not
    };

    void forwardToOwner(time_point now, pending_job& job);
    void send(time_point now, pending_job& job);
    void finish(const std::string& id, protocol::order_answer answer);

    cell_lookup m_homeCellOf;
    owner_lookup m_ownerOf;
    std::map<std::string, pending_job, std::less<>> m_jobs;
    std::map<caller_id, std::string> m_jobOfCaller;
    std::vector<router_action> m_actions;
    std::uint64_t m_lastSubmission = 0;
};

} // namespace jackdaw::cells
