// Counts of accepted jobs by group over the last seconds.
#include "coordination/cells/internal/group_shares.h"

#include <algorithm>
#include <chrono>
#include <functional>

namespace jackdaw::cells::internal {
namespace {

    using std::chrono::milliseconds;

    constexpr duration window = std::chrono::seconds(5); // callers' patience is 1.5 s; a burst lasts 4 s
    // Of the share of all jobs. Shares settle about where the rule begins, so it is above the half that each group must get.
    constexpr double starvingShare = 0.6;
    constexpr duration intervalLength = milliseconds(500);
    constexpr duration sizeInterval = milliseconds(250); // between two computations of the size classes
    constexpr int minAsked = 20; // of fewer jobs the share says little: its standard error is above a tenth
    constexpr std::size_t maxWorks = 512; // gives 51 jobs of the largest tenth
    constexpr std::size_t minWorks = 20;

    double workOf(const cell_job& job)
    {
        double work = 0;
        for (const protocol::job_step& step : job.order.steps)
            work += static_cast<double>(step.count) * step.estimateMs * static_cast<double>(step.need.millicores);
        return work;
    }

    double atRank(std::vector<double>& values, std::size_t rank)
    {
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end(), std::greater<>());
        return values[rank];
    }

} // namespace

void group_shares::updateSizes(time_point now, double work)
{
    m_works.push_back(work);
    if (m_works.size() > maxWorks)
        m_works.pop_front();
    if (m_works.size() < minWorks || now - m_sizesAt < sizeInterval)
        return;
    m_sizesAt = now;
    std::vector<double> sorted(m_works.begin(), m_works.end());
    m_largestTenth = atRank(sorted, sorted.size() / 10);
    m_largestThird = atRank(sorted, sorted.size() * 3 / 10);
}

std::vector<std::string> group_shares::groupsOf(time_point now, const cell_job& job, std::string_view origin)
{
    const double work = workOf(job);
    updateSizes(now, work);
    std::vector<std::string> groups { "priority " + std::to_string(job.order.priority), "origin " + std::string(origin) };
    if (m_largestThird > 0 && work >= m_largestThird)
        groups.emplace_back(work >= m_largestTenth ? "largest tenth" : "fifth below it");
    return groups;
}

void group_shares::add(time_point now, const std::vector<std::string>& groups, int accepted, int asked)
{
    removeExpired(now);
    if (m_intervals.empty() || now - m_intervals.back().begin >= intervalLength)
        m_intervals.push_back({ now, {}, {} });
    const auto addTo = [accepted, asked](counts& sum) {
        sum.accepted += accepted;
        sum.asked += asked;
    };
    addTo(m_intervals.back().all);
    addTo(m_all);
    for (const std::string& group : groups) {
        addTo(m_intervals.back().byGroup[group]);
        addTo(m_byGroup[group]);
    }
}

void group_shares::removeExpired(time_point now)
{
    while (!m_intervals.empty() && now - m_intervals.front().begin >= window) {
        const interval& old = m_intervals.front();
        m_all.accepted -= old.all.accepted;
        m_all.asked -= old.all.asked;
        for (const auto& [group, gone] : old.byGroup) {
            counts& sum = m_byGroup[group];
            sum.accepted -= gone.accepted;
            sum.asked -= gone.asked;
        }
        m_intervals.pop_front();
    }
    if (m_intervals.empty())
        m_byGroup.clear();
    else
        std::erase_if(m_byGroup, [](const auto& item) { return item.second.accepted == 0 && item.second.asked == 0; });
}

bool group_shares::isStarving(time_point now, const std::vector<std::string>& groups)
{
    removeExpired(now);
    return std::any_of(groups.begin(), groups.end(), [this](const std::string& group) {
        const auto found = m_byGroup.find(group);
        if (found == m_byGroup.end() || found->second.asked < minAsked)
            return false;
        return found->second.accepted * static_cast<double>(m_all.asked) < starvingShare * m_all.accepted * found->second.asked;
    });
}

} // namespace jackdaw::cells::internal
