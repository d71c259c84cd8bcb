// Forwarded jobs, as seen by the host that sent them on.
#include "apps/entry/job_forwarder.h"

#include "state/log.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jackdaw::entry {

using protocol::duration;
using protocol::error_kind;
using protocol::job_answer;
using protocol::job_failure;
using protocol::job_forward;
using protocol::job_request;
using protocol::steadyNow;
using protocol::time_point;

namespace {

    struct forwarded_job {
        std::string zone; // home zone; empty when only one host can answer
        std::string host; // asked last; empty: none yet
        std::uint64_t incarnation = 0; // of that host
        std::set<std::string> triedHosts;
        job_forward message;
        time_point deadlineAt;
        time_point resendAt;
        duration resendInterval {};
        bool wasSentOn = false; // some host may have got it
        answer_hook onAnswer;
    };

    // Spreads the jobs over the hosts, and sends a resubmission to the same host.
    std::uint64_t rendezvousWeight(const protocol::submission_id& submission, const std::string& host)
    {
        return XXH3_64bits_withSeed(submission.data, submission.size(), XXH3_64bits(host.data(), host.size()));
    }

    job_answer failure(error_kind kind, std::string detail)
    {
        return job_failure { kind, std::move(detail), {} };
    }

    bool isDrainingRefusal(const job_answer& answer)
    {
        const auto* failed = std::get_if<job_failure>(&answer);
        return failed && failed->kind == error_kind::draining;
    }

} // namespace

class job_forwarder::impl {
public:
    impl(forwarder_settings forwarderSettings, const peer_table& peerTable, send_hook sendHook)
        : settings(forwarderSettings)
        , peers(peerTable)
        , send(std::move(sendHook))
    {
    }

    std::uint64_t add(forwarded_job job)
    {
        const std::uint64_t request = ++lastRequest;
        const time_point now = steadyNow();
        job.message.requestId = request;
        job.deadlineAt = now + job.message.job.deadline;
        job.resendInterval = settings.firstResendAfter;
        forwarded_job& added = requests.emplace(request, std::move(job)).first->second;
        if (added.host.empty())
            moveToNextHost(now, added);
        else
            sendToHost(now, added);
        return request;
    }

    bool sendToHost(time_point now, forwarded_job& job)
    {
        job.message.job.deadline = std::max<duration>(job.deadlineAt - now, std::chrono::milliseconds(1));
        const bool wasSent = send(job.host, job.message);
        job.resendAt = now + job.resendInterval;
        job.resendInterval *= 2;
        if (!wasSent)
            return false;
        job.wasSentOn = true;
        // From now on a copy may be on its way.
        job.message.job.firstAttempt = false;
        return true;
    }

    // Without a host left the request fails at the next tick.
    void moveToNextHost(time_point now, forwarded_job& job)
    {
        job.host.clear();
        while (job.triedHosts.size() < settings.maxHosts) {
            const std::string next = nextHost(now, job);
            if (next.empty())
                return;
            job.triedHosts.insert(next);
            job.host = next;
            job.incarnation = peers.find(next)->incarnation;
            job.resendInterval = settings.firstResendAfter;
            if (sendToHost(now, job))
                return;
            job.host.clear();
        }
    }

    std::string nextHost(time_point now, const forwarded_job& job) const
    {
        std::vector<std::string> hosts = peers.hostsFor(now, job.zone);
        std::erase_if(hosts, [&job](const std::string& host) { return job.triedHosts.contains(host); });
        const auto& submission = job.message.job.submission;
        const auto best = std::max_element(hosts.begin(), hosts.end(),
            [&submission](const auto& left, const auto& right) { return rendezvousWeight(submission, left) < rendezvousWeight(submission, right); });
        return best == hosts.end() ? std::string() : *best;
    }

    bool isHostLost(time_point now, const forwarded_job& job) const
    {
        return !peers.isAlive(now, job.host) || peers.find(job.host)->incarnation != job.incarnation;
    }

    // What the caller is told when nobody can answer; nothing while there is hope.
    std::optional<job_answer> step(time_point now, forwarded_job& job)
    {
        if (now >= job.deadlineAt + settings.answerGrace)
            return failure(error_kind::timed_out, "no answer from host " + job.host);
        if (job.zone.empty() && isHostLost(now, job))
            return failure(error_kind::coordinator_lost, "host " + job.host);
        if (!job.zone.empty() && (job.host.empty() || isHostLost(now, job)))
            moveToNextHost(now, job);
        if (job.host.empty())
            return unreachable(job);
        if (now >= job.resendAt)
            sendToHost(now, job);
        return std::nullopt;
    }

    static job_answer unreachable(const forwarded_job& job)
    {
        // The message keeps the caller's mark exactly as long as nothing was sent on.
        const bool isProvedFirst = !job.wasSentOn && job.message.job.firstAttempt;
        return failure(isProvedFirst ? error_kind::zone_unreachable_first_attempt : error_kind::zone_unreachable, "zone " + job.zone);
    }

    void finish(std::uint64_t request, job_answer answer)
    {
        const auto found = requests.find(request);
        const answer_hook onAnswer = std::move(found->second.onAnswer);
        requests.erase(found);
        onAnswer(std::make_shared<const job_answer>(std::move(answer)));
    }

    const forwarder_settings settings;
    const peer_table& peers;
    const send_hook send;
    std::unordered_map<std::uint64_t, forwarded_job> requests;
    std::uint64_t lastRequest = 0;
};

job_forwarder::job_forwarder(forwarder_settings settings, const peer_table& peers, send_hook send)
    : m_impl(std::make_unique<impl>(settings, peers, std::move(send)))
{
}

job_forwarder::~job_forwarder() = default;

bool job_forwarder::hasHostFor(const std::string& zone) const
{
    return !m_impl->peers.hostsFor(steadyNow(), zone).empty();
}

std::uint64_t job_forwarder::forwardToZone(const std::string& zone, job_request job, std::uint32_t hops, bool isDetached, answer_hook onAnswer)
{
    forwarded_job forwarded;
    forwarded.zone = zone;
    forwarded.message = { 0, hops, isDetached, std::move(job) };
    forwarded.onAnswer = std::move(onAnswer);
    return m_impl->add(std::move(forwarded));
}

std::uint64_t job_forwarder::forwardToHost(const std::string& host, std::uint64_t incarnation, job_request job, std::uint32_t hops, answer_hook onAnswer)
{
    forwarded_job forwarded;
    forwarded.host = host;
    forwarded.incarnation = incarnation;
    forwarded.message = { 0, hops, false, std::move(job) };
    forwarded.onAnswer = std::move(onAnswer);
    return m_impl->add(std::move(forwarded));
}

void job_forwarder::withdraw(std::uint64_t request)
{
    const auto found = m_impl->requests.find(request);
    if (found == m_impl->requests.end())
        return;
    m_impl->send(found->second.host, protocol::job_withdrawal { request, false });
    m_impl->requests.erase(found);
}

void job_forwarder::cancel(std::uint64_t request)
{
    const auto found = m_impl->requests.find(request);
    if (found != m_impl->requests.end())
        m_impl->send(found->second.host, protocol::job_withdrawal { request, true });
}

void job_forwarder::onAnswer(std::string_view host, protocol::job_forward_answer answer)
{
    const auto found = m_impl->requests.find(answer.requestId);
    if (found == m_impl->requests.end() || found->second.message.job.submission != answer.submission)
        return;
    forwarded_job& job = found->second;
    if (isDrainingRefusal(answer.answer) && !job.zone.empty()) {
        if (job.host == host)
            m_impl->moveToNextHost(steadyNow(), job);
        return;
    }
    m_impl->finish(answer.requestId, std::move(answer.answer));
}

void job_forwarder::tick()
{
    const time_point now = steadyNow();
    std::vector<std::pair<std::uint64_t, job_answer>> ended;
    for (auto& [request, job] : m_impl->requests) {
        if (auto answer = m_impl->step(now, job))
            ended.emplace_back(request, std::move(*answer));
    }
    for (auto& [request, answer] : ended)
        m_impl->finish(request, std::move(answer));
}

std::size_t job_forwarder::openRequests() const
{
    return m_impl->requests.size();
}

std::string homeZone(const job_request& job, const std::vector<std::string>& zones)
{
    if (!job.zone.empty())
        return job.zone;
    return zones[XXH3_64bits(job.submission.data, job.submission.size()) % zones.size()];
}

} // namespace jackdaw::entry
