// Tests of starts that got no answer and that the next life of their upstream carries out.
#include "coordination/cells/tests/cell_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace jackdaw::cells;
using namespace jackdaw::cells::tests;
using jackdaw::protocol::job_order;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::int64_t clockMs = 5000;

// An owner whose calls the test answers.
struct answered_owner {
    time_point now { seconds(100) };
    cell_dispatcher dispatcher { cell_settings(), {}, now };
    std::map<std::string, poll_request> polls; // pending, by upstream
    std::vector<start_request> starts;
    std::vector<stop_request> stops;

    void takeCalls()
    {
        for (const cell_action& action : dispatcher.takeActions()) {
            if (const auto* poll = std::get_if<poll_request>(&action))
                polls[poll->target.id] = *poll;
            else if (const auto* start = std::get_if<start_request>(&action))
                starts.push_back(*start);
            else if (const auto* stop = std::get_if<stop_request>(&action))
                stops.push_back(*stop);
        }
    }

    void report(const std::string& id, std::uint64_t sequence, bool isLeaving)
    {
        dispatcher.onUpstreamReport(now, { id, 1000, sequence, "planning", id, "a", { 32000, 65536, 0 }, {}, isLeaving });
        takeCalls();
    }

    void wait()
    {
        now += milliseconds(20);
        dispatcher.onOriginHeard(now, "host");
        dispatcher.advance(now);
        takeCalls();
    }

    // Answers the pending poll; without one, waits until it is due.
    void answerPoll(const std::string& id, const std::vector<running_task>& running, std::int64_t bornUnixMs = 1000)
    {
        for (const time_point end = now + seconds(2); !polls.contains(id) && now < end;)
            wait();
        REQUIRE(polls.contains(id));
        const poll_request poll = polls.at(id);
        polls.erase(id);
        dispatcher.onPoll(now, poll, { { call_outcome::done, clockMs }, bornUnixMs, running, {} });
        takeCalls();
    }

    bool hasStopped(const std::string& id, const run_id& run) const
    {
        return std::any_of(stops.begin(), stops.end(), [&](const stop_request& stop) { return stop.target.id == id && stop.run == run; });
    }
};

} // namespace

TEST_CASE("a start that the next life of its upstream carried out late is kept beside another run of its task")
{
    answered_owner owner;
    owner.report("u1", 1, false);
    owner.answerPoll("u1", {});
    job_order job = cell_simulation(1).makeJob("1", 1, 14000, 9000);
    job.timeLeftMs = 60000;
    owner.dispatcher.submit(owner.now, job, "host");
    owner.takeCalls();
    REQUIRE(owner.starts.size() == 1);
    const start_request first = owner.starts.front();
    owner.report("u1", 2, true); // no further starts there
    owner.dispatcher.onStart(owner.now, first, {});
    owner.takeCalls();
    REQUIRE(owner.hasStopped("u1", first.run));
    owner.dispatcher.onStop(owner.now, owner.stops.back(), { call_outcome::done, clockMs });
    owner.wait();
    owner.answerPoll("u1", {});
    owner.answerPoll("u1", {});
    owner.report("u2", 1, false);
    const run_id other { first.run.task, 33 }; // of an earlier owner
    owner.answerPoll("u2", { { other } });
    owner.stops.clear();

    owner.answerPoll("u1", { { first.run } }, 2000);
    owner.answerPoll("u1", { { first.run } }, 2000);
    for (int i = 0; i < 50; ++i)
        owner.wait();
    CHECK(owner.hasStopped("u1", first.run));
    CHECK_FALSE(owner.hasStopped("u2", other));
}
