// Tests of the decision that a call is unanswered, and of the bound on repairs.
#include "coordination/cells/internal/call_watch.h"
#include "coordination/cells/internal/repair_budget.h"

#include <doctest/doctest.h>

using namespace jackdaw::cells::internal;
using std::chrono::milliseconds;

namespace {

constexpr duration limit = milliseconds(500);
const time_point start { std::chrono::seconds(100) };

time_point at(int ms)
{
    return start + milliseconds(ms);
}

} // namespace

TEST_CASE("a silent upstream is noticed late although calls to others are answered")
{
    call_watch watch;
    watch.onSent(at(0));
    for (int ms = 1; ms < 60; ms += 5) {
        watch.onSent(at(ms));
        watch.onEnded(at(ms + 2), at(ms), true);
    }
    CHECK_FALSE(watch.isUnanswered(at(39), at(0), limit));
    CHECK(watch.isUnanswered(at(40), at(0), limit));
}

TEST_CASE("a call that waits behind the owner's own bytes counts as unanswered")
{
    call_watch watch;
    // A call each 5 ms; each waits 4 ms longer than the one before it.
    for (int number = 0; number < 100; ++number)
        watch.onSent(at(number * 5));
    for (int number = 0; number < 100; ++number) {
        const time_point answeredAt = at(number * 9 + 2);
        for (int later = number; later < 100 && at(later * 5) <= answeredAt; ++later)
            CHECK_FALSE(watch.isUnanswered(answeredAt, at(later * 5), limit));
        watch.onEnded(answeredAt, at(number * 5), true);
    }
}

TEST_CASE("the only call under way is never given up")
{
    call_watch watch;
    watch.onSent(at(0));
    CHECK(watch.isUnanswered(at(40), at(0), limit));
}

TEST_CASE("calls that nothing answers wait without an end")
{
    call_watch watch;
    for (int ms = 0; ms < 600; ms += 5)
        watch.onSent(at(ms));
    CHECK_FALSE(watch.isUnanswered(at(499), at(0), limit));
    CHECK(watch.isUnanswered(at(500), at(0), limit));
}

TEST_CASE("the wait for an answer is not known while the link's queue grows, or does not end when it has drained")
{
    call_watch watch;
    watch.onSent(at(0));
    watch.onEnded(at(2), at(0), true);
    CHECK(watch.expectedWait(at(3)) < milliseconds(3));
    for (int ms = 10; ms <= 100; ms += 5)
        watch.onSent(at(ms));
    CHECK(watch.expectedWait(at(110)) == milliseconds(100));
    for (int ms = 10; ms <= 100; ms += 5)
        watch.onEnded(at(110), at(ms), true);
    CHECK(watch.expectedWait(at(114)) == milliseconds(6));
    CHECK(watch.expectedWait(at(250)) <= milliseconds(0));
}

TEST_CASE("one upstream that does not answer, or answers late, passes for a full link")
{
    call_watch watch;
    watch.onSent(at(0));
    watch.onEnded(at(2), at(0), true);
    watch.onSent(at(10));
    CHECK(watch.expectedWait(at(70)) <= milliseconds(0));
    watch.onSent(at(100));
    watch.onEnded(at(102), at(100), true);
    watch.onEnded(at(800), at(10), true);
    CHECK(watch.expectedWait(at(801)) <= milliseconds(0));
    CHECK(watch.answerTime() == milliseconds(40));
}

TEST_CASE("repairs are the larger part of the calls")
{
    repair_budget budget;
    int taken = 0;
    for (int ms = 0; ms < 10'000; ++ms) {
        if (ms % 10 == 0)
            budget.onStart();
        taken += budget.take(at(ms)) ? 1 : 0;
    }
    CHECK(taken >= 10 * 20 + 1000 / 5);
    CHECK(taken <= 10 * 20 + 1000 / 5 + 64);
}
