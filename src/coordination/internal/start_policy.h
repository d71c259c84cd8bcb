// Decides which queued task starts next and on which upstream, or that the queued tasks wait for faster upstreams.
#pragma once

#include "coordination/internal/task_queue.h"
#include "coordination/internal/upstream_pool.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace jackdaw::coordination {

struct start_decision {
    job_record* job = nullptr;
    std::uint32_t part = 0;
    std::size_t pendingIndex = 0; // into job_part::pending
    upstream_record* upstream = nullptr;
};

// The inputs of a decision besides the queue and the upstreams.
struct start_context {
    time_point now {};
    double slowUpstreamPenalty = 1; // see rules
    double meanWork = 1; // moving average of started tasks' run time at factor 1; microseconds
    std::size_t queuedTasks = 0;
};

class start_policy {
public:
    // Returns the next start, or nothing if no task should start now.
    std::optional<start_decision> choose(const start_context& context, task_queue& queue, const upstream_pool& pool);

private:
    using decision = std::optional<start_decision>;

    decision chooseFor(const queued_part& candidate, double tasksAhead);
    decision chooseShorter(const queued_part& candidate, upstream_record& upstream) const;
    bool isWorthStarting(const job_record& job, const task_record& task, const upstream_record& upstream, class_mask classes, double tasksAhead);
    const wait_forecast& forecastFor(class_mask classes);

    // Valid during a call of choose().
    start_context m_context;
    const upstream_pool* m_pool = nullptr;
    std::vector<const queued_part*> m_window;
    std::vector<std::pair<class_mask, wait_forecast>> m_forecasts; // computed on first use
};

} // namespace jackdaw::coordination
