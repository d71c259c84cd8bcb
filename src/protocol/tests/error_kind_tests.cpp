// Tests of the table that maps error kinds to answers.
#include "protocol/error_kind.h"

#include <doctest/doctest.h>

#include <set>

using namespace jackdaw::protocol;

TEST_CASE("every error kind has one row with a unique name and an error status")
{
    std::set<std::string_view> names;
    for (const error_answer& row : errorTable()) {
        CHECK(names.insert(row.name).second);
        CHECK(row.httpStatus >= 400);
        CHECK(row.httpStatus < 600);
        CHECK_FALSE(row.text.empty());
        CHECK(&errorAnswer(row.kind) == &row);
    }
}

TEST_CASE("a value outside the enumeration is answered as an internal error")
{
    CHECK(errorAnswer(static_cast<error_kind>(0)).kind == error_kind::internal);
    CHECK(errorAnswer(static_cast<error_kind>(9999)).kind == error_kind::internal);
}

TEST_CASE("error kinds convert to error codes of the project's category")
{
    const std::error_code code = error_kind::queue_full;
    CHECK(code.category() == errorCategory());
    CHECK(code.message() == "the queue is full");
}
