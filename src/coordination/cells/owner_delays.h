// Delays of cells' owners, as last gossiped, and the choice of another cell for a job whose home cell's owner is overloaded.
//
// Load pattern: an owner whose CPU is used up answers late although its upstreams have free capacity. An event waits as long
// as the owner's delay before each start and each end of a task.
#pragma once

#include "coordination/cells/spill_targets.h"
#include "protocol/cell_messages.h"
#include "protocol/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jackdaw::cells {

using protocol::duration;
using protocol::time_point;

// Moving average of the delay of this host's event loop.
class loop_delay {
public:
    // A timer that was due at the given time has run now.
    void onTimer(time_point now, time_point due);
    std::uint32_t averageMs() const;

private:
    double m_averageMs = 0;
    time_point m_lastAt;
};

class owner_delays {
public:
    // Returns false and changes nothing if the delay is not plausible, that is, over a minute.
    bool onGossip(time_point now, std::string_view host, std::uint32_t delayMs);

    // Zero if the host has announced none within the last second.
    duration delayOf(time_point now, std::string_view host) const;

private:
    struct known_delay {
        duration delay {};
        time_point heardAt;
    };
    std::map<std::string, known_delay, std::less<>> m_delays; // by host; only delays above zero that are not too old
};

// Whether the delay of the home cell's owner is too high for a job of this objective.
bool isDelayHigh(duration delay, duration objective);

struct cell_delay {
    duration ownerDelay {};
    bool isOwnZone = false;
};

// Returns the cell for a job that has not been sent yet, and deducts the job from that cell's free capacity. Empty if the job
// stays in its home cell: the delay of that cell's owner is not high, or no cell with free capacity has an owner with at most
// half of this delay. Cells of the own zone are preferred. delayOfCell: empty for cells that may not take the job.
std::string findLessDelayedCell(time_point now, const protocol::job_order& job, duration homeDelay, spill_targets& targets, const std::function<std::optional<cell_delay>(std::string_view cell)>& delayOfCell);

} // namespace jackdaw::cells
