// Measures the processing time of single dispatcher events at a given number of upstreams and queue length.
#pragma once

#include <cstddef>

namespace jackdaw::bench {

struct decision_cost {
    std::size_t upstreams = 0;
    std::size_t queuedTasks = 0;
    double reportNanoseconds = 0; // mean for one finished task, including the start on the freed slot
    double submitNanoseconds = 0; // mean for each submitted task
    double cancelNanoseconds = 0; // mean for each queued or running task when all jobs are cancelled
};

// Runs a dispatcher with all slots in use and a queue that is kept at the given length.
decision_cost measureDecisionCost(std::size_t upstreams, std::size_t queuedTasks);

} // namespace jackdaw::bench
