// Implements the event loop of the simulated zone and its fake upstreams.
#include "fake_zone.h"

#include <algorithm>

namespace jackdaw::bench {
namespace {

    using namespace std::chrono_literals;
    using coordination::task_outcome;

    constexpr duration oneWayDelay = 300us; // network delay between entry host and upstream
    constexpr duration announceInterval = 1s;
    constexpr duration announceTtl = 3s;
    constexpr double slowFactor = 4;
    constexpr std::size_t faultyEvery = 10;

    coordination::dispatcher_settings dispatcherSettings(std::uint64_t seed)
    {
        coordination::dispatcher_settings settings;
        settings.seed = seed;
        return settings;
    }

} // namespace

fake_zone::fake_zone(const zone_settings& settings, std::shared_ptr<const coordination::rules> activeRules)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_factors(upstreamFactors(settings.upstreams))
    , m_dispatcher(dispatcherSettings(settings.seed), [this](coordination::dispatch_action action) { onAction(std::move(action)); })
{
    m_dispatcher.setRules(std::move(activeRules));
    for (std::size_t i = 0; i < settings.upstreams; ++i) {
        fake_upstream upstream;
        upstream.id = { std::to_string(i), 1 };
        upstream.factor = m_factors[i];
        upstream.faulty = settings.fault != fault_kind::none && i % faultyEvery == faultyEvery / 2;
        m_upstreams.push_back(std::move(upstream));
    }
}

zone_counts fake_zone::run(std::vector<bench_job>&& jobs)
{
    m_now = jobs.front().arrival - 10ms;
    m_announceUntil = jobs.back().arrival + 60s;
    for (std::size_t i = 0; i < m_upstreams.size(); ++i)
        announce(i);
    for (bench_job& job : jobs) {
        const duration wait = job.arrival - m_now;
        schedule(wait, [this, &job] { submit(std::move(job)); });
    }
    for (;;) {
        const auto timer = m_dispatcher.nextTimer();
        if (m_events.empty() && !timer)
            break;
        if (timer && (m_events.empty() || *timer < m_events.top().at)) {
            m_now = std::max(m_now, *timer);
            m_dispatcher.advance(m_now);
            continue;
        }
        event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.run();
    }
    for (const auto& [submission, job] : m_jobs) {
        m_counts.unanswered += job.answered ? 0 : 1;
        for (const std::uint8_t starts : job.starts)
            m_counts.duplicateStarts += starts > 1 ? 1 : 0;
    }
    m_counts.retries = m_dispatcher.status().retries;
    m_counts.settles = m_dispatcher.status().settles;
    m_counts.starts = m_dispatcher.status().starts;
    return std::move(m_counts);
}

void fake_zone::schedule(duration wait, std::function<void()> callback)
{
    m_events.push({ m_now + wait, m_nextEvent++, std::move(callback) });
}

void fake_zone::announce(std::size_t upstream)
{
    m_dispatcher.applyAnnouncement(m_now, { m_upstreams[upstream].id.name, 1, "127.0.0.1", 8080, "a", m_settings.slots, 60, { 4000, 8192, 0 }, protocol::upstream_state::serving, announceTtl });
    if (m_now < m_announceUntil)
        schedule(announceInterval, [this, upstream] { announce(upstream); });
}

void fake_zone::submit(bench_job&& job)
{
    const protocol::submission_id submission = job.request.submission;
    const bool measured = m_now >= m_settings.measureFrom;
    m_counts.jobs += measured ? 1 : 0;
    open_job open;
    open.ideal = idealResponse(job.work, m_factors, m_settings.slots, 2 * oneWayDelay);
    open.starts.resize(job.work.size());
    open.job = std::move(job);
    const protocol::job_request request = open.job.request;
    const std::size_t tasks = open.job.work.size();
    const duration cancelWait = 2 * open.ideal * std::uniform_int_distribution<int>(0, 1000)(m_random) / 1000;
    m_jobs.emplace(submission, std::move(open));
    if (const auto refusal = m_dispatcher.submit(m_now, request)) {
        m_jobs.erase(submission);
        m_counts.refused[std::string(protocol::errorAnswer(refusal->kind).name)] += measured ? 1 : 0;
        return;
    }
    m_counts.tasks += tasks;
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_settings.cancelRatio)
        schedule(cancelWait, [this, submission] { m_dispatcher.cancel(m_now, submission); });
}

void fake_zone::onAction(coordination::dispatch_action&& action)
{
    if (const auto* start = std::get_if<coordination::start_task>(&action))
        onStart(*start);
    else if (const auto* settle = std::get_if<coordination::settle_task>(&action))
        onSettle(*settle);
    else
        onAnswer(std::get<coordination::answer_job>(action));
}

void fake_zone::onStart(const coordination::start_task& start)
{
    fake_upstream& upstream = upstreamOf(start.upstream);
    const protocol::task_key key = start.task;
    schedule(oneWayDelay, [this, &upstream, key, lease = start.lease] {
        if (isFaulty(upstream) && m_settings.fault == fault_kind::refusing)
            return reply(upstream, key, task_outcome::not_started);
        const bool lost = m_settings.fault == fault_kind::silent && std::uniform_int_distribution<int>(0, 999)(m_random) == 0;
        if (lost)
            schedule(lease, [this, &upstream, key] { m_dispatcher.report(m_now, { key, upstream.id, task_outcome::no_answer, {}, {} }); });
        if (lost && m_random() % 2 == 0)
            return;
        if (upstream.running >= m_settings.slots) {
            ++m_counts.startsWithoutFreeSlot;
            return reply(upstream, key, task_outcome::not_started);
        }
        runTask(upstream, key, lease, lost);
    });
}

void fake_zone::runTask(fake_upstream& upstream, const protocol::task_key& key, duration lease, bool answerLost)
{
    open_job& job = m_jobs.at(key.submission);
    ++job.starts[key.index];
    upstream.tasks[key] = false;
    if (isFaulty(upstream) && m_settings.fault == fault_kind::failing) {
        upstream.tasks[key] = true;
        return reply(upstream, key, task_outcome::failed);
    }
    ++upstream.running;
    double factor = upstream.factor * std::uniform_real_distribution<double>(0.97, 1.03)(m_random);
    if (isFaulty(upstream) && m_settings.fault == fault_kind::slow)
        factor *= slowFactor;
    const auto runTime = std::chrono::round<duration>(job.job.work[key.index] * factor);
    job.longestRun = std::max(job.longestRun, runTime);
    const task_outcome outcome = runTime > lease ? task_outcome::stopped : task_outcome::finished;
    schedule(std::min(runTime, lease), [this, &upstream, key, answerLost, outcome] {
        --upstream.running;
        upstream.tasks[key] = true;
        if (!answerLost)
            reply(upstream, key, outcome);
    });
}

void fake_zone::reply(const fake_upstream& upstream, const protocol::task_key& key, task_outcome outcome)
{
    schedule(oneWayDelay, [this, &upstream, key, outcome] { m_dispatcher.report(m_now, { key, upstream.id, outcome, {}, {} }); });
}

void fake_zone::onSettle(const coordination::settle_task& settle)
{
    fake_upstream& upstream = upstreamOf(settle.upstream);
    schedule(oneWayDelay, [this, &upstream, key = settle.task] {
        const auto known = upstream.tasks.find(key);
        if (known == upstream.tasks.end()) {
            upstream.tombstones.insert(key);
            return reply(upstream, key, task_outcome::not_started);
        }
        reply(upstream, key, known->second ? task_outcome::finished : task_outcome::running);
    });
}

void fake_zone::onAnswer(const coordination::answer_job& answer)
{
    open_job& job = m_jobs.at(answer.submission);
    m_counts.duplicateAnswers += job.answered ? 1 : 0;
    job.answered = true;
    if (job.job.arrival < m_settings.measureFrom)
        return;
    if (const auto* failure = std::get_if<protocol::job_failure>(&answer.answer)) {
        ++m_counts.failed[std::string(protocol::errorAnswer(failure->kind).name)];
        return;
    }
    ++m_counts.complete;
    const double response = static_cast<double>((m_now - job.job.arrival).count());
    m_counts.samples.push_back({ job.job.work.size(), response / static_cast<double>(job.ideal.count()), response / static_cast<double>((job.longestRun + 2 * oneWayDelay).count()), job.job.isFlood });
}

} // namespace jackdaw::bench
