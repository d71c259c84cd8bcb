// Tests of cancellations that reach a host which doesn't know the job.
#include "coordination/cells/cancel_search.h"
#include "coordination/cells/tests/cell_simulation.h"

#include <doctest/doctest.h>

#include <optional>

using namespace jackdaw::cells;
using jackdaw::cells::tests::cell_simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::vector<std::string> hosts { "h1", "h2" };

struct search_fixture {
    cancel_search searches;
    std::optional<cancel_outcome> outcome;
    time_point now { seconds(100) };

    void begin()
    {
        searches.begin(now, "1", hosts, now + seconds(2), [this](cancel_outcome result) { outcome = result; });
    }
};

} // namespace

TEST_CASE("a cancellation is answered as done once a host of the zone has cancelled the job")
{
    search_fixture f;
    f.begin();
    const auto asked = f.searches.takeQuestions();
    REQUIRE(asked.size() == 2);
    CHECK(cancel_search::isSearch(asked[0].number));
    f.searches.onAnswer("h1", asked[0].number, false);
    CHECK_FALSE(f.outcome);
    f.searches.onAnswer("h2", asked[1].number, true);
    CHECK(f.outcome == cancel_outcome::cancelled);
    CHECK(f.searches.size() == 0);
}

// The host looks each 20 ms, and as much again is for the way to the caller.
TEST_CASE("a cancellation that a host does not answer is refused when its caller's time is over")
{
    search_fixture f;
    f.begin();
    f.now += milliseconds(1955);
    f.searches.advance(f.now, hosts);
    CHECK_FALSE(f.outcome);
    f.now += milliseconds(20);
    f.searches.advance(f.now, hosts);
    CHECK(f.outcome == cancel_outcome::unanswered);
}

TEST_CASE("a job counts as unknown only when every live host of the zone has said so")
{
    search_fixture f;
    f.begin();
    const auto asked = f.searches.takeQuestions();
    f.searches.onAnswer("h1", asked[0].number, false);
    f.now += milliseconds(300);
    f.searches.advance(f.now, hosts);
    const auto again = f.searches.takeQuestions();
    REQUIRE(again.size() == 1); // the question or its answer may be lost
    CHECK(again[0].host == "h2");
    SUBCASE("it answers") { f.searches.onAnswer("h2", again[0].number, false); }
    SUBCASE("it is lost") { f.searches.advance(f.now, std::vector<std::string> { "h1" }); }
    CHECK(f.outcome == cancel_outcome::unknown_job);
}

TEST_CASE("a cancellation without all answers by the caller's deadline is not answered as an unknown job")
{
    search_fixture f;
    f.begin();
    f.now += seconds(2);
    f.searches.advance(f.now, hosts);
    CHECK(f.outcome == cancel_outcome::unanswered);
}

TEST_CASE("an owner that is told of a caller's cancellation by another host starts no more of the job's tasks")
{
    cell_simulation sim(1);
    sim.addUpstream("u1", 32000);
    sim.addOwner();
    sim.runFor(milliseconds(100));
    auto job = sim.makeJob("1", 1, 14000, 300);
    job.steps.push_back({ 1, { 14000, 64, 0 }, 300, { 0 }, "", "", 0 });
    sim.submit(0, job);
    sim.runFor(milliseconds(100));
    CHECK_FALSE(sim.owner(0).cancelForCaller(sim.now(), "2"));
    CHECK(sim.owner(0).cancelForCaller(sim.now(), "1"));
    sim.runFor(seconds(2));
    CHECK(sim.runsOf("1.0.0.0") == 1);
    CHECK(sim.runsOf("1.0.1.0") == 0);
}

// Guards against a cancellation whose caller's connection ends with the process, without an answer.
TEST_CASE("a host that ends leaves a cancellation unanswered")
{
    search_fixture f;
    f.begin();
    std::optional<cancel_outcome> second;
    f.searches.begin(f.now, "2", hosts, f.now + seconds(2), [&second](cancel_outcome result) { second = result; });
    f.searches.abandon();
    CHECK(f.outcome == cancel_outcome::unanswered);
    CHECK(second == cancel_outcome::unanswered);
    CHECK(f.searches.size() == 0);
}
