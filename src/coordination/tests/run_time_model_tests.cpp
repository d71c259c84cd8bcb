// Tests of the learned run times and speeds.
#include "coordination/internal/run_time_model.h"
#include "coordination/internal/speed_estimate.h"

#include <doctest/doctest.h>

using namespace jackdaw::coordination;
using namespace std::chrono_literals;

TEST_CASE("the estimate of a client that declares a tenth of its run times is corrected, that of other clients is not")
{
    run_time_model model;
    for (int i = 0; i < 50; ++i)
        model.addSample({}, "hasty", 50ms, 500ms);
    CHECK(model.estimate("hasty", 50ms).mean > 400ms);
    CHECK(model.estimate("hasty", 50ms).mean < 600ms);
    CHECK(model.estimate("hasty", 800ms).mean > 4s);
    CHECK(model.estimate("other", 50ms).mean < 100ms);
}

TEST_CASE("a speed estimate follows an upstream that becomes four times slower")
{
    speed_estimate speed;
    for (int i = 0; i < 50; ++i)
        speed.addSample(1.5, 0.05);
    CHECK(speed.factor() == doctest::Approx(1.5).epsilon(0.05));
    for (int i = 0; i < 50; ++i)
        speed.addSample(6, 0.05);
    CHECK(speed.factor() == doctest::Approx(6).epsilon(0.1));
}
