// Tests the dispatcher by seeded random events against fake upstreams, which record what they started and ended and
// which tombstones they stored.
#include "coordination/tests/dispatch_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <tuple>

using namespace jackdaw::coordination;
using namespace jackdaw::coordination::tests;
using namespace jackdaw;

namespace {

constexpr std::size_t upstreamCount = 5;
constexpr std::uint32_t slotsPerUpstream = 2;

using task_name = std::pair<protocol::submission_id, std::uint32_t>;

std::string bodyOf(const protocol::task_key& key)
{
    return protocol::toText(key.submission) + "/" + std::to_string(key.index);
}

class random_run {
public:
    random_run(std::uint64_t seed, rules activeRules)
        : m_fixture(std::move(activeRules), settingsOf(seed))
        , m_random(seed)
    {
        for (std::size_t i = 0; i < upstreamCount; ++i)
            m_upstreams.push_back({ 1, {}, {}, false });
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
            step();
        m_submitting = false;
        for (int i = 0; i < 400; ++i) {
            step();
            pass(500ms);
        }
        checkAnswers();
        CHECK(m_fixture.core.status().jobs == 0);
        CHECK(m_fixture.core.status().runningTasks == 0);
        CHECK(m_fixture.core.status().queuedTasks == 0);
    }

private:
    // One upstream process. A restart loses its state.
    struct fake_upstream {
        std::uint64_t incarnation = 1;
        std::map<std::string, bool> tasks; // by task key; true if the task has ended
        std::set<std::string> tombstones;
        bool leaving = false;
    };

    static dispatcher_settings settingsOf(std::uint64_t seed)
    {
        dispatcher_settings settings;
        settings.seed = seed;
        return settings;
    }

    std::uint64_t draw(std::uint64_t below) { return m_random() % below; }

    void step()
    {
        switch (draw(12)) {
        case 0:
        case 1:
            submit();
            break;
        case 2:
            announce(draw(upstreamCount));
            break;
        case 3:
            pass(std::chrono::milliseconds(draw(200)));
            break;
        case 4:
            if (draw(4) == 0 && !m_accepted.empty())
                m_fixture.core.cancel(m_fixture.now, m_accepted[draw(m_accepted.size())]);
            break;
        case 5:
            if (draw(20) == 0)
                restart(draw(upstreamCount));
            break;
        case 6:
            if (!m_sentReports.empty()) // delivers a report again
                m_fixture.core.report(m_fixture.now, m_sentReports[draw(m_sentReports.size())]);
            break;
        default:
            deliverStart();
            finishOne();
            deliverSettle();
        }
        checkNewStarts();
    }

    void submit()
    {
        if (!m_submitting)
            return;
        auto job = m_fixture.makeJob(m_nextJob++, 1 + draw(6));
        job.deadline = std::chrono::milliseconds(500 + draw(8000));
        job.idempotent = draw(2) == 0;
        job.team = draw(2) == 0 ? "a" : "b";
        for (auto& task : job.tasks)
            task.need.accelerators = draw(20) == 0 ? 1 : 0;
        if (!m_fixture.core.submit(m_fixture.now, job))
            m_accepted.push_back(job.submission);
    }

    void announce(std::size_t index)
    {
        auto announcement = m_fixture.makeAnnouncement(std::to_string(index), slotsPerUpstream);
        announcement.incarnation = m_upstreams[index].incarnation;
        announcement.capacity.accelerators = index == 0 ? 1 : 0;
        if (draw(40) == 0)
            m_upstreams[index].leaving = true;
        if (m_upstreams[index].leaving)
            announcement.state = protocol::upstream_state::leaving;
        m_announcedAt[index] = m_fixture.now;
        m_fixture.core.applyAnnouncement(m_fixture.now, announcement);
    }

    void restart(std::size_t index)
    {
        m_upstreams[index] = { m_upstreams[index].incarnation + 1, {}, {}, false };
    }

    void pass(duration time)
    {
        m_fixture.advanceBy(time);
        checkNewStarts();
    }

    // Checks that no task is started on an upstream that is expired or announced as leaving.
    void checkNewStarts()
    {
        for (; m_checkedStarts < m_fixture.starts.size(); ++m_checkedStarts) {
            const start_task& start = m_fixture.starts[m_checkedStarts];
            const std::size_t index = std::stoul(start.upstream.name);
            CHECK(m_fixture.now - m_announcedAt[index] <= 3s);
            CHECK_FALSE((m_upstreams[index].incarnation == start.upstream.incarnation && m_upstreams[index].leaving));
            m_inFlight.push_back(start);
        }
        for (; m_seenSettles < m_fixture.settles.size(); ++m_seenSettles)
            m_settles.push_back(m_fixture.settles[m_seenSettles]);
    }

    void report(const protocol::task_key& task, const upstream_id& upstream, task_outcome outcome)
    {
        m_sentReports.push_back({ task, upstream, outcome, outcome == task_outcome::finished ? bodyOf(task) : "", {} });
        m_fixture.core.report(m_fixture.now, m_sentReports.back());
    }

    template <typename Action>
    Action takeAny(std::vector<Action>& from)
    {
        std::swap(from[draw(from.size())], from.back());
        Action taken = from.back();
        from.pop_back();
        return taken;
    }

    void deliverStart()
    {
        if (m_inFlight.empty())
            return;
        const start_task start = takeAny(m_inFlight);
        fake_upstream& upstream = m_upstreams[std::stoul(start.upstream.name)];
        const std::string key = protocol::toText(start.task);
        const bool lost = draw(10) == 0;
        if (lost && draw(2) == 0)
            return report(start.task, start.upstream, task_outcome::no_answer);
        const bool gone = upstream.incarnation != start.upstream.incarnation;
        if (gone || upstream.tombstones.contains(key) || draw(15) == 0)
            return report(start.task, start.upstream, task_outcome::not_started);
        upstream.tasks[key] = false;
        CHECK(m_startsOf[{ start.task.submission, start.task.index }]++ == 0);
        m_running.push_back(start);
        if (lost)
            report(start.task, start.upstream, task_outcome::no_answer);
    }

    void finishOne()
    {
        if (m_running.empty() || draw(2) == 0)
            return;
        const start_task start = takeAny(m_running);
        fake_upstream& upstream = m_upstreams[std::stoul(start.upstream.name)];
        if (upstream.incarnation != start.upstream.incarnation)
            return report(start.task, start.upstream, task_outcome::no_answer);
        upstream.tasks[protocol::toText(start.task)] = true;
        report(start.task, start.upstream, draw(40) == 0 ? task_outcome::failed : task_outcome::finished);
    }

    void deliverSettle()
    {
        if (m_settles.empty())
            return;
        const settle_task settle = takeAny(m_settles);
        fake_upstream& upstream = m_upstreams[std::stoul(settle.upstream.name)];
        const std::string key = protocol::toText(settle.task);
        if (upstream.incarnation != settle.upstream.incarnation || draw(5) == 0)
            return report(settle.task, settle.upstream, task_outcome::no_answer);
        const auto known = upstream.tasks.find(key);
        if (known == upstream.tasks.end()) {
            upstream.tombstones.insert(key);
            return report(settle.task, settle.upstream, task_outcome::not_started);
        }
        report(settle.task, settle.upstream, known->second ? task_outcome::finished : task_outcome::running);
    }

    void checkAnswers()
    {
        std::map<protocol::submission_id, int> answers;
        for (const answer_job& answer : m_fixture.answers) {
            ++answers[answer.submission];
            if (const auto* results = std::get_if<protocol::job_results>(&answer.answer))
                checkResults(answer.submission, *results);
            else
                checkFailure(answer.submission, std::get<protocol::job_failure>(answer.answer));
        }
        CHECK(answers.size() == m_accepted.size());
        for (const auto& submission : m_accepted)
            CHECK(answers[submission] == 1);
    }

    void checkResults(const protocol::submission_id& submission, const protocol::job_results& results)
    {
        for (std::uint32_t i = 0; i < results.bodies.size(); ++i)
            CHECK(results.bodies[i] == bodyOf({ submission, i, 0 }));
    }

    void checkFailure(const protocol::submission_id& submission, const protocol::job_failure& failure)
    {
        const auto first = m_startsOf.lower_bound({ submission, 0 });
        const bool started = first != m_startsOf.end() && first->first.first == submission;
        const protocol::ran_state ran = protocol::errorAnswer(failure.kind).ran;
        if (ran == protocol::ran_state::no)
            CHECK_FALSE(started);
    }

    dispatch_fixture m_fixture;
    std::mt19937_64 m_random;
    std::vector<fake_upstream> m_upstreams;
    std::map<std::size_t, time_point> m_announcedAt;
    std::vector<protocol::submission_id> m_accepted;
    std::vector<start_task> m_inFlight;
    std::vector<start_task> m_running;
    std::vector<settle_task> m_settles;
    std::vector<task_report> m_sentReports;
    std::map<task_name, int> m_startsOf;
    std::size_t m_checkedStarts = 0;
    std::size_t m_seenSettles = 0;
    std::uint64_t m_nextJob = 1;
    bool m_submitting = true;
};

} // namespace

TEST_CASE("random events: each task starts once, each job is answered once, and a job reported as not run was not started")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        rules activeRules;
        activeRules.order = static_cast<task_order>(seed % 3);
        random_run(seed, activeRules).run(3000);
    }
}
