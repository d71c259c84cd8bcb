// The table that maps error kinds to answers.
#include "protocol/error_kind.h"

#include <array>
#include <string>

namespace jackdaw::protocol {
namespace {

    using enum error_kind;

    constexpr std::array errorRows {
        error_answer { malformed_request, "malformed_request", 400, ran_state::no, "the request could not be read" },
        error_answer { body_too_large, "body_too_large", 413, ran_state::no, "the request body is over the limit" },
        error_answer { unauthorized, "unauthorized", 401, ran_state::no, "the operator token is missing or wrong" },
        error_answer { unknown_resource, "unknown_resource", 404, ran_state::maybe, "nothing is known under this name" },
        error_answer { submission_mismatch, "submission_mismatch", 409, ran_state::maybe, "another body was sent under this submission id" },
        error_answer { never_fits, "never_fits", 422, ran_state::no, "no announced upstream can ever run one of the tasks" },
        error_answer { quota_exceeded, "quota_exceeded", 429, ran_state::no, "the team's quota is used up" },
        error_answer { rate_exceeded, "rate_exceeded", 429, ran_state::no, "the team's rate limit is reached" },
        error_answer { queue_full, "queue_full", 503, ran_state::no, "the queue is full" },
        error_answer { deadline_unreachable, "deadline_unreachable", 503, ran_state::no, "the deadline can't be met with the present queue" },
        error_answer { draining, "draining", 503, ran_state::no, "this host is shutting down" },
        error_answer { no_upstream, "no_upstream", 503, ran_state::no, "no upstream is serving" },
        error_answer { zone_unreachable, "zone_unreachable", 503, ran_state::maybe, "the availability zone of the submission can't be reached" },
        error_answer { zone_unreachable_first_attempt, "zone_unreachable_first_attempt", 503, ran_state::no, "the availability zone of the submission can't be reached; this first attempt was not sent on" },
        error_answer { claim_unavailable, "claim_unavailable", 503, ran_state::maybe, "the claim group has no majority" },
        error_answer { claim_too_old, "claim_too_old", 410, ran_state::maybe, "the submission is older than the claims that are remembered" },
        error_answer { coordinator_lost, "coordinator_lost", 502, ran_state::maybe, "the host that ran the job was lost" },
        error_answer { task_failed, "task_failed", 502, ran_state::yes, "a task failed" },
        error_answer { deadline_passed_before_start, "deadline_passed_before_start", 504, ran_state::no, "the deadline passed before anything was started" },
        error_answer { deadline_passed_after_start, "deadline_passed_after_start", 504, ran_state::yes, "the deadline passed while tasks were running" },
        error_answer { cancelled_before_start, "cancelled_before_start", 409, ran_state::no, "the job was cancelled before anything was started" },
        error_answer { cancelled_after_start, "cancelled_after_start", 409, ran_state::yes, "the job was cancelled while tasks were running" },
        error_answer { version_conflict, "version_conflict", 409, ran_state::no, "another change took this version" },
        error_answer { not_leader, "not_leader", 421, ran_state::no, "this host is not the leader" },
        error_answer { storage_failed, "storage_failed", 507, ran_state::no, "the change could not be stored" },
        error_answer { corrupt_data, "corrupt_data", 500, ran_state::no, "stored data is corrupt" },
        error_answer { timed_out, "timed_out", 504, ran_state::maybe, "no answer came in time" },
        error_answer { internal, "internal", 500, ran_state::maybe, "an internal error occurred" },
    };

    constexpr bool isOrderedByKind()
    {
        for (std::size_t i = 0; i < errorRows.size(); ++i) {
            if (static_cast<std::size_t>(errorRows[i].kind) != i + 1)
                return false;
        }
        return errorRows.back().kind == internal;
    }

    static_assert(isOrderedByKind());

    class category final : public std::error_category {
    public:
        const char* name() const noexcept override { return "jackdaw"; }

        std::string message(int value) const override
        {
            return std::string(errorAnswer(static_cast<error_kind>(value)).text);
        }
    };

} // namespace

std::span<const error_answer> errorTable()
{
    return errorRows;
}

const error_answer& errorAnswer(error_kind kind)
{
    const auto index = static_cast<std::size_t>(kind) - 1;
    return index < errorRows.size() ? errorRows[index] : errorRows.back();
}

std::string_view toText(ran_state ran)
{
    switch (ran) {
    case ran_state::no:
        return "no";
    case ran_state::yes:
        return "yes";
    case ran_state::maybe:
        break;
    }
    return "maybe";
}

const std::error_category& errorCategory()
{
    static const category instance;
    return instance;
}

std::error_code make_error_code(error_kind kind)
{
    return { static_cast<int>(kind), errorCategory() };
}

} // namespace jackdaw::protocol
