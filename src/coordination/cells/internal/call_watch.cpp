// Order and times of answers.
#include "coordination/cells/internal/call_watch.h"

#include <algorithm>
#include <chrono>

namespace jackdaw::cells::internal {
namespace {

    using std::chrono::milliseconds;

    constexpr duration minAnswerTime = milliseconds(40); // twenty round trips
    constexpr duration reorderWindow = milliseconds(20); // upstreams that answer at different speeds reorder answers by less

    constexpr duration maxLinkWait = milliseconds(600); // a call that waits longer does not wait for its link alone

    // As for retransmissions in TCP (RFC 6298).
    constexpr int meanShare = 8;
    constexpr int deviationShare = 4;
    constexpr int deviations = 4;

} // namespace

void call_watch::onEnded(time_point now, time_point sentAt, bool isAnswered)
{
    if (const auto pending = m_pending.find(sentAt); pending != m_pending.end())
        m_pending.erase(pending);
    // An answer that comes after those to later calls says nothing of the link: its upstream was late.
    if (!isAnswered || sentAt < m_newestAnswered)
        return;
    const duration took = now - sentAt;
    m_deviation += (std::chrono::abs(took - m_meanTime) - m_deviation) / deviationShare;
    m_lastTime = took;
    m_meanTime += (took - m_meanTime) / meanShare;
    m_newestAnswered = sentAt;
    m_lastAnswerAt = now;
}

bool call_watch::isUnanswered(time_point now, time_point sentAt, duration limit) const
{
    const duration age = now - sentAt;
    if (age < minAnswerTime)
        return false;
    if (age >= limit || m_newestAnswered >= sentAt + reorderWindow)
        return true;
    const auto later = m_pending.upper_bound(sentAt + reorderWindow);
    if (later != m_pending.end() && now - *later >= minAnswerTime)
        return false;
    return now - std::max(sentAt, m_lastAnswerAt) >= answerTime();
}

duration call_watch::expectedWait(time_point now) const
{
    const auto isWaiting = [this, now](time_point sentAt) { return !isUnanswered(now, sentAt, maxLinkWait); };
    const auto oldest = std::find_if(m_pending.upper_bound(m_newestAnswered), m_pending.end(), isWaiting);
    const duration sinceSent = oldest == m_pending.end() ? duration::zero() : now - *oldest;
    // The queue that the last answered call met drains while nothing is added to it.
    return std::max(sinceSent, m_lastTime - (now - m_lastAnswerAt));
}

duration call_watch::answerTime() const
{
    return std::max(minAnswerTime, m_meanTime + deviations * m_deviation);
}

} // namespace jackdaw::cells::internal
