// Outcomes and measures.
#include "apps/load/tally.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace jackdaw::load {
namespace {

    constexpr double microsecondsPerMillisecond = 1000;

    double rounded(double value)
    {
        constexpr double places = 10'000;
        return std::round(value * places) / places;
    }

} // namespace

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(std::clamp<std::size_t>(rank, 1, values.size()) - 1);
    std::ranges::nth_element(values, place);
    return *place;
}

void tally::recordComplete(std::size_t tasks, job_timing timing)
{
    ++m_jobs;
    ++m_complete;
    m_tasks += tasks;
    const double ideal = static_cast<double>(std::max<std::int64_t>(timing.ideal.count(), 1));
    m_slowdowns.push_back(static_cast<double>(timing.response.count()) / ideal);
    m_addedMs.push_back(static_cast<double>((timing.response - timing.ideal).count()) / microsecondsPerMillisecond);
}

void tally::recordFailure(std::size_t tasks, protocol::error_kind kind)
{
    ++m_jobs;
    m_tasks += tasks;
    const protocol::error_answer& row = protocol::errorAnswer(kind);
    ++m_failuresByKind[std::string(row.name)];
    if (row.ran == protocol::ran_state::no)
        ++m_refused;
}

void tally::recordUnanswered(std::size_t tasks)
{
    ++m_jobs;
    m_tasks += tasks;
    ++m_unanswered;
}

void tally::recordBroken(std::size_t tasks)
{
    ++m_jobs;
    m_tasks += tasks;
    ++m_broken;
}

void tally::recordResubmission(bool isComplete, bool isContradiction)
{
    ++m_resubmissions;
    if (isComplete)
        ++m_resubmissionsComplete;
    if (isContradiction)
        ++m_contradictions;
}

bool tally::isSound() const
{
    return m_broken == 0 && m_contradictions == 0 && m_untrueRefusals == 0;
}

// Two messages for each task, and two for each request of a caller. Tasks of failed jobs that never ran needed none: that
// is known when the stand-ins count starts.
double tally::needed(const upstream_counts& upstreams) const
{
    const std::uint64_t tasks = upstreams.started > 0 ? std::min(m_tasks, upstreams.started - upstreams.startedTwice) : m_tasks;
    return 2.0 * static_cast<double>(tasks) + 2.0 * static_cast<double>(m_jobs + m_resubmissions + m_cancels);
}

double tally::wastedPerTask(const message_counts& messages, const upstream_counts& upstreams) const
{
    return m_tasks == 0 ? 0 : (messages.total() - needed(upstreams)) / static_cast<double>(m_tasks);
}

nlohmann::ordered_json tally::summary(const message_counts& messages, const upstream_counts& upstreams) const
{
    return {
        { "jobs", m_jobs },
        { "complete", m_complete },
        { "failed", m_jobs - m_complete - m_refused },
        { "refused", m_refused },
        { "tasks", m_tasks },
        { "started_twice", upstreams.startedTwice },
        { "slowdown_p50", rounded(quantile(m_slowdowns, 0.5)) },
        { "slowdown_p99", rounded(quantile(m_slowdowns, 0.99)) },
        { "wasted_messages_per_task", rounded(wastedPerTask(messages, upstreams)) },
    };
}

nlohmann::ordered_json tally::details(const message_counts& messages, const upstream_counts& upstreams) const
{
    nlohmann::ordered_json out = summary(messages, upstreams);
    const double tasks = static_cast<double>(std::max<std::uint64_t>(m_tasks, 1));
    out["unanswered"] = m_unanswered;
    out["broken"] = m_broken;
    out["failures"] = m_failuresByKind;
    out["resubmissions"] = m_resubmissions;
    out["resubmissions_complete"] = m_resubmissionsComplete;
    out["contradictions"] = m_contradictions;
    out["cancels"] = m_cancels;
    out["untrue_refusals"] = m_untrueRefusals;
    out["added_ms_p50"] = rounded(quantile(m_addedMs, 0.5));
    out["added_ms_p99"] = rounded(quantile(m_addedMs, 0.99));
    out["messages"] = messages.byPurpose;
    out["control_messages_per_task"] = rounded(messages.control() / tasks);
    out["wasted_without_control_per_task"] = rounded(wastedPerTask(messages, upstreams) - messages.control() / tasks);
    out["upstreams"] = { { "started", upstreams.started }, { "started_late", upstreams.startedLate }, { "over_slots", upstreams.overSlots }, { "refused", upstreams.refused } };
    return out;
}

} // namespace jackdaw::load
