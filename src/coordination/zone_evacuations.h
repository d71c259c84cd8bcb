// Replicated state machine of the evacuation orders: the zones on whose upstreams nothing more may be started.
//
// Every replica applies the same orders in the same order and reaches the same state; nothing here reads a clock. The time of an
// order comes with it.
#pragma once

#include "protocol/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::coordination {

// An operator's order to evacuate a zone, or to withdraw the evacuation.
struct zone_order {
    std::string zone;
    bool isEvacuated = false; // false: the order in force is withdrawn
    std::int64_t orderedUnixMs = 0; // wall clock of the leader that proposed the order

    friend bool operator==(const zone_order&, const zone_order&) = default;
};

// The last change of one zone.
struct zone_evacuation {
    std::string zone;
    bool isEvacuated = false;
    std::uint64_t number = 0; // of the change; 1 is the first change of any zone
    std::int64_t orderedUnixMs = 0;

    friend bool operator==(const zone_evacuation&, const zone_evacuation&) = default;
};

enum class zone_order_outcome : std::uint8_t {
    changed,
    unchanged, // the zone already was as ordered
    refused // no room for another zone
};

// Names consist of letters, digits, '.', '_' and '-', so that they are one segment of a URL path and no name of a cell of a divided
// zone, which contains '#'.
bool isZoneName(std::string_view name);

class zone_evacuations {
public:
    // Zones with a change. Withdrawn ones are forgotten for others, the oldest first.
    static constexpr std::size_t maxZones = 64;

    zone_order_outcome apply(const zone_order& order);

    std::uint64_t number() const { return m_number; } // of the last change; 0: none yet
    const std::vector<zone_evacuation>& zones() const { return m_zones; } // by the number of the last change
    bool isEvacuated(std::string_view zone) const;
    std::size_t evacuatedCount() const;

    // corrupt_data if the numbers do not rise, exceed the last one, or a zone occurs twice.
    static protocol::result<zone_evacuations> restore(std::uint64_t number, std::vector<zone_evacuation> zones);

    friend bool operator==(const zone_evacuations&, const zone_evacuations&) = default;

private:
    std::uint64_t m_number = 0;
    std::vector<zone_evacuation> m_zones;
};

} // namespace jackdaw::coordination
