// Compares each new state with the known one.
#include "coordination/cells/evacuated_zones.h"

#include "coordination/cells/zone_cells.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jackdaw::cells {

using protocol::error_kind;
using protocol::makeError;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

    constexpr std::size_t maxNameBytes = 255; // as in upstreams' reports

} // namespace

protocol::result<void> checkEvacuationState(const protocol::evacuation_state& state)
{
    if (state.rows.size() > evacuated_zones::maxZones)
        return makeError(error_kind::malformed_request, "evacuations of too many zones");
    if (state.number == 0 && !state.rows.empty())
        return makeError(error_kind::malformed_request, "evacuations without a number");
    std::set<std::string_view> zones;
    for (const protocol::evacuation_row& row : state.rows) {
        if (row.zone.empty() || row.zone.size() > maxNameBytes || row.zone.find(cellSeparator) != std::string::npos)
            return makeError(error_kind::malformed_request, "evacuation of a zone with an impossible name");
        if (!zones.insert(row.zone).second)
            return makeError(error_kind::malformed_request, "evacuation of a zone that is named twice");
    }
    return boost::outcome_v2::success();
}

std::vector<evacuation_change> evacuated_zones::apply(time_point now, time_point readAt, const protocol::evacuation_state& state)
{
    std::vector<evacuation_change> changes;
    if (state.number <= m_number)
        return changes;
    m_number = state.number;
    std::map<std::string, known_zone, std::less<>> next;
    for (const protocol::evacuation_row& row : state.rows) {
        const auto known = m_zones.find(row.zone);
        const bool wasEvacuated = known != m_zones.end() && known->second.isEvacuated;
        if (wasEvacuated && row.isEvacuated) {
            next.emplace(row.zone, known->second); // the time that begun jobs have does not start anew
            continue;
        }
        const time_point storedAt = readAt - milliseconds(row.storedMsAgo);
        const bool hasTime = now - storedAt <= maxAgeForStarts;
        next.emplace(row.zone, known_zone { row.isEvacuated, storedAt, hasTime ? now + startTimeOfBegunJobs : now });
        if (wasEvacuated != row.isEvacuated)
            changes.push_back({ row.zone, row.isEvacuated });
    }
    for (const auto& [zone, known] : m_zones) {
        if (known.isEvacuated && !next.contains(zone))
            changes.push_back({ zone, false });
    }
    m_zones = std::move(next);
    return changes;
}

bool evacuated_zones::isEvacuated(std::string_view zone) const
{
    const auto known = m_zones.find(zone);
    return known != m_zones.end() && known->second.isEvacuated;
}

std::size_t evacuated_zones::evacuatedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_zones.begin(), m_zones.end(), [](const auto& item) { return item.second.isEvacuated; }));
}

std::optional<time_point> evacuated_zones::startsUntil(std::string_view zone) const
{
    const auto known = m_zones.find(zone);
    if (known == m_zones.end() || !known->second.isEvacuated)
        return std::nullopt;
    return known->second.startsUntil;
}

protocol::evacuation_state evacuated_zones::message(time_point now) const
{
    protocol::evacuation_state state { m_number, {} };
    for (const auto& [zone, known] : m_zones) {
        const std::int64_t age = duration_cast<milliseconds>(now - known.storedAt).count();
        state.rows.push_back({ zone, known.isEvacuated, static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX)) });
    }
    return state;
}

} // namespace jackdaw::cells
