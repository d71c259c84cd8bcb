// Simulates one availability zone in virtual time: a dispatcher and fake upstreams with injected faults. Counts the
// results.
#pragma once

#include "coordination/dispatcher.h"
#include "policy_workload.h"

#include <map>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace jackdaw::bench {

struct zone_settings {
    std::uint64_t seed = 1;
    std::size_t upstreams = 17;
    std::uint32_t slots = 8;
    fault_kind fault = fault_kind::none;
    time_point faultsFrom {};
    time_point measureFrom {}; // jobs that arrive earlier are warm-up and are not counted
    double cancelRatio = 0; // share of the admitted jobs that are cancelled
};

struct job_sample {
    std::size_t tasks = 0;
    double slowdown = 0; // response time over ideal response time
    double waitingSlowdown = 0; // response time over the longest actual run time of its tasks plus a round trip
    bool isFlood = false; // see bench_job
};

struct zone_counts {
    std::uint64_t jobs = 0;
    std::uint64_t complete = 0;
    std::uint64_t tasks = 0; // of admitted jobs
    std::uint64_t starts = 0;
    std::uint64_t duplicateStarts = 0;
    std::uint64_t retries = 0;
    std::uint64_t settles = 0;
    std::uint64_t duplicateAnswers = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t startsWithoutFreeSlot = 0; // starts that an upstream refused for lack of a free slot
    std::map<std::string, std::uint64_t> refused; // by error kind
    std::map<std::string, std::uint64_t> failed; // by error kind
    std::vector<job_sample> samples;
};

class fake_zone {
public:
    fake_zone(const zone_settings& settings, std::shared_ptr<const coordination::rules> activeRules);

    // Runs the simulation until all jobs have ended and no event is left.
    zone_counts run(std::vector<bench_job>&& jobs);

private:
    struct fake_upstream {
        coordination::upstream_id id;
        double factor = 1;
        bool faulty = false;
        std::uint32_t running = 0;
        std::unordered_map<protocol::task_key, bool> tasks; // true if the task has ended
        std::unordered_set<protocol::task_key> tombstones;
    };

    struct open_job {
        bench_job job;
        duration ideal {};
        duration longestRun {};
        std::vector<std::uint8_t> starts; // by task, as counted by the upstreams
        bool answered = false;
    };

    struct event {
        time_point at {};
        std::uint64_t number = 0;
        std::function<void()> run;

        friend bool operator>(const event& a, const event& b) { return std::pair(a.at, a.number) > std::pair(b.at, b.number); }
    };

    void schedule(duration wait, std::function<void()> callback);
    void announce(std::size_t upstream);
    void submit(bench_job&& job);
    void onAction(coordination::dispatch_action&& action);
    void onStart(const coordination::start_task& start);
    void onSettle(const coordination::settle_task& settle);
    void onAnswer(const coordination::answer_job& answer);
    void runTask(fake_upstream& upstream, const protocol::task_key& key, duration lease, bool answerLost);
    void reply(const fake_upstream& upstream, const protocol::task_key& key, coordination::task_outcome outcome);
    fake_upstream& upstreamOf(const coordination::upstream_id& id) { return m_upstreams[std::stoul(id.name)]; }
    bool isFaulty(const fake_upstream& upstream) const { return upstream.faulty && m_now >= m_settings.faultsFrom; }

    const zone_settings m_settings;
    std::mt19937_64 m_random;
    std::vector<double> m_factors;
    std::vector<fake_upstream> m_upstreams;
    std::unordered_map<protocol::submission_id, open_job> m_jobs;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_nextEvent = 0;
    time_point m_now {};
    time_point m_announceUntil {};
    zone_counts m_counts;
    coordination::dispatcher m_dispatcher;
};

} // namespace jackdaw::bench
