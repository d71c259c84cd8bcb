// Writes log lines to a descriptor without ever waiting for its reader, and not more of them than a bound.
#pragma once

#include "protocol/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jackdaw::state::internal {

class line_writer {
public:
    // maxLinesPerSecond 0: no bound.
    line_writer(int descriptor, std::uint32_t maxLinesPerSecond);

    // Writes the line, or counts it as left out: over the bound, or nobody reads. Before the next line that is written, one
    // line says how many were left out and why. isUrgent: the bound does not hold. Not thread-safe.
    void write(std::string_view line, bool isUrgent, protocol::time_point now);

    std::uint64_t linesLeftOut() const { return m_leftOut; }

private:
    bool hasRoom() const;
    bool put(std::string_view text);
    bool reportLeftOut();
    bool isOverBound(protocol::time_point now);

    int m_descriptor;
    std::uint32_t m_maxLinesPerSecond;
    protocol::time_point m_secondStart;
    std::uint32_t m_linesInSecond = 0;
    std::uint64_t m_overBound = 0; // since the last report
    std::uint64_t m_unread = 0; // since the last report
    std::uint64_t m_leftOut = 0;
};

} // namespace jackdaw::state::internal
