// Whether an upstream is trusted with work: it is ejected after failures in a row, probed at growing intervals, and
// gets its slots back step by step.
#pragma once

#include "protocol/time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

namespace jackdaw::coordination {

class upstream_health {
public:
    // How many slots may be used at once, out of any number.
    std::uint32_t allowedSlots() const { return m_allowedSlots; }
    bool isUnrestricted() const { return m_allowedSlots > slowStartLimit; }
    bool isEjected() const { return m_ejected; }
    bool shouldEject() const { return !m_ejected && m_failuresInRow >= (m_isProbing ? 1 : failuresToEject); }

    void recordSuccess()
    {
        m_failuresInRow = 0;
        m_isProbing = false;
        m_allowedSlots = m_allowedSlots > slowStartLimit ? std::numeric_limits<std::uint32_t>::max() : m_allowedSlots * 2;
        if (m_allowedSlots > slowStartLimit)
            m_probeInterval = firstProbeInterval;
    }

    void recordFailure()
    {
        ++m_failuresInRow;
        m_allowedSlots = std::max<std::uint32_t>(1, std::min(m_allowedSlots, slowStartLimit) / 2);
    }

    // Returns how long to wait for the next probe.
    protocol::duration eject()
    {
        m_ejected = true;
        const protocol::duration wait = m_probeInterval;
        m_probeInterval = std::min(m_probeInterval * 2, maxProbeInterval);
        return wait;
    }

    // Lets one task through; a failure of it ejects at once.
    void beginProbe()
    {
        m_ejected = false;
        m_isProbing = true;
        m_failuresInRow = 0;
        m_allowedSlots = 1;
    }

private:
    static constexpr std::uint32_t failuresToEject = 3;
    static constexpr std::uint32_t slowStartLimit = 64; // slots; above, there is no limit
    static constexpr protocol::duration firstProbeInterval = std::chrono::seconds(1);
    static constexpr protocol::duration maxProbeInterval = std::chrono::seconds(60);

    std::uint32_t m_allowedSlots = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t m_failuresInRow = 0;
    protocol::duration m_probeInterval = firstProbeInterval;
    bool m_ejected = false;
    bool m_isProbing = false;
};

} // namespace jackdaw::coordination
