// Tests of the fencing tokens of calls, which shut out earlier calls that may still be carried out.
#include "coordination/cells/cell_dispatcher.h"
#include "coordination/cells/cell_ownership.h"
#include "coordination/cells/fencing_token.h"
#include "coordination/cells/tests/cell_simulation.h"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace jackdaw::cells;
using jackdaw::cells::tests::cell_simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace protocol = jackdaw::protocol;

namespace {

constexpr std::uint64_t claimToken = 5 << tokenHashBits;

// An owner of one upstream, whose calls the test answers.
struct owner_of_one {
    time_point now { seconds(100) };
    cell_dispatcher dispatcher;
    std::vector<start_request> starts;
    std::vector<stop_request> stops;
    std::vector<poll_request> polls;

    owner_of_one()
        : dispatcher(settings(), {}, now)
    {
        report(1);
        answer(call_outcome::done);
    }

    static cell_settings settings()
    {
        cell_settings out;
        out.token = claimToken;
        return out;
    }

    void report(std::uint64_t sequence)
    {
        dispatcher.onUpstreamReport(now, { "u1", 1000, sequence, "planning", "u1:80", "a", { 32000, 65536, 0 }, {}, false });
        takeCalls();
    }

    void takeCalls()
    {
        for (const cell_action& action : dispatcher.takeActions()) {
            if (const auto* start = std::get_if<start_request>(&action))
                starts.push_back(*start);
            else if (const auto* stop = std::get_if<stop_request>(&action))
                stops.push_back(*stop);
            else if (const auto* poll = std::get_if<poll_request>(&action))
                polls.push_back(*poll);
        }
    }

    // Answers the latest poll; without one, waits until it is due.
    void answer(call_outcome outcome)
    {
        REQUIRE_FALSE(polls.empty());
        const poll_request poll = polls.back();
        polls.pop_back();
        poll_answer answer;
        answer.call = { outcome, outcome == call_outcome::silent ? 0 : 5000 };
        answer.bornUnixMs = 1000;
        now += milliseconds(10);
        dispatcher.onPoll(now, poll, answer);
        takeCalls();
        while (polls.empty() && !dispatcher.isFenced())
            wait(milliseconds(20));
    }

    void wait(duration length)
    {
        now += length;
        dispatcher.onOriginHeard(now, "host");
        dispatcher.advance(now);
        takeCalls();
    }

    void submit(const std::string& id)
    {
        protocol::job_order job = cell_simulation(1).makeJob(id, 1, 14000, 9000);
        job.fencingToken = claimToken;
        job.timeLeftMs = 60000;
        dispatcher.submit(now, job, "host");
        takeCalls();
    }
};

} // namespace

TEST_CASE("a call that follows an unanswered one does not shut it out")
{
    owner_of_one owner;
    CHECK(owner.polls.back().token == claimToken);
    owner.answer(call_outcome::silent);
    CHECK(owner.polls.back().token == raisedToken(claimToken, 1));
    owner.answer(call_outcome::silent); // nothing has been answered since: one raise is enough
    CHECK(owner.polls.back().token == raisedToken(claimToken, 1));
    owner.answer(call_outcome::done); // the one before may still come, with the same token
    CHECK(owner.polls.back().token == raisedToken(claimToken, 2));
    owner.answer(call_outcome::done);
    CHECK(owner.polls.back().token == raisedToken(claimToken, 2));
}

TEST_CASE("a call that could not be delivered raises the token")
{
    owner_of_one owner;
    owner.answer(call_outcome::not_received);
    CHECK(owner.polls.back().token == claimToken);
}

TEST_CASE("an owner takes the refusal of a call that its own later call overtook for the end of its ownership")
{
    owner_of_one owner;
    owner.submit("1");
    REQUIRE(owner.starts.size() == 1);
    const start_request first = owner.starts.back();
    owner.answer(call_outcome::silent);
    owner.answer(call_outcome::done);
    REQUIRE(owner.polls.back().token > first.token);
    owner.dispatcher.onStart(owner.now, first, { call_outcome::fenced, 5000 });
    owner.takeCalls();
    CHECK_FALSE(owner.dispatcher.isFenced());
    REQUIRE(owner.starts.size() == 2); // it was not carried out
    CHECK(owner.starts.back().token > first.token);

    poll_request overtaken = owner.polls.back();
    overtaken.token = first.token;
    owner.dispatcher.onPoll(owner.now, overtaken, { { call_outcome::fenced, 5000 }, 1000, {}, {} });
    owner.takeCalls();
    CHECK_FALSE(owner.dispatcher.isFenced());
    CHECK(owner.polls.back().token > first.token);

    owner.dispatcher.cancel(owner.now, "1", "host");
    owner.takeCalls();
    REQUIRE_FALSE(owner.stops.empty());
    stop_request stop = owner.stops.back();
    stop.token = first.token;
    const std::size_t stops = owner.stops.size();
    owner.dispatcher.onStop(owner.now, stop, { call_outcome::fenced, 5000 });
    owner.wait(milliseconds(20));
    CHECK_FALSE(owner.dispatcher.isFenced());
    CHECK(owner.stops.size() > stops);

    owner.answer(call_outcome::fenced); // with the present token: another owner's is higher
    CHECK(owner.dispatcher.isFenced());
}

TEST_CASE("an upstream that was removed and is back in the same life refuses its owner's calls")
{
    owner_of_one owner;
    for (int i = 0; i < 4; ++i) {
        owner.answer(call_outcome::silent);
        owner.answer(call_outcome::done);
    }
    const std::uint64_t highest = owner.polls.back().token;
    CHECK(highest > claimToken);
    const poll_request last = owner.polls.back();
    owner.now += seconds(14);
    owner.dispatcher.onPoll(owner.now, last, {});
    CHECK(owner.dispatcher.upstreamNames().empty());
    owner.polls.clear();
    owner.report(20);
    REQUIRE_FALSE(owner.polls.empty());
    CHECK(owner.polls.back().token >= highest);
}

TEST_CASE("an owner that has used up the tokens of its claim uses those of the next claim")
{
    owner_of_one owner;
    for (std::uint32_t i = 0; i < 2 * stampsPerClaim; ++i) {
        owner.answer(call_outcome::silent);
        owner.answer(call_outcome::done);
    }
    CHECK(owner.polls.back().token == raisedToken(claimToken, stampsPerClaim - 1));
    CHECK_FALSE(owner.dispatcher.isFenced());
}

TEST_CASE("tokens of an owner rise faster than the clock")
{
    owner_of_one owner;
    const std::uint64_t before = owner.polls.back().token;
    const time_point start = owner.now;
    for (int i = 0; i < 30; ++i) {
        owner.answer(call_outcome::silent);
        owner.answer(call_outcome::done);
        const auto passed = std::chrono::duration_cast<milliseconds>(owner.now - start).count();
        const auto raises = static_cast<std::int64_t>((owner.polls.back().token - before) >> tokenHashBits);
        CHECK(raises <= passed);
    }
}

TEST_CASE("an owner whose longest lease could not end before callers are back starts nothing")
{
    cell_settings settings;
    settings.maxLease = seconds(60);
    const time_point now { seconds(100) };
    cell_dispatcher dispatcher(settings, {}, now);
    dispatcher.onUpstreamReport(now, { "u1", 1000, 1, "planning", "u1:80", "a", { 32000, 65536, 0 }, {}, false });
    std::optional<start_request> start;
    const auto answerCalls = [&] {
        for (const cell_action& action : dispatcher.takeActions()) {
            if (const auto* poll = std::get_if<poll_request>(&action))
                dispatcher.onPoll(now, *poll, { { call_outcome::done, 5000 }, 1000, {}, {} });
            else if (const auto* order = std::get_if<start_request>(&action))
                start = *order;
        }
    };
    answerCalls();
    dispatcher.submit(now, cell_simulation(1).makeJob("1", 1, 14000, 900), "host");
    answerCalls();
    REQUIRE(start);
    CHECK(start->expiresAtMs <= 5000 + 1000);
}

TEST_CASE("a new claim's token is lower than one that the last owner has raised")
{
    const std::int64_t unixMs = 1'800'000'000'000;
    const auto makeHost = [](const char* name, std::uint32_t processor) {
        ownership_settings settings;
        settings.host = name;
        settings.zone = "a";
        settings.processorMillicores = processor;
        settings.incarnation = 1;
        return cell_ownership(settings);
    };
    const time_point start { seconds(100) };
    cell_ownership first = makeHost("a1", 600);
    cell_ownership second = makeHost("a2", 250);
    for (cell_ownership* host : { &first, &second }) {
        host->onDirectoryKnown(start);
        host->onZoneReport(start, "a");
    }
    const auto claim = [](cell_ownership& host, time_point now) {
        std::uint64_t token = 0;
        for (const ownership_change& change : host.advance(now, unixMs)) // its clock stands still
            token = std::max(token, change.token);
        return token;
    };
    const std::uint64_t earlier = claim(first, start + seconds(1));
    REQUIRE(earlier > 0);
    second.onGossip(start + seconds(1), first.gossip());
    CHECK(claim(second, start + seconds(1)) == 0);
    first.leave();
    claim(first, start + seconds(2));
    second.onGossip(start + seconds(2), first.gossip());
    CHECK(claim(second, start + seconds(2)) > raisedToken(earlier, stampsPerClaim - 1));
}
