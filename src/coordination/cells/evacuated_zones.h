// The evacuated zones as an entry host knows them, from control hosts or from other entry hosts. The change with the highest number
// is in force, also while nobody can be reached.
#pragma once

#include "protocol/cell_messages.h"
#include "protocol/result.h"
#include "protocol/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::cells {

using protocol::duration;
using protocol::time_point;

struct evacuation_change {
    std::string zone;
    bool isEvacuated = false;
};

// malformed_request for too many zones, an impossible name, a repeated zone, or zones without a number.
protocol::result<void> checkEvacuationState(const protocol::evacuation_state& state);

class evacuated_zones {
public:
    static constexpr std::size_t maxZones = 64; // in one message; as many as the control group keeps

    // Time in which a job that has begun may start its remaining tasks, after this host learned of the order.
    static constexpr duration startTimeOfBegunJobs = std::chrono::milliseconds(1000);
    // An order that was stored longer ago than this when the host learns of it leaves begun jobs no time.
    static constexpr duration maxAgeForStarts = std::chrono::milliseconds(1500);

    // Applies a state that checkEvacuationState() accepts. Returns the zones whose evacuation begins or ends here; none if the state is
    // not newer than the known one. storedMsAgo is counted back from readAt, the earliest time at which the message can have arrived.
    std::vector<evacuation_change> apply(time_point now, time_point readAt, const protocol::evacuation_state& state);

    std::uint64_t number() const { return m_number; } // of the last known change; 0: none
    bool isEvacuated(std::string_view zone) const;
    std::size_t evacuatedCount() const;

    // Until when jobs that have begun may start tasks in the zone; no later than 2.5 s after the order was stored. Empty: the zone is not
    // evacuated.
    std::optional<time_point> startsUntil(std::string_view zone) const;

    // For a host that knows of an earlier change.
    protocol::evacuation_state message(time_point now) const;

private:
    struct known_zone {
        bool isEvacuated = false;
        time_point storedAt;
        time_point startsUntil; // valid while isEvacuated
    };

    std::uint64_t m_number = 0;
    std::map<std::string, known_zone, std::less<>> m_zones;
};

} // namespace jackdaw::cells
