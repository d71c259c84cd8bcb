// Up to three voters among four entry hosts, clients that submit and resubmit, faults chosen from a seed, and the checks.
#include "coordination/tests/claim_simulation.h"

#include "protocol/claim_codec.h"

#include <algorithm>

namespace jackdaw::coordination::tests {

using namespace std::chrono_literals;
using protocol::claim_coordinator;
using protocol::unix_milliseconds;

namespace {

    const std::vector<std::string> voterHosts { "h0", "h1", "h2" };
    constexpr std::size_t maxMessagesPerSecond = 2000; // for about 25 claims per second and 4 hosts
    constexpr unix_milliseconds epoch { 1'700'000'000'000 };

    unix_milliseconds millisecondsAt(time_point time)
    {
        return epoch + std::chrono::duration_cast<unix_milliseconds>(time.time_since_epoch());
    }

} // namespace

claim_simulation::claim_simulation(claim_simulation_settings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_link(m_settings.seed + 1)
    , m_now(1s)
    , m_nextFault(m_now + 4s)
    , m_nextSubmission(m_now)
{
    for (const char* name : { "h0", "h1", "h2", "h3" })
        m_hosts.push_back({ name, 0, nullptr, std::chrono::milliseconds(randomBelow(800)) - 400ms, {}, {} });
    for (simulated_host& host : m_hosts)
        start(host);
}

void claim_simulation::start(simulated_host& host)
{
    if (!m_settings.mutation.keepsIncarnation || host.incarnation == 0)
        host.incarnation = 1000 * m_nextIncarnation++;
    host.isStopping = false;
    host.startedAt = m_now;
    host.frozenUntil = m_now;
    claim_service_settings settings;
    settings.host = host.name;
    settings.incarnation = host.incarnation;
    settings.seed = m_random();
    settings.voters.assign(voterHosts.begin(), voterHosts.begin() + static_cast<std::ptrdiff_t>(m_settings.voters));
    settings.maxLogBytes = 2000;
    if (m_settings.seed % 2 == 0)
        settings.retention = 8s;
    if (m_settings.mutation.splitsVoterLists && host.name == "h0")
        settings.voters = { "h0" };
    if (m_settings.mutation.resendsImmediately) {
        settings.resendAfter = 0s;
        settings.retryInterval = 1ms;
    }
    claim_service_hooks hooks;
    hooks.send = [this, &host](const std::string& to, const std::string& bytes) { send(host, to, bytes); };
    hooks.result = [this, &host](const claim_result& result) { check(host, result); };
    hooks.unixNow = [this, &host] { return clockOf(host); };
    host.service = std::make_unique<claim_service>(settings, hooks, m_now);
}

void claim_simulation::crash(simulated_host& host)
{
    if (host.service && host.isStopping && host.service->hasLeft())
        ++m_leaves;
    host.service.reset();
}

void claim_simulation::stop(simulated_host& host)
{
    host.isStopping = true;
    if (m_settings.mutation.stopsWithoutLeaving)
        host.service->transferLeadership(m_now);
    else
        host.service->startLeaving(m_now);
}

claim_simulation::simulated_host& claim_simulation::hostNamed(const std::string& name)
{
    return *std::ranges::find(m_hosts, name, &simulated_host::name);
}

unix_milliseconds claim_simulation::clockOf(const simulated_host& host) const
{
    const bool isStale = m_settings.mutation.hasStaleClockAtStart && m_now - host.startedAt < 4s;
    return millisecondsAt(m_now + host.clockOffset) - (isStale ? 60s : 0s);
}

claim_violation claim_simulation::run()
{
    m_link.settings.loss = happens(0.5) ? 0.02 * static_cast<double>(randomBelow(6)) : 0;
    m_link.settings.duplication = happens(0.5) ? 0.05 : 0;
    m_link.settings.maxDelay = happens(0.3) ? 100ms : 3ms;
    runUntil(m_now + m_settings.faultyTime);
    m_isFaulty = false;
    healAll();
    runUntil(m_now + 16s);
    if (m_violation == claim_violation::none && timeToGrant() > 5s)
        fail(claim_violation::not_live);
    m_nextSubmission = time_point::max();
    runUntil(m_now + 1s);
    if (!doVotersAgree())
        fail(claim_violation::voters_differ);
    return m_violation;
}

duration claim_simulation::timeToGrantAfterLeaderLoss()
{
    m_isFaulty = false;
    runUntil(m_now + 8s);
    const auto leader = std::ranges::find_if(m_hosts, [](const simulated_host& host) { return host.service->status().isLeader; });
    if (leader == m_hosts.end())
        return duration::max();
    crash(*leader);
    return timeToGrant();
}

duration claim_simulation::timeToGrantAfterRestartOfAll()
{
    m_isFaulty = false;
    runUntil(m_now + 8s);
    for (simulated_host& host : m_hosts)
        start(host);
    return timeToGrant();
}

duration claim_simulation::timeToGrantAfterPlannedStop(bool ofLeader)
{
    m_isFaulty = false;
    runUntil(m_now + 8s);
    return stopOne(ofLeader) ? timeToGrant() : duration::max();
}

std::uint64_t claim_simulation::leavesOfTwoStops()
{
    m_isFaulty = false;
    runUntil(m_now + 8s);
    stopOne(true);
    runUntil(m_now + 3s);
    stopOne(true);
    return m_leaves;
}

// False if there is no such host.
bool claim_simulation::stopOne(bool ofLeader)
{
    const auto stopped = std::ranges::find_if(m_hosts, [&](const simulated_host& host) {
        return host.service && host.service->status().isLeader == ofLeader;
    });
    if (stopped == m_hosts.end())
        return false;
    stop(*stopped);
    for (const time_point limit = m_now + 3s; m_now < limit && !stopped->service->hasLeft();)
        runEvent();
    crash(*stopped);
    return true;
}

duration claim_simulation::timeToGrant()
{
    const time_point begin = m_now;
    std::size_t next = randomBelow(m_hosts.size());
    while (m_now < begin + 30s && m_violation == claim_violation::none) {
        client_submission submission = newSubmission();
        while (!m_hosts[next % m_hosts.size()].service)
            ++next;
        submit(m_hosts[next++ % m_hosts.size()], submission);
        for (const time_point limit = m_now + 200ms; m_now < limit && m_violation == claim_violation::none;) {
            runEvent();
            if (m_grants.contains(submission.id))
                return m_now - begin;
        }
    }
    return m_now - begin;
}

bool claim_simulation::doVotersAgree() const
{
    const claim_service_status first = m_hosts.front().service->status();
    return std::all_of(m_hosts.begin(), m_hosts.begin() + static_cast<std::ptrdiff_t>(m_settings.voters), [&](const simulated_host& host) {
        const claim_service_status status = host.service->status();
        return status.generation == first.generation && status.claims == first.claims && status.knownSince == first.knownSince;
    });
}

void claim_simulation::runUntil(time_point end)
{
    while (m_violation == claim_violation::none && m_now < end)
        runEvent();
}

void claim_simulation::runEvent()
{
    time_point timer = time_point::max();
    simulated_host* due = nullptr;
    for (simulated_host& host : m_hosts) {
        const time_point at = host.service ? std::max(host.service->nextTimer(), host.frozenUntil) : time_point::max();
        if (at < timer) {
            timer = at;
            due = &host;
        }
    }
    const time_point next = std::min({ timer, m_link.nextDelivery(), m_nextSubmission, m_nextFault });
    m_now = std::max(m_now, next);
    if (next == m_nextSubmission)
        return submitRandom();
    if (next == m_nextFault)
        return injectFault();
    if (next == m_link.nextDelivery())
        return deliver();
    due->service->advance(m_now);
}

void claim_simulation::deliver()
{
    auto delivery = m_link.takeDelivery();
    simulated_host& host = hostNamed(delivery.to);
    if (!host.service)
        return;
    if (host.frozenUntil > m_now)
        return m_link.postpone(host.frozenUntil, std::move(delivery));
    host.service->step(m_now, delivery.from, applyMutation(std::move(delivery.message)));
}

void claim_simulation::injectFault()
{
    m_nextFault = m_now + std::chrono::milliseconds(50 + randomBelow(1500));
    if (!m_isFaulty)
        return;
    simulated_host& host = m_hosts[randomBelow(m_hosts.size())];
    if (!host.service)
        return start(host);
    if (host.isStopping)
        return crash(host);
    const std::size_t choice = randomBelow(13);
    if (choice < 3)
        return cutRandomLinks();
    if (choice < 5)
        return m_link.heal();
    if (choice < 6)
        return host.service->transferLeadership(m_now);
    if (choice < 8) {
        host.frozenUntil = m_now + std::chrono::milliseconds(randomBelow(4000));
        return;
    }
    if (choice == 12)
        return stop(host);
    crash(host);
    if (choice == 11) {
        for (simulated_host& other : m_hosts)
            crash(other);
    }
}

void claim_simulation::cutRandomLinks()
{
    const std::string name = m_hosts[randomBelow(m_hosts.size())].name;
    const time_point until = m_now + (happens(0.3) ? 14s : 2s);
    const bool isOneWay = happens(0.4);
    const bool isIsolated = happens(0.5);
    for (const simulated_host& other : m_hosts) {
        if (other.name == name || (!isIsolated && happens(0.5)))
            continue;
        m_link.cut(name, other.name, until);
        if (!isOneWay)
            m_link.cut(other.name, name, until);
    }
}

void claim_simulation::healAll()
{
    m_link.heal();
    m_link.settings = {};
    for (simulated_host& host : m_hosts) {
        host.frozenUntil = m_now;
        if (!host.service || host.isStopping)
            start(host);
    }
}

claim_simulation::client_submission& claim_simulation::newSubmission()
{
    const auto skew = std::chrono::milliseconds(randomBelow(1000)) - 500ms;
    return m_submissions.emplace_back(client_submission { protocol::makeSubmissionId(millisecondsAt(m_now) + skew, m_random(), m_random()), 0 });
}

// Makes a new submission, or repeats an earlier one, at a random host.
void claim_simulation::submitRandom()
{
    m_nextSubmission = m_now + std::chrono::milliseconds(5 + randomBelow(80));
    simulated_host& host = m_hosts[randomBelow(m_hosts.size())];
    if (m_submissions.empty() || happens(0.4))
        return submit(host, newSubmission());
    const std::size_t recent = std::min<std::size_t>(m_submissions.size(), happens(0.5) ? 5 : 200);
    submit(host, m_submissions[m_submissions.size() - 1 - randomBelow(recent)]);
}

void claim_simulation::submit(simulated_host& host, client_submission& submission)
{
    if (!host.service || host.isStopping || host.frozenUntil > m_now)
        return;
    host.service->claim(m_now, submission.id, 7, submission.submitted++ == 0);
}

void claim_simulation::send(const simulated_host& from, const std::string& to, std::string bytes)
{
    if (m_now - m_secondStart >= 1s) {
        m_secondStart = m_now;
        m_messagesInSecond = 0;
    }
    if (++m_messagesInSecond > maxMessagesPerSecond)
        fail(claim_violation::message_storm);
    m_link.send(m_now, from.name, to, std::move(bytes));
}

std::string claim_simulation::applyMutation(std::string bytes) const
{
    if (!m_settings.mutation.onMessage)
        return bytes;
    auto message = protocol::decodeClaimMessage(bytes).value();
    m_settings.mutation.onMessage(message);
    return encode(message);
}

void claim_simulation::check(const simulated_host& host, const claim_result& result)
{
    const claim_coordinator self { host.name, host.incarnation };
    const bool isGranted = result.verdict == claim_verdict::granted;
    if (isGranted && !m_grants.emplace(result.submission, self).second)
        return fail(claim_violation::granted_twice);
    if (isGranted || result.verdict == claim_verdict::held) {
        const claim_coordinator& holder = isGranted ? self : result.holder;
        const auto [known, isFirst] = m_holders.try_emplace(result.submission, holder);
        if (!isFirst && known->second != holder)
            return fail(claim_violation::holder_changed);
    }
    // isProvedUnclaimed relies on the client's statement that this is its first attempt. That is untrue once it resubmits
    // before the first attempt is answered, so such submissions are not checked.
    const auto sent = std::ranges::find(m_submissions, result.submission, &client_submission::id);
    const bool isFirstSubmission = sent != m_submissions.end() && sent->submitted == 1;
    const bool saysUnclaimed = result.verdict == claim_verdict::from_future || (result.isProvedUnclaimed && isFirstSubmission);
    if (saysUnclaimed && m_holders.contains(result.submission))
        fail(claim_violation::false_refusal);
}

void claim_simulation::fail(claim_violation violation)
{
    if (m_violation == claim_violation::none)
        m_violation = violation;
}

} // namespace jackdaw::coordination::tests
