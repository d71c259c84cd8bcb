// The cost of one decision in real time, at several sizes.
#pragma once

#include <cstddef>

namespace jackdaw::bench {

struct decision_cost {
    std::size_t upstreams = 0;
    std::size_t queuedTasks = 0;
    double reportNanoseconds = 0; // one finished report and the start that it leads to
    double submitNanoseconds = 0; // one submission, for each of its tasks
    double cancelNanoseconds = 0; // in a wave over all jobs, for each queued or running task
};

// Runs a full system whose queue is kept at the given length.
decision_cost measureDecisionCost(std::size_t upstreams, std::size_t queuedTasks);

} // namespace jackdaw::bench
