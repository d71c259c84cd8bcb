// The closed list of error kinds, and the one table from a kind to the answer a caller gets.
#pragma once

#include <span>
#include <string_view>
#include <system_error>

namespace jackdaw::protocol {

// Whether any task of a submission was started.
enum class ran_state {
    no, // proved: nothing was started and nothing will be
    maybe, // not known
    yes // at least one task was started
};

enum class error_kind {
    malformed_request = 1,
    body_too_large,
    unauthorized,
    unknown_resource,
    submission_mismatch, // another body was sent under the same submission id
    never_fits, // no announced upstream could ever run one of the tasks
    quota_exceeded,
    rate_exceeded,
    queue_full,
    deadline_unreachable,
    draining,
    no_upstream,
    zone_unreachable, // the home zone can't be reached, an earlier copy may have run there
    zone_unreachable_first_attempt, // as above, but the caller vouches for a first attempt and nothing was sent on
    claim_unavailable, // the claim group has no majority
    claim_too_old, // the claim group's memory does not reach back to the submission's time stamp
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

// What a caller is told for one error kind.
struct error_answer {
    error_kind kind;
    std::string_view name; // stable, machine-readable
    int httpStatus;
    ran_state ran;
    std::string_view text;
};

// The whole table, one row a kind, ordered by kind.
std::span<const error_answer> errorTable();

// The row of one kind. A value outside the list yields the row of error_kind::internal.
const error_answer& errorAnswer(error_kind kind);

std::string_view toText(ran_state ran);

const std::error_category& errorCategory();
std::error_code make_error_code(error_kind kind);

} // namespace jackdaw::protocol

template <>
struct std::is_error_code_enum<jackdaw::protocol::error_kind> : std::true_type {
};
