// Claim records by submission id. UUIDv7 ids sort by their time stamp, so the oldest records are first.
#include "coordination/claim_table.h"

#include "protocol/claim_codec.h"

#include <algorithm>
#include <map>
#include <vector>

namespace jackdaw::coordination {

using protocol::claim_answer;
using protocol::claim_command;
using protocol::claim_coordinator;
using protocol::claim_entry;
using protocol::claim_outcome;
using protocol::claim_snapshot;
using protocol::submission_id;
using protocol::unix_milliseconds;

class claim_table::impl {
public:
    explicit impl(claim_table_settings wanted)
        : settings(wanted)
    {
    }

    struct held_claim {
        std::uint64_t attempt = 0;
        std::uint64_t bodyHash = 0;
        std::uint32_t coordinator = 0; // index into coordinators
    };

    claim_table_settings settings;
    std::optional<unix_milliseconds> knownSince;
    unix_milliseconds time {}; // the latest time of all commands
    std::vector<claim_coordinator> coordinators; // without duplicates; snapshot() omits those without claims
    std::map<submission_id, held_claim> claims; // none created before knownSince

    std::uint32_t indexOf(const claim_coordinator& coordinator)
    {
        const auto found = std::ranges::find(coordinators, coordinator);
        const auto index = static_cast<std::uint32_t>(found - coordinators.begin());
        if (found == coordinators.end())
            coordinators.push_back(coordinator);
        return index;
    }

    void advanceTime(const claim_command& command)
    {
        if (!knownSince)
            knownSince = command.knownSince;
        time = std::max(time, command.time);
        if (!knownSince)
            return;
        knownSince = std::max(*knownSince, time - settings.retention);
        while (!claims.empty() && protocol::creationTime(claims.begin()->first) < *knownSince)
            claims.erase(claims.begin());
    }

    std::optional<claim_answer> find(const claim_coordinator& coordinator, const claim_entry& claim) const
    {
        const auto found = claims.find(claim.submission);
        if (found != claims.end())
            return answerFrom(found->second, coordinator, claim);
        if (knownSince && protocol::creationTime(claim.submission) < *knownSince)
            return claim_answer { claim.submission, claim.attempt, claim_outcome::too_old, {} };
        return std::nullopt;
    }

    claim_answer answerFrom(const held_claim& held, const claim_coordinator& coordinator, const claim_entry& claim) const
    {
        const claim_coordinator& holder = coordinators[held.coordinator];
        const bool isSame = holder == coordinator && held.attempt == claim.attempt;
        claim_outcome outcome = isSame ? claim_outcome::granted : claim_outcome::held;
        if (held.bodyHash != claim.bodyHash)
            outcome = claim_outcome::mismatch;
        return { claim.submission, claim.attempt, outcome, holder };
    }

    claim_answer apply(const claim_coordinator& coordinator, const claim_entry& claim)
    {
        if (const auto known = find(coordinator, claim))
            return *known;
        if (!knownSince)
            return { claim.submission, claim.attempt, claim_outcome::too_old, {} };
        if (protocol::creationTime(claim.submission) > time + settings.clockMargin)
            return { claim.submission, claim.attempt, claim_outcome::from_future, {} };
        claims.emplace(claim.submission, held_claim { claim.attempt, claim.bodyHash, indexOf(coordinator) });
        return { claim.submission, claim.attempt, claim_outcome::granted, coordinator };
    }
};

claim_table::claim_table(claim_table_settings settings)
    : m_impl(std::make_unique<impl>(settings))
{
}

claim_table::~claim_table() = default;
claim_table::claim_table(claim_table&&) noexcept = default;
claim_table& claim_table::operator=(claim_table&&) noexcept = default;

void claim_table::apply(const claim_command& command, const answer_hook& onAnswer)
{
    m_impl->advanceTime(command);
    for (const protocol::claim_batch& batch : command.batches) {
        for (const claim_entry& claim : batch.claims)
            onAnswer(batch.coordinator, m_impl->apply(batch.coordinator, claim));
    }
}

std::optional<claim_answer> claim_table::find(const claim_coordinator& coordinator, const claim_entry& claim) const
{
    return m_impl->find(coordinator, claim);
}

bool claim_table::isInitialized() const
{
    return m_impl->knownSince.has_value();
}

unix_milliseconds claim_table::knownSince() const
{
    return m_impl->knownSince.value_or(unix_milliseconds::max());
}

std::size_t claim_table::size() const
{
    return m_impl->claims.size();
}

std::string claim_table::snapshot() const
{
    claim_snapshot snapshot { m_impl->knownSince, m_impl->time, {}, {} };
    constexpr std::uint32_t unused = UINT32_MAX;
    std::vector<std::uint32_t> positions(m_impl->coordinators.size(), unused);
    snapshot.records.reserve(m_impl->claims.size());
    for (const auto& [submission, held] : m_impl->claims) {
        std::uint32_t& position = positions[held.coordinator];
        if (position == unused) {
            position = static_cast<std::uint32_t>(snapshot.coordinators.size());
            snapshot.coordinators.push_back(m_impl->coordinators[held.coordinator]);
        }
        snapshot.records.push_back({ submission, position, held.attempt, held.bodyHash });
    }
    return encode(snapshot);
}

protocol::result<void> claim_table::restore(std::string_view bytes)
{
    auto decoded = protocol::decodeClaimSnapshot(bytes);
    if (!decoded)
        return decoded.error();
    claim_snapshot& snapshot = decoded.value();
    m_impl->knownSince = snapshot.knownSince;
    m_impl->time = snapshot.time;
    m_impl->coordinators = std::move(snapshot.coordinators);
    m_impl->claims.clear();
    for (const protocol::claim_record& record : snapshot.records)
        m_impl->claims.emplace_hint(m_impl->claims.end(), record.submission, impl::held_claim { record.attempt, record.bodyHash, record.coordinator });
    return boost::outcome_v2::success();
}

} // namespace jackdaw::coordination
