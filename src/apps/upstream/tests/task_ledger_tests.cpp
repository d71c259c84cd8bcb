// Tests of the record of task ids, and of the count of double starts.
#include "apps/upstream/start_register.h"
#include "apps/upstream/task_ledger.h"

#include <doctest/doctest.h>

using namespace jackdaw;
using namespace jackdaw::upstream;

namespace {

protocol::task_key key(std::uint32_t index, std::uint32_t attempt = 0)
{
    return { protocol::makeSubmissionId(protocol::unix_milliseconds(1), 2, 3), index, attempt };
}

} // namespace

TEST_CASE("an id starts once, and never after a tombstone")
{
    task_ledger ledger(10);
    CHECK(ledger.begin(key(0)));
    CHECK_FALSE(ledger.begin(key(0)));
    CHECK(ledger.settle(key(1)).state == task_state::unknown);
    CHECK_FALSE(ledger.begin(key(1)));
    CHECK(ledger.settle(key(0)).state == task_state::running);
    ledger.end(key(0), task_state::finished, "text");
    CHECK(ledger.settle(key(0)).result == "text");
    CHECK(ledger.find(key(2)) == nullptr);
}

TEST_CASE("the oldest ended records are dropped, running ones are kept")
{
    task_ledger ledger(2);
    ledger.begin(key(0));
    ledger.settle(key(1));
    ledger.settle(key(2));
    REQUIRE(ledger.find(key(0)));
    CHECK(ledger.find(key(0))->state == task_state::running);
    CHECK(ledger.find(key(1)) == nullptr);
    CHECK(ledger.find(key(2)) != nullptr);
}

TEST_CASE("a second start counts whatever its attempt or upstream")
{
    start_register starts;
    starts.recordStart(key(0).submission, 0);
    starts.recordStart(key(1).submission, 1);
    CHECK(starts.startedTwice() == 0);
    starts.recordStart(key(0, 1).submission, 0);
    CHECK(starts.startedTwice() == 1);
}
