// What a stopping cell host does when.
#include "apps/cell_host/stop_schedule.h"

#include "transport/http_server.h"

#include <algorithm>
#include <utility>

namespace jackdaw::cell_host {

using protocol::duration;
using std::chrono::milliseconds;

namespace {

    constexpr duration probeInterval = milliseconds(1000); // of the load balancer, which decides on a host's use once in it
    constexpr duration readinessLag = milliseconds(2500); // two failed probes, one interval apart, and half of one
    constexpr duration stopMargin = milliseconds(300); // left for responses and for cancelling tasks before the process is killed
    constexpr duration killMargin = milliseconds(100); // the process ends by itself before it is killed
    constexpr duration maxCallerWait = milliseconds(1700); // 1.5 s, and 200 ms for a loop that runs late
    constexpr duration listenMargin = stopMargin + transport::http_server::firstRequestTime; // the last connection may bring its request after that time
    // The callers' response, the message to the owner and the log lines: 85 us for a call with its response (docs/CAPACITY.md), twice, and a tenth more.
    constexpr duration answerProcessorTime = std::chrono::microseconds(190);
    constexpr duration maxAnswerTime = milliseconds(1000); // all callers together; jobs are to keep the better part of the time for which they were taken
    constexpr std::uint32_t millicoresPerCore = 1000;

} // namespace

stop_schedule::stop_schedule(duration gracePeriod, std::uint32_t processorMillicores)
    : m_gracePeriod(gracePeriod)
    , m_answerTime(answerProcessorTime * millicoresPerCore / std::clamp<std::uint32_t>(processorMillicores, 1, millicoresPerCore))
{
}

duration stop_schedule::timeToAnswer(std::size_t jobs) const
{
    return std::min<duration>(m_answerTime * jobs, maxAnswerTime);
}

stop_schedule::step stop_schedule::next(const state& now)
{
    if (std::exchange(m_connectionsAccepted, now.connectionsAccepted) != now.connectionsAccepted)
        m_lastAccepted = now.since;
    const bool isBalancerInformed = now.since >= readinessLag;
    const bool hasWork = now.openJobs > 0 || now.openConnections > 0;
    const bool isQuiet = now.since - m_lastAccepted >= probeInterval && !hasWork;
    step out;
    out.closesIdleConnections = isBalancerInformed;
    out.refusesJobs = now.since >= m_gracePeriod - stopMargin - maxCallerWait;
    out.stopsAccepting = (isBalancerInformed && (isQuiet || (out.refusesJobs && now.openJobs == 0))) || now.since >= m_gracePeriod - listenMargin;
    m_hasAbandonedJobs = m_hasAbandonedJobs || now.since >= m_gracePeriod - stopMargin - timeToAnswer(now.openJobs);
    out.abandonsJobs = m_hasAbandonedJobs;
    out.ends = (!now.isAccepting && !hasWork) || now.since >= m_gracePeriod - killMargin;
    return out;
}

} // namespace jackdaw::cell_host
