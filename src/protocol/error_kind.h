// All error kinds, and the table that maps each kind to the answer sent to the caller.
#pragma once

#include <span>
#include <string_view>
#include <system_error>

namespace jackdaw::protocol {

// Whether any task of a submission was started.
enum class ran_state {
    no, // certain: no task was started and none will be
    maybe, // unknown
    yes // at least one task was started
};

enum class error_kind {
    malformed_request = 1,
    body_too_large,
    unauthorized,
    unknown_resource,
    submission_mismatch, // another body was sent under the same submission id
    never_fits, // at least one task can never run on any announced upstream
    quota_exceeded,
    rate_exceeded,
    queue_full,
    deadline_unreachable,
    draining,
    no_upstream,
    zone_unreachable, // the home zone can't be reached; an earlier submission of the job may have run there
    zone_unreachable_first_attempt, // as above, but the caller declares a first attempt and nothing was forwarded
    claim_unavailable, // the claim group has no majority
    claim_too_old, // the records of the claim group do not reach back to the time stamp of the submission
    coordinator_lost,
    task_failed,
    deadline_passed_before_start,
    deadline_passed_after_start,
    cancelled_before_start,
    cancelled_after_start,
    version_conflict,
    not_leader,
    storage_failed,
    corrupt_data,
    timed_out,
    internal
};

// The answer to a caller for one error kind.
struct error_answer {
    error_kind kind;
    std::string_view name; // machine-readable; never changes between releases
    int httpStatus;
    ran_state ran;
    std::string_view text;
};

// All answers, one for each kind, ordered by kind.
std::span<const error_answer> errorTable();

// The answer for a kind. A value outside the enumeration yields the answer of error_kind::internal.
const error_answer& errorAnswer(error_kind kind);

std::string_view toText(ran_state ran);

const std::error_category& errorCategory();
std::error_code make_error_code(error_kind kind);

} // namespace jackdaw::protocol

template <>
struct std::is_error_code_enum<jackdaw::protocol::error_kind> : std::true_type {
};
