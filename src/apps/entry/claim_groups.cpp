// Drives the claim services by the decision loop's clock and the mesh.
#include "apps/entry/claim_groups.h"

#include "apps/entry/next_timer.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace jackdaw::entry {

using coordination::claim_result;
using coordination::claim_service;
using coordination::claim_verdict;
using protocol::steadyNow;
using protocol::time_point;

namespace {

    constexpr std::size_t votersOfGroup = 3;

    // Names a group in messages. A zone has one group so far.
    std::string groupOf(const std::string& zone)
    {
        return zone + "/0";
    }

    claim_outcome toOutcome(const claim_result& result)
    {
        switch (result.verdict) {
        case claim_verdict::granted:
            return { claim_state::granted, {}, 0 };
        case claim_verdict::held:
            return { claim_state::held, result.holder.host, result.holder.incarnation };
        case claim_verdict::mismatch:
            return { claim_state::mismatch, {}, 0 };
        case claim_verdict::too_old:
            return { claim_state::too_old, {}, 0 };
        case claim_verdict::from_future:
            return { claim_state::from_future, {}, 0 };
        case claim_verdict::unavailable:
            break;
        }
        return { result.isProvedUnclaimed ? claim_state::unavailable_first_attempt : claim_state::unavailable, {}, 0 };
    }

    // One group, and the claims of it that are asked for.
    class claim_group {
    public:
        claim_group(transport::event_loop& decisions, const std::string& zone, coordination::claim_service_settings settings,
            const claim_groups::send_hook& send)
            : m_loop(decisions)
            , m_timer(decisions, [this](time_point now) { advance(now); })
            , m_service(std::move(settings), hooks(groupOf(zone), send), steadyNow())
        {
            m_timer.arm(m_service.nextTimer());
        }

        void claim(const protocol::job_request& job, claim_completion onOutcome)
        {
            m_waiting[job.submission].push_back({ job.bodyHash, std::move(onOutcome) });
            m_service.claim(steadyNow(), job.submission, job.bodyHash, job.firstAttempt);
            advanceSoon();
        }

        void take(const std::string& host, std::string_view bytes)
        {
            m_service.step(steadyNow(), host, bytes);
            advanceSoon();
        }

        void startDrain()
        {
            m_service.startLeaving(steadyNow());
            advanceSoon();
        }

        bool hasLeft() const { return m_service.hasLeft(); }

        coordination::claim_service_status status() const { return m_service.status(); }

    private:
        struct waiting_claim {
            std::uint64_t bodyHash = 0;
            claim_completion onOutcome;
        };

        coordination::claim_service_hooks hooks(std::string group, const claim_groups::send_hook& send)
        {
            coordination::claim_service_hooks out;
            out.send = [group = std::move(group), &send](const std::string& host, const std::string& bytes) {
                send(host, protocol::service_message { protocol::mesh_service::claims, bytes, group });
            };
            // Posted, because the owner of a claim may make another one.
            out.result = [this](const claim_result& result) { m_loop.post([this, result] { finish(result); }); };
            out.unixNow = [] { return protocol::unixNow(); };
            return out;
        }

        void finish(const claim_result& result)
        {
            const auto found = m_waiting.find(result.submission);
            if (found == m_waiting.end())
                return;
            const std::vector<waiting_claim> claims = std::move(found->second);
            m_waiting.erase(found);
            for (const waiting_claim& one : claims)
                one.onOutcome(one.bodyHash == result.bodyHash ? toOutcome(result) : claim_outcome { claim_state::mismatch, {}, 0 });
        }

        // Claims and messages of the same turn of the loop share one step.
        void advanceSoon()
        {
            if (std::exchange(m_isAdvanceQueued, true))
                return;
            m_loop.post([this] {
                m_isAdvanceQueued = false;
                advance(steadyNow());
            });
        }

        void advance(time_point now)
        {
            m_service.advance(now);
            m_timer.arm(m_service.nextTimer());
        }

        transport::event_loop& m_loop;
        next_timer m_timer;
        std::unordered_map<protocol::submission_id, std::vector<waiting_claim>> m_waiting;
        bool m_isAdvanceQueued = false;
        claim_service m_service;
    };

} // namespace

std::vector<std::string> claimVoters(const entry_settings& settings, const std::string& zone)
{
    std::vector<std::string> voters = settings.hostsOfZone(zone);
    if (voters.size() > votersOfGroup)
        voters.resize(votersOfGroup);
    if (voters.size() != votersOfGroup - 1)
        return voters;
    const auto own = std::find(settings.zones.begin(), settings.zones.end(), zone);
    const auto following = own + 1 == settings.zones.end() ? settings.zones.begin() : own + 1;
    const std::vector<std::string> witnesses = *following == zone ? std::vector<std::string> {} : settings.hostsOfZone(*following);
    if (!witnesses.empty())
        voters.push_back(witnesses.front());
    return voters;
}

class claim_groups::impl {
public:
    impl(transport::event_loop& decisions, const entry_settings& settings, std::uint64_t incarnation, std::uint64_t seed, send_hook sendHook)
        : send(std::move(sendHook))
        , ownGroup(groupOf(settings.zone))
    {
        for (const std::string& zone : settings.zones) {
            coordination::claim_service_settings group;
            group.host = settings.host;
            group.incarnation = incarnation;
            group.seed = seed;
            group.voters = claimVoters(settings, zone);
            const bool isVoter = std::find(group.voters.begin(), group.voters.end(), settings.host) != group.voters.end();
            isOwnVoter = isOwnVoter || (isVoter && zone == settings.zone);
            if (isVoter || zone == settings.zone)
                groups.emplace(groupOf(zone), std::make_unique<claim_group>(decisions, zone, std::move(group), send));
        }
    }

    const send_hook send; // referred to by the groups
    const std::string ownGroup;
    bool isOwnVoter = false; // in the group of this host's zone
    std::map<std::string, std::unique_ptr<claim_group>> groups;
};

claim_groups::claim_groups(transport::event_loop& decisions, const entry_settings& settings, std::uint64_t incarnation, std::uint64_t seed, send_hook send)
    : m_impl(std::make_unique<impl>(decisions, settings, incarnation, seed, std::move(send)))
{
}

claim_groups::~claim_groups() = default;

void claim_groups::claim(const protocol::job_request& job, claim_completion onOutcome)
{
    m_impl->groups.at(m_impl->ownGroup)->claim(job, std::move(onOutcome));
}

void claim_groups::take(std::string_view host, const protocol::service_message& message)
{
    const auto group = m_impl->groups.find(message.scope);
    if (group != m_impl->groups.end())
        group->second->take(std::string(host), message.bytes);
}

bool claim_groups::isReady() const
{
    // A host that is no voter has no copy of the table; it asks the voters.
    if (!m_impl->isOwnVoter)
        return true;
    const auto group = status();
    return group.leaderHost && group.knownSince <= protocol::unixNow();
}

void claim_groups::startDrain()
{
    for (const auto& [name, group] : m_impl->groups)
        group->startDrain();
}

bool claim_groups::hasLeft() const
{
    return std::ranges::all_of(m_impl->groups, [](const auto& group) { return group.second->hasLeft(); });
}

coordination::claim_service_status claim_groups::status() const
{
    return m_impl->groups.at(m_impl->ownGroup)->status();
}

} // namespace jackdaw::entry
