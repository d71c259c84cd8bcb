// Tests of what the work in an owner's hands takes of its memory, whatever callers ask for and however slowly upstreams answer.
#include "coordination/cells/cell_dispatcher.h"
#include "coordination/cells/tests/cell_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace jackdaw::cells;
using jackdaw::cells::tests::cell_simulation;
using jackdaw::protocol::job_order;
using jackdaw::protocol::job_outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t token = 7;
constexpr std::size_t connectionsPerUpstream = 16; // of a host
constexpr std::size_t maxStarts = 2 * connectionsPerUpstream; // without an answer

// An owner of one upstream that answers polls at once, and other calls when the test says so.
struct owner_of_one {
    time_point now { seconds(100) };
    cell_dispatcher dispatcher;
    std::vector<start_request> starts; // without an answer
    std::vector<running_task> running; // no run ends
    std::vector<owner_answer> answers;
    std::size_t startCount = 0;

    explicit owner_of_one(cell_settings settings = {}, cell_hooks hooks = {})
        : dispatcher(withToken(std::move(settings)), std::move(hooks), now)
    {
        dispatcher.onUpstreamReport(now, { "u1", 1000, 1, "planning", "u1:80", "a", { 32000, 65536, 0 }, {}, false });
        wait(milliseconds(20));
    }

    static cell_settings withToken(cell_settings settings)
    {
        settings.token = token;
        return settings;
    }

    void carryOut()
    {
        const std::vector<cell_action> actions = dispatcher.takeActions();
        for (const cell_action& action : actions) {
            if (const auto* start = std::get_if<start_request>(&action)) {
                starts.push_back(*start);
                ++startCount;
            } else if (const auto* poll = std::get_if<poll_request>(&action)) {
                poll_answer answer;
                answer.call = { call_outcome::done, clockMs() };
                answer.bornUnixMs = 1000;
                answer.running = running;
                dispatcher.onPoll(now, *poll, answer);
            } else if (const auto* answer = std::get_if<owner_answer>(&action)) {
                answers.push_back(*answer);
            }
        }
    }

    std::int64_t clockMs() const { return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count(); }

    void wait(duration length)
    {
        for (const time_point until = now + length; now < until;) {
            now += milliseconds(20);
            dispatcher.onOriginHeard(now, "host");
            dispatcher.advance(now);
            carryOut();
        }
    }

    void answerStarts(std::size_t count)
    {
        for (; count > 0 && !starts.empty(); --count) {
            const start_request answered = starts.front();
            starts.erase(starts.begin());
            running.push_back({ answered.run });
            dispatcher.onStart(now, answered, { call_outcome::done, clockMs() });
        }
        carryOut();
    }

    void submit(job_order job)
    {
        job.fencingToken = token;
        dispatcher.submit(now, job, "host");
        carryOut();
    }

    // Many tasks that all fit on the upstream at the same time.
    static job_order makeWide(const std::string& id, std::uint32_t tasks)
    {
        job_order job = cell_simulation(1).makeJob(id, tasks, 10, 100);
        job.steps.front().need.memoryMb = 1;
        job.targetMs = 1500;
        job.spec = std::string(4000, 'x');
        return job;
    }

    std::size_t answersWith(job_outcome outcome) const
    {
        return static_cast<std::size_t>(std::count_if(answers.begin(), answers.end(), [outcome](const owner_answer& item) { return item.answer.outcome == outcome; }));
    }
};

} // namespace

// Guards against calls that each hold a copy of the spec while they wait for connections and answers.
TEST_CASE("all starts of a job of many small tasks wait as calls of the upstream that they fit on")
{
    owner_of_one owner;
    owner.submit(owner_of_one::makeWide("1", 500));
    owner.submit(owner_of_one::makeWide("2", 500));
    CHECK(owner.starts.size() >= connectionsPerUpstream);
    CHECK(owner.starts.size() <= maxStarts);
    owner.wait(milliseconds(100));
    CHECK(owner.starts.size() <= maxStarts);
    for (int round = 0; round < 200 && owner.startCount < 1000; ++round) {
        owner.answerStarts(connectionsPerUpstream);
        CHECK(owner.starts.size() <= maxStarts);
    }
    CHECK(owner.startCount == 1000); // without waiting for a timer
    CHECK(owner.answersWith(job_outcome::rejected) == 0);
}

TEST_CASE("each start of a job holds a copy of its spec")
{
    owner_of_one owner;
    owner.submit(owner_of_one::makeWide("1", 20));
    REQUIRE(owner.starts.size() == 20);
    std::set<const std::string*> copies;
    for (const start_request& start : owner.starts)
        copies.insert(start.spec.get());
    CHECK(copies.size() == 1);
    CHECK(owner.starts.front().spec->size() == 4000);
}

// Guards against tasks that need nothing: they fit on an upstream that has no capacity left to give.
TEST_CASE("tasks without needs are started beyond the bound of calls under way")
{
    owner_of_one owner;
    job_order job = owner_of_one::makeWide("1", 500);
    job.steps.front().need = {};
    owner.submit(job);
    owner.wait(milliseconds(100));
    CHECK(owner.starts.size() <= maxStarts);
    CHECK(owner.starts.size() >= connectionsPerUpstream);
}

// Guards against an account that forgets work when its job is answered: the runs are still there, and calls for them still wait.
TEST_CASE("jobs that end at their deadlines make room for others while their runs are still held")
{
    cell_settings settings;
    settings.maxTasks = 300;
    settings.maxTasksOfJob = 100;
    owner_of_one owner(settings);
    for (int i = 0; i < 200; ++i) {
        owner.submit(owner_of_one::makeWide(std::to_string(i), 100));
        owner.wait(milliseconds(100));
        owner.answerStarts(connectionsPerUpstream);
        CHECK(owner.running.size() + owner.starts.size() <= settings.maxTasks);
        CHECK(owner.dispatcher.workInHand().tasks <= settings.maxTasks);
    }
    CHECK(owner.answersWith(job_outcome::rejected) > 0);
    CHECK(owner.running.size() > settings.maxTasks / 2); // of jobs that have ended
}

// Guards against jobs of one task whose orders are large: the number of tasks says nothing of them.
TEST_CASE("waiting jobs with large orders take an owner over its memory")
{
    cell_settings settings;
    settings.maxOrderBytes = 4 * 1024 * 1024;
    owner_of_one owner(settings);
    job_order job = cell_simulation(1).makeJob("large", 1, 32000, 10);
    job.steps.assign(100, job.steps.front());
    for (std::uint32_t step = 1; step < job.steps.size(); ++step)
        job.steps[step].dependsOn.assign(600, step - 1);
    job.targetMs = 9'000'000;
    job.timeLeftMs = 10'000'000;
    for (int i = 0; i < 100; ++i) {
        job.id = "large " + std::to_string(i);
        owner.submit(job);
    }
    CHECK(owner.dispatcher.workInHand().orderBytes <= settings.maxOrderBytes);
    CHECK(owner.dispatcher.counts().jobs >= 10);
    CHECK(owner.dispatcher.counts().jobs + owner.answersWith(job_outcome::rejected) == 100);
    job.handOverCount = 1;
    job.id = "handed over";
    owner.submit(job);
    CHECK(owner.answers.back().answer.outcome == job_outcome::unfinished); // an earlier owner may have begun it
    for (int i = 0; i < 100; ++i)
        owner.dispatcher.cancel(owner.now, "large " + std::to_string(i), "host");
    CHECK(owner.dispatcher.workInHand().orderBytes == 0);
    CHECK(owner.dispatcher.workInHand().tasks <= 1); // a start without an answer
}

// Guards against a bound that each cell of a host may use up.
TEST_CASE("the work in an owner's other cells is not counted")
{
    cell_settings settings;
    settings.maxTasks = 100;
    settings.maxTasksOfJob = 100;
    cell_hooks hooks;
    work_in_hand elsewhere { 95, 0 };
    hooks.workInOtherCells = [&elsewhere] { return elsewhere; };
    owner_of_one owner(settings, hooks);
    owner.submit(owner_of_one::makeWide("1", 6));
    CHECK(owner.answersWith(job_outcome::rejected) == 1);
    owner.submit(owner_of_one::makeWide("2", 5));
    CHECK(owner.startCount == 5);
    elsewhere = { 0, settings.maxOrderBytes };
    owner.submit(owner_of_one::makeWide("3", 1));
    CHECK(owner.answersWith(job_outcome::rejected) == 2);
}
