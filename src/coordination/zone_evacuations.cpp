// Applies orders in log order and numbers the changes.
#include "coordination/zone_evacuations.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jackdaw::coordination {

using protocol::error_kind;
using protocol::makeError;
using protocol::result;

namespace {

    constexpr std::size_t maxNameBytes = 255; // as in upstreams' reports

    bool isNameCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    }

} // namespace

bool isZoneName(std::string_view name)
{
    return !name.empty() && name.size() <= maxNameBytes && std::all_of(name.begin(), name.end(), isNameCharacter);
}

zone_order_outcome zone_evacuations::apply(const zone_order& order)
{
    if (isEvacuated(order.zone) == order.isEvacuated)
        return zone_order_outcome::unchanged;
    auto known = std::find_if(m_zones.begin(), m_zones.end(), [&](const zone_evacuation& zone) { return zone.zone == order.zone; });
    if (known == m_zones.end() && m_zones.size() == maxZones) {
        known = std::find_if(m_zones.begin(), m_zones.end(), [](const zone_evacuation& zone) { return !zone.isEvacuated; });
        if (known == m_zones.end())
            return zone_order_outcome::refused;
    }
    if (known != m_zones.end())
        m_zones.erase(known);
    m_zones.push_back({ order.zone, order.isEvacuated, ++m_number, order.orderedUnixMs });
    return zone_order_outcome::changed;
}

bool zone_evacuations::isEvacuated(std::string_view zone) const
{
    return std::any_of(m_zones.begin(), m_zones.end(), [zone](const zone_evacuation& known) { return known.zone == zone && known.isEvacuated; });
}

std::size_t zone_evacuations::evacuatedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_zones.begin(), m_zones.end(), [](const zone_evacuation& zone) { return zone.isEvacuated; }));
}

result<zone_evacuations> zone_evacuations::restore(std::uint64_t number, std::vector<zone_evacuation> zones)
{
    std::uint64_t last = 0;
    std::set<std::string_view> names;
    for (const zone_evacuation& zone : zones) {
        if (zone.number <= last || zone.number > number || !names.insert(zone.zone).second)
            return makeError(error_kind::corrupt_data, "evacuations with a wrong number or a repeated zone");
        last = zone.number;
    }
    if (zones.size() > maxZones)
        return makeError(error_kind::corrupt_data, "evacuations of too many zones");
    zone_evacuations out;
    out.m_number = number;
    out.m_zones = std::move(zones);
    return out;
}

} // namespace jackdaw::coordination
