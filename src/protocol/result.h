// The return type of operations that can fail: a value, or an error code with a human-readable detail.
#pragma once

#include "protocol/error_kind.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <string>
#include <system_error>

namespace jackdaw::protocol {

struct error {
    std::error_code code;
    std::string detail; // location and reason, for example "rules.toml:4: unknown key 'wieght'"

    // The kind for codes of errorCategory(); error_kind::internal for codes of other categories.
    error_kind kind() const
    {
        return code.category() == errorCategory() ? static_cast<error_kind>(code.value()) : error_kind::internal;
    }
};

// Holds a T or an error. value() on an error terminates the process; callers check first.
template <typename T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

// Builds the error that a function with a result return type returns.
inline error makeError(error_kind kind, std::string detail)
{
    return { make_error_code(kind), std::move(detail) };
}

} // namespace jackdaw::protocol
