// Tests of the text form of faults.
#include "apps/upstream/fault.h"

#include <doctest/doctest.h>

using namespace jackdaw::upstream;
using std::chrono::milliseconds;

TEST_CASE("a fault with factor and times is read")
{
    const auto step = parseFaultStep("u3=slow*4@5000..15000");
    REQUIRE(step);
    CHECK(step.value().instance == "u3");
    CHECK(step.value().what.mode == fault_mode::slow);
    CHECK(step.value().what.factor == 4);
    CHECK(step.value().begin == milliseconds(5000));
    CHECK(step.value().end == milliseconds(15000));
}

TEST_CASE("factor, end and times may be left out")
{
    CHECK(parseFaultStep("u1=fail_all").value().begin == milliseconds(0));
    const auto lasting = parseFaultStep("u1=silent@200");
    REQUIRE(lasting);
    CHECK(lasting.value().begin == milliseconds(200));
    CHECK_FALSE(lasting.value().end);
}

TEST_CASE("malformed faults are refused")
{
    for (const char* text : { "", "u1", "=slow", "u1=quick", "u1=slow*0.5", "u1=slow*x", "u1=slow@", "u1=slow@5..5", "u1=slow@5..", "u1=slow@-1" })
        CHECK_MESSAGE(!parseFaultStep(text), text);
}
