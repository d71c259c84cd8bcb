// Open-loop sending of jobs.
#include "apps/load/job_sender.h"

#include "apps/load/job_generator.h"
#include "protocol/job_codec.h"
#include "state/log.h"
#include "transport/http_client.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <iostream>
#include <optional>
#include <unordered_map>

namespace jackdaw::load {
namespace {

    using protocol::job_answer;
    using protocol::job_failure;
    using protocol::job_results;
    using protocol::submission_id;
    using protocol::time_point;
    using transport::http_result;

    constexpr std::size_t maxConnectionsPerEntry = 4000;
    constexpr duration answerMargin = std::chrono::seconds(5); // beyond the deadline
    constexpr duration progressInterval = std::chrono::seconds(1);

    using timer_ptr = std::unique_ptr<transport::event_loop::timer>;

    // One submission from its first sending to its last answer.
    struct open_job {
        planned_job plan;
        time_point planned; // the arrival that the response is counted from
        std::string body;
        std::size_t entry = 0; // that it was first sent to
        std::size_t awaited = 1; // answers that are still to come
        std::optional<job_answer> first; // the first copy's answer
        std::optional<job_answer> second; // the resubmission's answer
        timer_ptr resubmission;
    };

    bool isToldNotRun(const job_answer& answer)
    {
        const auto* failure = std::get_if<job_failure>(&answer);
        return failure && protocol::errorAnswer(failure->kind).ran == protocol::ran_state::no;
    }

    // Complete answers that differ, or one that is complete beside one that says nothing ran.
    bool isContradiction(const job_answer& one, const job_answer& other)
    {
        const auto* oneResults = std::get_if<job_results>(&one);
        const auto* otherResults = std::get_if<job_results>(&other);
        if (oneResults && otherResults)
            return *oneResults != *otherResults;
        return (oneResults && isToldNotRun(other)) || (otherResults && isToldNotRun(one));
    }

} // namespace

class job_sender::impl {
public:
    impl(transport::event_loop& eventLoop, const load_settings& loadSettings, std::uint64_t seed, duration measuredRoundTrip)
        : loop(eventLoop)
        , settings(loadSettings)
        , roundTrip(measuredRoundTrip)
        , generator(loadSettings.load, seed)
        , random(seed + 1)
        , client(eventLoop, maxConnectionsPerEntry)
    {
    }

    void run()
    {
        begin = protocol::steadyNow();
        scheduleFaults();
        if (settings.load.cancels.interval > duration::zero())
            cancelTimer = loop.every(settings.load.cancels.interval, [this] { cancelSome(); });
        if (isatty(STDERR_FILENO) == 1)
            progressTimer = loop.every(progressInterval, [this] { showProgress(); });
        next = generator.next();
        armArrival();
        while (!isFinished())
            loop.run();
        cancelTimer.reset();
        progressTimer.reset();
    }

    bool isFinished() const { return !next && open.empty(); }

    void armArrival()
    {
        arrivalTimer = loop.after(begin + next->arrival - protocol::steadyNow(), [this] { sendDue(); });
    }

    // Sends every job whose time has come.
    void sendDue()
    {
        const duration now = protocol::steadyNow() - begin;
        while (next && next->arrival <= now) {
            send(std::move(*next));
            next.reset();
            if (++sent < settings.jobs)
                next = generator.next();
            if (next && next->arrival > settings.maxTime)
                next.reset();
        }
        if (next)
            armArrival();
    }

    void send(planned_job plan)
    {
        const submission_id submission = protocol::makeSubmissionId(protocol::unixNow(), plan.randomHigh, plan.randomLow);
        open_job& job = open[submission];
        job.plan = std::move(plan);
        job.planned = begin + job.plan.arrival;
        job.entry = sent % settings.entries.size();
        protocol::job_request request = makeRequest(job.plan, settings.load, submission);
        if (settings.isZoneNamed)
            request.zone = settings.entries[job.entry].zone;
        job.body = toJson(request);
        if (job.plan.resubmissionDelay) {
            ++job.awaited;
            job.resubmission = loop.after(*job.plan.resubmissionDelay, [this, submission] { resubmit(submission); });
        }
        put(submission, job.body, job.entry, true);
    }

    void resubmit(const submission_id& submission)
    {
        const open_job& job = open.at(submission);
        const std::size_t others = settings.entries.size() - 1;
        std::size_t entry = job.entry;
        if (others > 0)
            entry += 1 + std::uniform_int_distribution<std::size_t>(0, others - 1)(random);
        put(submission, job.body, entry % settings.entries.size(), false);
    }

    void put(const submission_id& submission, const std::string& body, std::size_t entry, bool isFirst)
    {
        transport::http_call call;
        call.method = transport::http_method::put;
        call.path = "/v1/jobs/" + protocol::toText(submission);
        call.body = body;
        call.headers = { { "Content-Type", "application/json" } };
        if (isFirst)
            call.headers.push_back({ "First-Attempt", "true" });
        call.timeout = settings.load.deadline + answerMargin;
        client.call(settings.entries[entry].address, std::move(call), [this, submission, isFirst](const http_result& result) {
            takeAnswer(submission, isFirst, result);
            if (isFinished())
                loop.stop();
        });
    }

    void takeAnswer(const submission_id& submission, bool isFirst, const http_result& result)
    {
        open_job& job = open.at(submission);
        logAnswer(submission, job, isFirst, result);
        if (isFirst)
            job.first = tallyFirst(submission, job, result);
        else
            job.second = readAnswer(submission, job, result);
        if (--job.awaited > 0)
            return;
        close(submission, job);
        open.erase(submission);
    }

    static void logAnswer(const submission_id& submission, const open_job& job, bool isFirst, const http_result& result)
    {
        if (!state::isLogged(state::log_level::debug))
            return;
        state::logEvent(state::log_level::debug, isFirst ? "answered" : "resubmission_answered",
            { { "submission", protocol::toText(submission) }, { "arrival_us", std::to_string(job.plan.arrival.count()) },
                { "response_us", std::to_string((protocol::steadyNow() - job.planned).count()) },
                { "status", std::to_string(result.response.status) } });
    }

    std::optional<job_answer> tallyFirst(const submission_id& submission, const open_job& job, const http_result& result)
    {
        const std::size_t tasks = job.plan.tasks.size();
        if (result.outcome != transport::request_outcome::answered) {
            counts.recordUnanswered(tasks);
            return std::nullopt;
        }
        auto answer = readAnswer(submission, job, result);
        if (!answer) {
            counts.recordBroken(tasks);
        } else if (const auto* failure = std::get_if<job_failure>(&*answer)) {
            counts.recordFailure(tasks, failure->kind);
        } else {
            const auto fastest = std::chrono::duration<double, std::micro>(job.plan.longestWork()) / settings.fastestSpeed;
            counts.recordComplete(tasks, { protocol::steadyNow() - job.planned, roundTrip + std::chrono::round<duration>(fastest) });
        }
        return answer;
    }

    // Nothing when the answer is not well-formed, whole and the submission's own.
    std::optional<job_answer> readAnswer(const submission_id& submission, const open_job& job, const http_result& result)
    {
        if (result.outcome != transport::request_outcome::answered)
            return std::nullopt;
        auto answer = protocol::parseJobAnswer(result.response.body);
        std::optional<std::string> fault;
        if (!answer)
            fault = answer.error().detail;
        else if (protocol::httpStatus(answer.value()) != result.response.status)
            fault = "HTTP status " + std::to_string(result.response.status) + " does not match";
        else if (const auto* results = std::get_if<job_results>(&answer.value()))
            fault = findMismatch(job.plan, settings.load, submission, *results);
        if (!fault)
            return std::move(answer.value());
        state::logEvent(state::log_level::error, "broken_answer", { { "submission", protocol::toText(submission) }, { "reason", *fault } });
        return std::nullopt;
    }

    void close(const submission_id& submission, const open_job& job)
    {
        if (job.plan.resubmissionDelay) {
            const bool isBroken = job.first && job.second && isContradiction(*job.first, *job.second);
            counts.recordResubmission(job.second && std::holds_alternative<job_results>(*job.second), isBroken);
            if (isBroken)
                state::logEvent(state::log_level::error, "contradiction", { { "submission", protocol::toText(submission) } });
        }
        const bool isSecondSame = !job.plan.resubmissionDelay || (job.second && isToldNotRun(*job.second));
        if (job.first && isToldNotRun(*job.first) && isSecondSame)
            notRun.push_back(submission);
    }

    void cancelSome()
    {
        std::bernoulli_distribution isChosen(settings.load.cancels.share);
        for (const auto& [submission, job] : open) {
            if (!isChosen(random))
                continue;
            transport::http_call call;
            call.method = transport::http_method::del;
            call.path = "/v1/jobs/" + protocol::toText(submission);
            counts.recordCancel();
            client.call(settings.entries[job.entry].address, std::move(call), [](const http_result&) {});
        }
    }

    void scheduleFaults()
    {
        for (const upstream::fault_step& step : settings.faults) {
            faultTimers.push_back(loop.after(step.begin, [this, &step] { setFault(step.instance, step.what); }));
            if (step.end)
                faultTimers.push_back(loop.after(*step.end, [this, &step] { setFault(step.instance, {}); }));
        }
    }

    // Sent to every stand-in; the one that serves the instance takes it.
    void setFault(const std::string& instance, upstream::fault what)
    {
        for (const transport::endpoint& target : settings.upstreamControls) {
            transport::http_call call;
            call.method = transport::http_method::put;
            call.path = "/faults";
            call.body = nlohmann::json { { "instance", instance }, { "mode", toText(what.mode) }, { "factor", what.factor } }.dump();
            client.call(target, std::move(call), [](const http_result&) {});
        }
    }

    void showProgress() const
    {
        std::cerr << "sent " << sent << " of " << settings.jobs << ", open " << open.size() << ", answered " << counts.jobs()
                  << ", complete " << counts.complete() << '\n';
    }

    transport::event_loop& loop;
    const load_settings& settings;
    duration roundTrip;
    job_generator generator;
    std::mt19937_64 random; // of choices that are not part of a job's plan
    transport::http_client client;
    time_point begin {};
    std::size_t sent = 0;
    std::optional<planned_job> next; // the next to send; nothing when all were sent
    std::unordered_map<submission_id, open_job> open;
    tally counts;
    std::vector<submission_id> notRun;
    timer_ptr arrivalTimer;
    timer_ptr cancelTimer;
    timer_ptr progressTimer;
    std::vector<timer_ptr> faultTimers;
};

job_sender::job_sender(transport::event_loop& loop, const load_settings& settings, std::uint64_t seed, duration roundTrip)
    : m_impl(std::make_unique<impl>(loop, settings, seed, roundTrip))
{
}

job_sender::~job_sender() = default;

void job_sender::run()
{
    m_impl->run();
}

tally& job_sender::counts()
{
    return m_impl->counts;
}

std::span<const submission_id> job_sender::toldNotRun() const
{
    return m_impl->notRun;
}

} // namespace jackdaw::load
