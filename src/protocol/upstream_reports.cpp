// Rules for reports that differ from those before.
#include "protocol/upstream_reports.h"

#include <chrono>
#include <tuple>
#include <utility>

namespace jackdaw::protocol {
namespace {

    // The sequence rises with each attempt to report, also to hosts that don't answer: three every 1.5 s. A control host hears only a share.
    constexpr std::uint64_t maxSequenceStep = 16;
    constexpr std::uint64_t maxReportsPerSecond = 8;

    bool isSameProcess(const upstream_report& report, const upstream_report& other)
    {
        const auto fixed = [](const upstream_report& item) { return std::tie(item.startedUnixMs, item.service, item.address, item.zone, item.labels); };
        return fixed(report) == fixed(other);
    }

    bool continues(const upstream_report& report, const upstream_report& earlier, std::chrono::nanoseconds after)
    {
        const auto seconds = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(after).count());
        return report.sequence > earlier.sequence && report.sequence - earlier.sequence <= maxSequenceStep + seconds * maxReportsPerSecond;
    }

} // namespace

report_history::report_history(upstream_report first, time_point now)
    : m_latest(std::move(first))
    , m_settled(m_latest)
    , m_receivedAt(now)
{
}

bool report_history::accept(time_point now, const upstream_report& report)
{
    const bool isOverdue = now - m_receivedAt >= reportPrecedenceTime;
    if (report.startedUnixMs != m_latest.startedUnixMs) {
        if (report.startedUnixMs < m_latest.startedUnixMs && !isOverdue)
            return false;
        *this = report_history(report, now);
        return true;
    }
    if (isOverdue)
        return take(now, report, true);
    const bool isSame = isSameProcess(report, m_settled);
    if (isSame && report.sequence <= m_settled.sequence)
        return acceptLate(report);
    if (!isSame || !continues(report, m_settled, now - m_receivedAt))
        return acceptContradicting(now, report);
    if (report.capacity == m_settled.capacity)
        return take(now, report, true);
    const bool isRepeated = report.capacity == m_latest.capacity;
    if (isRepeated && report.sequence <= m_latest.sequence)
        return acceptLate(report);
    return take(now, report, isRepeated);
}

void report_history::markLeaving()
{
    ++m_latest.sequence;
    m_latest.isLeaving = true;
    m_settled = m_latest;
}

bool report_history::take(time_point now, const upstream_report& report, bool isSettled)
{
    const bool isLeaving = report.isLeaving || m_latest.isLeaving;
    m_latest = report;
    m_latest.isLeaving = isLeaving;
    if (isSettled)
        m_settled = m_latest;
    m_receivedAt = now;
    m_contradicting.reset();
    ++m_taken;
    return true;
}

bool report_history::acceptLate(const upstream_report& report)
{
    if (!report.isLeaving || m_latest.isLeaving)
        return false;
    m_latest.isLeaving = true;
    return true;
}

bool report_history::acceptContradicting(time_point now, const upstream_report& report)
{
    const bool isSecond = m_contradicting && isSameProcess(report, *m_contradicting) && continues(report, *m_contradicting, now - m_contradictedAt);
    if (!isSecond) {
        m_contradicting = report;
        m_contradictedAt = now;
        return false;
    }
    if (m_taken == 1) // nothing has continued the only report taken, which came from another sender
        m_latest.isLeaving = false;
    return take(now, report, true);
}

} // namespace jackdaw::protocol
