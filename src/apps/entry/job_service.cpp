// From a caller's request to the one answer of its job.
#include "apps/entry/job_service.h"

#include "state/log.h"

#include <algorithm>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace jackdaw::entry {

using protocol::error_kind;
using protocol::job_answer;
using protocol::job_failure;
using protocol::job_request;
using protocol::submission_id;
using protocol::time_point;
using protocol::toText;
using state::log_level;
using state::logEvent;

namespace {

    // From the host that a caller reached to a host of the home zone, and from there to the coordinator.
    constexpr std::uint32_t maxHops = 3;

    job_failure failure(error_kind kind, std::string detail = {})
    {
        return { kind, std::move(detail), {} };
    }

    void logAnswer(const submission_id& submission, const job_answer& answer)
    {
        if (!state::isLogged(log_level::info))
            return;
        const auto* failed = std::get_if<job_failure>(&answer);
        if (!failed)
            return logEvent(log_level::info, "job_complete", { { "submission", toText(submission) } });
        const protocol::error_answer& row = protocol::errorAnswer(failed->kind);
        logEvent(log_level::info, "job_failed",
            { { "submission", toText(submission) }, { "error", std::string(row.name) }, { "ran", std::string(toText(row.ran)) }, { "detail", failed->detail } });
    }

    void logRoute(const submission_id& submission, std::string_view event, const std::string& to)
    {
        if (state::isLogged(log_level::debug))
            logEvent(log_level::debug, event, { { "submission", toText(submission) }, { "to", to } });
    }

    // An open job that lost its last caller.
    struct abandoned_job {
        time_point cancelAt;
        submission_id submission;
    };

    enum class job_phase {
        claiming, // its claim is asked for
        dispatched, // the dispatcher has it
        elsewhere // another host answers it
    };

    struct open_job {
        job_phase phase = job_phase::claiming;
        time_point openedAt = protocol::steadyNow();
        std::string client;
        std::string team;
        bool isFromCaller = true; // not from another host, which counts the answer itself
        std::uint64_t forwardRequest = 0; // only for elsewhere
        bool isCancelled = false; // while claiming: to be answered instead of dispatched
    };

} // namespace

class job_service::impl {
public:
    impl(job_service_settings serviceSettings, claim_hook claimHook, dispatch_driver& driver, job_registry& jobRegistry, job_forwarder& jobForwarder,
        entry_counters& counterPage, apps::job_metrics& serviceCounts)
        : settings(std::move(serviceSettings))
        , claim(std::move(claimHook))
        , dispatch(driver)
        , registry(jobRegistry)
        , forwarder(jobForwarder)
        , counters(counterPage)
        , services(serviceCounts)
    {
    }

    ticket submit(job_request job, bool isDetached, std::uint32_t hops, answer_hook onAnswer);
    void cancel(const submission_id& submission, open_job& open);
    void dropAbandoned(time_point now);

    void noteIfAbandoned(const submission_id& submission)
    {
        if (registry.isAbandoned(submission))
            abandoned.push_back({ protocol::steadyNow() + settings.abandonAfter, submission });
    }

    // The job is answered, and this host coordinated it.
    void close(const submission_id& submission, job_answer answer)
    {
        noteEnd(submission, answer);
        registry.answer(protocol::steadyNow(), submission, std::move(answer));
    }

    const job_service_settings settings;
    const claim_hook claim;
    dispatch_driver& dispatch;
    job_registry& registry;
    job_forwarder& forwarder;
    entry_counters& counters;
    apps::job_metrics& services;
    std::unordered_map<submission_id, open_job> openJobs; // one for each open record of the registry
    std::deque<abandoned_job> abandoned; // in order of time
    bool isRefusing = false;

private:
    std::optional<job_failure> knownFailure(const registry_view& known) const;
    std::optional<job_failure> reasonAgainst(const job_request& job, std::uint32_t hops) const;
    void route(job_request job, bool isDetached, bool isClaimed, std::uint32_t hops);
    void startClaim(job_request job, std::uint32_t hops);
    void onClaim(job_request job, std::uint32_t hops, const claim_outcome& outcome);
    void onClaimHeld(job_request job, std::uint32_t hops, const claim_outcome& outcome);
    void hand(job_request job);
    void sendToZone(const std::string& zone, job_request job, bool isDetached, std::uint32_t hops);

    ticket refuse(const job_request& job, job_answer answer, const answer_hook& onAnswer)
    {
        const submission_id submission = job.submission;
        noteAnswer(submission, answer);
        services.record(job.client, job.team, answer, protocol::duration::zero());
        onAnswer(std::make_shared<const job_answer>(std::move(answer)));
        return { submission, 0 };
    }

    // The job is answered, and this host does not coordinate it.
    void release(const submission_id& submission, job_answer answer)
    {
        noteEnd(submission, answer);
        registry.release(submission, std::move(answer));
    }

    void noteEnd(const submission_id& submission, const job_answer& answer)
    {
        noteAnswer(submission, answer);
        const auto found = openJobs.find(submission);
        if (found == openJobs.end())
            return;
        const open_job& open = found->second;
        const protocol::duration time = protocol::steadyNow() - open.openedAt;
        counters.recordJobTime(time);
        if (open.isFromCaller)
            services.record(open.client, open.team, answer, time);
        openJobs.erase(found);
    }

    void noteAnswer(const submission_id& submission, const job_answer& answer)
    {
        logAnswer(submission, answer);
        counters.countAnswer(answer);
    }
};

job_service::ticket job_service::impl::submit(job_request job, bool isDetached, std::uint32_t hops, answer_hook onAnswer)
{
    const submission_id submission = job.submission;
    const registry_view known = registry.find(submission, job.bodyHash);
    if (known.state == registry_state::answered) {
        onAnswer(known.answer);
        return { submission, 0 };
    }
    if (auto refusal = knownFailure(known))
        return refuse(job, std::move(*refusal), onAnswer);
    const bool isNew = known.state != registry_state::open;
    if (auto refusal = isNew ? reasonAgainst(job, hops) : std::nullopt)
        return refuse(job, std::move(*refusal), onAnswer);
    if (isNew) {
        registry.open(submission, job.bodyHash);
        open_job& open = openJobs[submission];
        open = {};
        open.client = job.client;
        open.team = job.team;
        open.isFromCaller = hops == 0;
    }
    if (isDetached)
        registry.keepWithoutWaiters(submission);
    const ticket caller { submission, registry.wait(submission, std::move(onAnswer)) };
    if (isNew)
        route(std::move(job), isDetached, known.state == registry_state::retryable, hops);
    return caller;
}

std::optional<job_failure> job_service::impl::knownFailure(const registry_view& known) const
{
    if (known.state == registry_state::forgotten)
        return failure(error_kind::claim_too_old, "the answer is no longer stored");
    if (known.state == registry_state::mismatch)
        return failure(error_kind::submission_mismatch);
    return std::nullopt;
}

// Why a job that is not open can't be taken at all.
std::optional<job_failure> job_service::impl::reasonAgainst(const job_request& job, std::uint32_t hops) const
{
    if (std::find(settings.zones.begin(), settings.zones.end(), homeZone(job, settings.zones)) == settings.zones.end())
        return failure(error_kind::malformed_request, "unknown zone '" + job.zone + "'");
    const bool isLeftHere = hops > 0 || (homeZone(job, settings.zones) == settings.zone && !forwarder.hasHostFor(settings.zone));
    if (isRefusing && isLeftHere)
        return failure(job.firstAttempt ? error_kind::draining : error_kind::zone_unreachable, "host " + settings.host + " is shutting down");
    return std::nullopt;
}

void job_service::impl::route(job_request job, bool isDetached, bool isClaimed, std::uint32_t hops)
{
    const std::string zone = homeZone(job, settings.zones);
    if (zone != settings.zone)
        return sendToZone(zone, std::move(job), isDetached, hops);
    if (isClaimed)
        return hand(std::move(job));
    if (isRefusing)
        return sendToZone(zone, std::move(job), isDetached, hops);
    startClaim(std::move(job), hops);
}

void job_service::impl::sendToZone(const std::string& zone, job_request job, bool isDetached, std::uint32_t hops)
{
    const submission_id submission = job.submission;
    logRoute(submission, "job_sent_to_zone", zone);
    open_job& open = openJobs[submission];
    open.phase = job_phase::elsewhere;
    open.forwardRequest = forwarder.forwardToZone(zone, std::move(job), hops + 1, isDetached,
        [this, submission](const answer_ptr& answer) { release(submission, *answer); });
}

void job_service::impl::startClaim(job_request job, std::uint32_t hops)
{
    auto shared = std::make_shared<job_request>(std::move(job));
    claim(*shared, [this, shared, hops](const claim_outcome& outcome) { onClaim(std::move(*shared), hops, outcome); });
}

void job_service::impl::onClaim(job_request job, std::uint32_t hops, const claim_outcome& outcome)
{
    const submission_id submission = job.submission;
    switch (outcome.state) {
    case claim_state::granted:
        return hand(std::move(job));
    case claim_state::held:
        return onClaimHeld(std::move(job), hops, outcome);
    case claim_state::mismatch:
        return release(submission, failure(error_kind::submission_mismatch));
    case claim_state::too_old:
        return release(submission, failure(error_kind::claim_too_old));
    case claim_state::from_future:
        return release(submission, failure(error_kind::malformed_request, "the submission id's time stamp lies in the future"));
    case claim_state::unavailable:
        return release(submission, failure(error_kind::claim_unavailable));
    case claim_state::unavailable_first_attempt:
        return release(submission, failure(error_kind::zone_unreachable_first_attempt, "the claim group has no majority"));
    }
}

void job_service::impl::onClaimHeld(job_request job, std::uint32_t hops, const claim_outcome& outcome)
{
    const submission_id submission = job.submission;
    if (outcome.host == settings.host && outcome.incarnation == settings.incarnation)
        return release(submission, failure(error_kind::claim_too_old, "the answer is no longer stored"));
    if (outcome.host == settings.host || hops >= maxHops)
        return release(submission, failure(error_kind::coordinator_lost, "host " + outcome.host));
    logRoute(submission, "job_joined", outcome.host);
    open_job& open = openJobs[submission];
    open.phase = job_phase::elsewhere;
    open.forwardRequest = forwarder.forwardToHost(outcome.host, outcome.incarnation, std::move(job), hops + 1,
        [this, submission](const answer_ptr& answer) { release(submission, *answer); });
}

// The submission is claimed by this host: its tasks may start.
void job_service::impl::hand(job_request job)
{
    const submission_id submission = job.submission;
    open_job& open = openJobs[submission];
    open.phase = job_phase::dispatched;
    if (open.isCancelled)
        return close(submission, failure(error_kind::cancelled_before_start));
    noteIfAbandoned(submission);
    if (state::isLogged(log_level::debug))
        logEvent(log_level::debug, "job_dispatched",
            { { "submission", toText(submission) }, { "client", job.client }, { "team", job.team }, { "tasks", std::to_string(job.tasks.size()) } });
    if (auto refusal = dispatch.submit(std::move(job)))
        close(submission, std::move(*refusal));
}

void job_service::impl::cancel(const submission_id& submission, open_job& open)
{
    switch (open.phase) {
    case job_phase::claiming:
        open.isCancelled = true;
        return;
    case job_phase::dispatched:
        return dispatch.cancel(submission);
    case job_phase::elsewhere:
        return forwarder.cancel(open.forwardRequest);
    }
}

void job_service::impl::dropAbandoned(time_point now)
{
    while (!abandoned.empty() && abandoned.front().cancelAt <= now) {
        const submission_id submission = abandoned.front().submission;
        abandoned.pop_front();
        const auto found = openJobs.find(submission);
        if (found == openJobs.end() || !registry.isAbandoned(submission))
            continue;
        // Others may wait for a job on the host that coordinates it.
        if (found->second.phase == job_phase::elsewhere) {
            forwarder.withdraw(found->second.forwardRequest);
            release(submission, failure(error_kind::timed_out, "no caller waits"));
        } else if (found->second.phase == job_phase::dispatched) {
            dispatch.cancel(submission);
        }
    }
}

job_service::job_service(job_service_settings settings, claim_hook claim, dispatch_driver& dispatch, job_registry& registry, job_forwarder& forwarder,
    entry_counters& counters, apps::job_metrics& services)
    : m_impl(std::make_unique<impl>(std::move(settings), std::move(claim), dispatch, registry, forwarder, counters, services))
{
}

job_service::~job_service() = default;

job_service::ticket job_service::submit(job_request job, bool isDetached, std::uint32_t hops, answer_hook onAnswer)
{
    return m_impl->submit(std::move(job), isDetached, hops, std::move(onAnswer));
}

void job_service::abandon(const ticket& caller)
{
    m_impl->registry.stopWaiting(caller.submission, caller.waiter);
    m_impl->noteIfAbandoned(caller.submission);
}

registry_view job_service::find(const submission_id& submission) const
{
    return m_impl->registry.find(submission);
}

bool job_service::cancel(const submission_id& submission)
{
    const auto found = m_impl->openJobs.find(submission);
    if (found == m_impl->openJobs.end())
        return false;
    logEvent(log_level::info, "job_cancelled", { { "submission", toText(submission) } });
    m_impl->cancel(submission, found->second);
    return true;
}

void job_service::onAnswer(coordination::answer_job action)
{
    m_impl->close(action.submission, std::move(action.answer));
}

void job_service::refuseNewJobs()
{
    m_impl->isRefusing = true;
    m_impl->dispatch.drain();
}

void job_service::tick()
{
    const time_point now = protocol::steadyNow();
    m_impl->dropAbandoned(now);
    m_impl->forwarder.tick();
    m_impl->registry.expire(now);
}

std::size_t job_service::openJobs() const
{
    return m_impl->registry.openJobs();
}

} // namespace jackdaw::entry
