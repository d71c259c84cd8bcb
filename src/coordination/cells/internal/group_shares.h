// Finds groups of jobs that starve: that are accepted much less often than all jobs.
//
// Load pattern: demand above capacity for seconds. Admission by objective alone refuses the widest jobs and those that arrive late nearly
// always, since smaller ones fit in before them. Each group is to get at least half of the share of all jobs over
// the last seconds; the jobs of one that comes close to it go first within their priority.
#pragma once

#include "coordination/cells/internal/cell_job.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace jackdaw::cells::internal {

class group_shares {
public:
    // Groups of the job: its priority, its origin, and its size if it is among the largest tenth or the fifth below it.
    std::vector<std::string> groupsOf(time_point now, const cell_job& job, std::string_view origin);

    void onAccepted(time_point now, const std::vector<std::string>& groups) { add(now, groups, 1, 1); }
    void onRefused(time_point now, const std::vector<std::string>& groups) { add(now, groups, 0, 1); }
    // A job that was accepted has been refused after all. Empty groups: of a job that was handed over, which is not counted.
    void onGivenUp(time_point now, const std::vector<std::string>& groups)
    {
        if (!groups.empty())
            add(now, groups, -1, 0);
    }

    bool isStarving(time_point now, const std::vector<std::string>& groups);

private:
    struct counts {
        int accepted = 0;
        int asked = 0;
    };
    struct interval {
        time_point begin;
        counts all;
        std::map<std::string, counts, std::less<>> byGroup;
    };

    void add(time_point now, const std::vector<std::string>& groups, int accepted, int asked);
    void removeExpired(time_point now);
    void updateSizes(time_point now, double work);

    std::deque<interval> m_intervals;
    counts m_all; // sums over the intervals
    std::map<std::string, counts, std::less<>> m_byGroup;

    std::deque<double> m_works; // of the latest jobs, in millicore-milliseconds
    double m_largestTenth = 0;
    double m_largestThird = 0; // lower bound of the largest tenth and the fifth below it
    time_point m_sizesAt;
};

} // namespace jackdaw::cells::internal
