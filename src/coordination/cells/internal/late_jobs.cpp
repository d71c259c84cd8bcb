// Value of jobs that miss their objective.
#include "coordination/cells/internal/late_jobs.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace jackdaw::cells::internal {
namespace {

    constexpr int objectivesUntilWorthless = 3; // callers value a job that ends later at nothing
    constexpr int ownDelaysPerObjective = 5; // an owner whose delay takes a larger share of an objective counts as short of CPU

    time_point sentAt(const cell_job& job)
    {
        return job.submittedAt - std::chrono::milliseconds(job.order.ageMs);
    }

} // namespace

time_point valueEnd(const cell_job& job)
{
    return std::min(sentAt(job) + objectivesUntilWorthless * (job.objectiveEnd - sentAt(job)), job.deadline);
}

duration unstartedCriticalPath(const cell_job& job)
{
    std::vector<std::uint64_t> ends; // of each step, in milliseconds from now
    std::uint64_t longest = 0;
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        const protocol::job_step& shape = job.order.steps[number];
        std::uint64_t begin = 0;
        for (const std::uint32_t earlier : shape.dependsOn)
            begin = std::max(begin, ends[earlier]);
        const bool hasUnstarted = job.steps[number].waiting + job.steps[number].held > 0;
        ends.push_back(begin + (hasUnstarted ? shape.estimateMs : 0));
        longest = std::max(longest, ends.back());
    }
    return std::chrono::milliseconds(longest);
}

bool isWorthRunningLate(time_point now, const cell_job& job, duration untilEnd, duration ownDelay)
{
    return now + untilEnd <= valueEnd(job) && ownDelay * ownDelaysPerObjective <= job.objectiveEnd - sentAt(job);
}

} // namespace jackdaw::cells::internal
