// Drives one dispatcher with all slots in use and a queue of constant length.
#include "decision_cost.h"

#include "coordination/dispatcher.h"

#include <chrono>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace jackdaw::bench {
namespace {

    using namespace std::chrono_literals;
    using namespace coordination;

    constexpr std::uint32_t slots = 8;
    constexpr std::size_t decisions = 100'000;
    constexpr std::size_t tasksPerJob = 10;
    constexpr std::size_t teams = 25;

    using stopwatch = std::chrono::steady_clock;

    double nanosecondsSince(stopwatch::time_point start)
    {
        return std::chrono::duration<double, std::nano>(stopwatch::now() - start).count();
    }

    struct running_task {
        time_point end {};
        start_task started;

        friend bool operator>(const running_task& a, const running_task& b) { return a.end > b.end; }
    };

    class cost_run {
    public:
        explicit cost_run(std::size_t upstreams)
            : m_dispatcher({}, [this](dispatch_action action) { onAction(std::move(action)); })
        {
            auto activeRules = std::make_shared<rules>();
            activeRules->maxQueuedTasks = 1'000'000;
            m_dispatcher.setRules(activeRules);
            for (std::size_t i = 0; i < upstreams; ++i)
                m_dispatcher.applyAnnouncement(m_now, { "upstream" + std::to_string(i), 1, "127.0.0.1", 8080, "a", slots, 60, { 4000, 8192, 0 }, protocol::upstream_state::serving, 24h });
        }

        double submitOne()
        {
            protocol::job_request job;
            const std::uint64_t high = m_random();
            job.submission = protocol::makeSubmissionId(protocol::unix_milliseconds { 1 }, high, m_random());
            job.team = "team" + std::to_string(m_random() % teams);
            job.client = job.team;
            job.deadline = 10h;
            for (std::size_t i = 0; i < tasksPerJob; ++i)
                job.tasks.push_back({ "payload", { 500, 256, 0 }, std::chrono::milliseconds(50 + m_random() % 950) });
            m_submitted.push_back(job.submission);
            const auto start = stopwatch::now();
            m_dispatcher.submit(m_now, std::move(job));
            return nanosecondsSince(start) / tasksPerJob;
        }

        double reportOne()
        {
            const running_task next = m_running.top();
            m_running.pop();
            m_now = next.end;
            const start_task& started = next.started;
            task_report report { started.task, started.upstream, task_outcome::finished, "result", {} };
            const auto start = stopwatch::now();
            m_dispatcher.report(m_now, std::move(report));
            return nanosecondsSince(start);
        }

        // Cancels all jobs, including running ones. Returns the mean time for each task that was queued or running.
        double cancelAll()
        {
            const auto tasks = static_cast<double>(queued() + m_running.size());
            const auto start = stopwatch::now();
            for (const protocol::submission_id& submission : m_submitted)
                m_dispatcher.cancel(m_now, submission);
            return nanosecondsSince(start) / tasks;
        }

        std::size_t queued() const { return m_dispatcher.status().queuedTasks; }

    private:
        void onAction(dispatch_action&& action)
        {
            const auto* start = std::get_if<start_task>(&action);
            if (!start)
                return;
            // Each upstream has a fixed factor from 1 to 4.
            const double factor = std::exp2(static_cast<double>(std::hash<std::string> {}(start->upstream.name) % 100) / 50);
            m_running.push({ m_now + std::chrono::round<duration>(std::chrono::milliseconds(50 + m_random() % 950) * factor), *start });
        }

        std::vector<protocol::submission_id> m_submitted;
        time_point m_now { 1000s };
        std::mt19937_64 m_random { 1 };
        std::priority_queue<running_task, std::vector<running_task>, std::greater<>> m_running;
        dispatcher m_dispatcher;
    };

} // namespace

decision_cost measureDecisionCost(std::size_t upstreams, std::size_t queuedTasks)
{
    cost_run run(upstreams);
    while (run.queued() < queuedTasks)
        run.submitOne();
    decision_cost cost { upstreams, queuedTasks, 0, 0, 0 };
    std::size_t submissions = 0;
    for (std::size_t i = 0; i < decisions; ++i) {
        cost.reportNanoseconds += run.reportOne() / decisions;
        if (run.queued() >= queuedTasks)
            continue;
        cost.submitNanoseconds += run.submitOne();
        ++submissions;
    }
    cost.cancelNanoseconds = run.cancelAll();
    cost.submitNanoseconds /= static_cast<double>(submissions);
    return cost;
}

} // namespace jackdaw::bench
