// Outlier detection for one upstream: it is ejected after consecutive failures, probed at increasing intervals, and
// regains its slots by slow start.
#pragma once

#include "protocol/time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

namespace jackdaw::coordination {

class upstream_health {
public:
    // The limit of slots in use at once; the maximum of the type when unrestricted.
    std::uint32_t allowedSlots() const { return m_allowedSlots; }
    bool isUnrestricted() const { return m_allowedSlots > slowStartLimit; }
    bool isEjected() const { return m_ejected; }
    bool shouldEject() const { return !m_ejected && m_failuresInRow >= (m_isProbing ? 1 : failuresToEject); }

    // Doubles the slot limit. If the limit exceeds slowStartLimit already, it is lifted.
    void recordSuccess()
    {
        m_failuresInRow = 0;
        m_isProbing = false;
        m_allowedSlots = m_allowedSlots > slowStartLimit ? std::numeric_limits<std::uint32_t>::max() : m_allowedSlots * 2;
        if (m_allowedSlots > slowStartLimit)
            m_probeInterval = firstProbeInterval;
    }

    // Halves the slot limit; one above slowStartLimit becomes half of slowStartLimit.
    void recordFailure()
    {
        ++m_failuresInRow;
        m_allowedSlots = std::max<std::uint32_t>(1, std::min(m_allowedSlots, slowStartLimit) / 2);
    }

    // Returns the time until the next probe, and doubles the interval of the one after it.
    protocol::duration eject()
    {
        m_ejected = true;
        const protocol::duration wait = m_probeInterval;
        m_probeInterval = std::min(m_probeInterval * 2, maxProbeInterval);
        return wait;
    }

    // Allows one task at a time; a failure ejects the upstream again at once.
    void beginProbe()
    {
        m_ejected = false;
        m_isProbing = true;
        m_failuresInRow = 0;
        m_allowedSlots = 1;
    }

private:
    static constexpr std::uint32_t failuresToEject = 3;
    static constexpr std::uint32_t slowStartLimit = 64; // slots; a limit above it counts as unrestricted
    static constexpr protocol::duration firstProbeInterval = std::chrono::seconds(1);
    static constexpr protocol::duration maxProbeInterval = std::chrono::seconds(60);

    std::uint32_t m_allowedSlots = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t m_failuresInRow = 0;
    protocol::duration m_probeInterval = firstProbeInterval;
    bool m_ejected = false;
    bool m_isProbing = false;
};

} // namespace jackdaw::coordination
