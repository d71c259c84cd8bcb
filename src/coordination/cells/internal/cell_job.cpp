// Task states, dependencies and task names of a job.
#include "coordination/cells/internal/cell_job.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jackdaw::cells::internal {

using std::chrono::milliseconds;

cell_job::cell_job(const job_order& wanted, time_point now)
    : order(wanted)
    , spec(std::make_shared<const std::string>(std::exchange(order.spec, {})))
    , submittedAt(now)
{
    for (const protocol::job_step& step : order.steps) {
        cell_step state;
        state.tasks.resize(step.count);
        state.waiting = step.count;
        steps.push_back(std::move(state));
    }
    const time_point sentAt = now - milliseconds(order.ageMs);
    objectiveEnd = sentAt + std::chrono::duration_cast<duration>(declaredCriticalPath() * order.slackFactor) + milliseconds(order.targetMs);
    deadline = now + milliseconds(order.timeLeftMs);
    for (const std::string& task : order.doneTasks)
        markDone(task);
    std::size_t step = 0;
    std::size_t index = 0;
    for (const protocol::task_failures& failures : order.failures) {
        if (findTask(*this, failures.task, step, index))
            steps[step].tasks[index].failedRuns = failures.failedRuns;
    }
}

void cell_job::addOrigin(std::string_view origin, const job_order& wanted, time_point now)
{
    waiting_origin added { wanted.submissionNumber, wanted.handOverCount, now + milliseconds(wanted.timeLeftMs) };
    const auto [found, isNew] = origins.try_emplace(std::string(origin), added);
    waiting_origin& latest = found->second;
    if (!isNew && added.submissionNumber >= latest.submissionNumber) {
        // One of two equal orders may have waited on a link that was full or cut.
        if (added.submissionNumber == latest.submissionNumber)
            added.deadline = std::min(added.deadline, latest.deadline);
        latest = added;
    }
    updateDeadline();
}

void cell_job::removeOrigin(std::string_view origin)
{
    if (const auto found = origins.find(origin); found != origins.end())
        origins.erase(found);
    updateDeadline();
}

void cell_job::updateDeadline()
{
    const auto isEarlier = [](const auto& left, const auto& right) { return left.second.deadline < right.second.deadline; };
    if (!origins.empty())
        deadline = std::max_element(origins.begin(), origins.end(), isEarlier)->second.deadline;
}

bool cell_job::isReady(std::size_t step) const
{
    const auto& after = order.steps[step].dependsOn;
    return std::all_of(after.begin(), after.end(), [this](std::uint32_t earlier) { return steps[earlier].done == steps[earlier].tasks.size(); });
}

bool cell_job::isDone() const
{
    return std::all_of(steps.begin(), steps.end(), [](const cell_step& step) { return step.done == step.tasks.size(); });
}

std::uint32_t cell_job::waitingTasks() const
{
    std::uint32_t sum = 0;
    for (const cell_step& step : steps)
        sum += step.waiting;
    return sum;
}

std::uint64_t cell_job::activeTasks() const
{
    std::uint64_t sum = 0;
    for (const cell_step& step : steps)
        sum += step.tasks.size() - step.waiting - step.held - step.done;
    return sum;
}

duration cell_job::declaredCriticalPath() const
{
    std::vector<std::uint64_t> ends; // of each step, in milliseconds from the first start
    std::uint64_t longest = 0;
    for (const protocol::job_step& step : order.steps) {
        std::uint64_t begin = 0;
        for (const std::uint32_t earlier : step.dependsOn)
            begin = std::max(begin, ends[earlier]);
        ends.push_back(begin + step.estimateMs);
        longest = std::max(longest, ends.back());
    }
    return milliseconds(longest);
}

std::string cell_job::taskName(std::size_t step, std::size_t index) const
{
    return order.id + ".0." + std::to_string(step) + '.' + std::to_string(index);
}

void cell_job::markDone(std::string_view task)
{
    std::size_t step = 0;
    std::size_t index = 0;
    if (findTask(*this, task, step, index))
        setState(step, index, task_state::done);
}

void cell_job::setState(std::size_t step, std::size_t index, task_state state)
{
    cell_step& owner = steps[step];
    cell_task& task = owner.tasks[index];
    owner.waiting -= task.state == task_state::waiting ? 1 : 0;
    owner.held -= task.state == task_state::held ? 1 : 0;
    owner.done -= task.state == task_state::done ? 1 : 0;
    task.state = state;
    owner.waiting += state == task_state::waiting ? 1 : 0;
    owner.held += state == task_state::held ? 1 : 0;
    owner.done += state == task_state::done ? 1 : 0;
}

bool findTask(const cell_job& job, std::string_view task, std::size_t& step, std::size_t& index)
{
    const std::string prefix = job.order.id + ".0.";
    if (!task.starts_with(prefix))
        return false;
    const char* const end = task.data() + task.size();
    const auto stepEnd = std::from_chars(task.data() + prefix.size(), end, step);
    if (stepEnd.ec != std::errc() || stepEnd.ptr == end || *stepEnd.ptr != '.')
        return false;
    const auto indexEnd = std::from_chars(stepEnd.ptr + 1, end, index);
    return indexEnd.ec == std::errc() && indexEnd.ptr == end && step < job.steps.size() && index < job.steps[step].tasks.size();
}

} // namespace jackdaw::cells::internal
