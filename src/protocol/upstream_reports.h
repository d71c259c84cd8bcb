// Tells an upstream's own reports from those of other senders under its id.
#pragma once

#include "protocol/cell_messages.h"
#include "protocol/time.h"

#include <cstddef>
#include <optional>

namespace jackdaw::protocol {

// The reports of one upstream that were taken as its own, without its answers to calls.
//
// Address, service, zone and labels do not change within one process lifetime, and the sequence rises with each report. A report that
// breaks this comes from another sender and is not taken, until a second one continues it: then the reports taken before were
// another sender's. A changed capacity is taken at once if the sequence continues, and withdrawn by the next report that doesn't have it.
class report_history {
public:
    report_history(upstream_report first, time_point now);

    // Returns whether the report is taken, so that latest() has changed. A late report is taken only if it says that the upstream leaves.
    bool accept(time_point now, const upstream_report& report);

    // The upstream has ended; the result is newer than all reports taken so far.
    void markLeaving();

    // The last report taken. Once the upstream has reported that it leaves, this stays so for the process lifetime.
    const upstream_report& latest() const { return m_latest; }

private:
    bool take(time_point now, const upstream_report& report, bool isSettled);
    bool acceptLate(const upstream_report& report);
    bool acceptContradicting(time_point now, const upstream_report& report);

    upstream_report m_latest;
    upstream_report m_settled; // the last report taken without its capacity being in doubt
    time_point m_receivedAt; // of m_latest
    std::size_t m_taken = 1; // reports of this process lifetime
    std::optional<upstream_report> m_contradicting; // the last report that was not taken, and not late
    time_point m_contradictedAt; // valid with m_contradicting
};

} // namespace jackdaw::protocol
