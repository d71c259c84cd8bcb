// Jobs that can no longer meet their objective but still have some value.
//
// Load pattern: bursts of 1.2 to 1.8 times the capacity, upstreams that become slow for seconds, and jobs that arrive late from hosts
// that are short of CPU. A job that ends within three times its objective keeps a fifth of its value. It is worth running only on
// capacity that nothing else waits for, and goes behind the jobs of its priority that can be in time.
#pragma once

#include "coordination/cells/internal/cell_job.h"

namespace jackdaw::cells::internal {

// Until when the job has any value: three times its objective after it was sent, and not after its deadline.
time_point valueEnd(const cell_job& job);

// Declared run time of the longest chain of dependent steps of which tasks have not been started.
duration unstartedCriticalPath(const cell_job& job);

// Whether a job that misses its objective may run nevertheless: it has some value if it ends as expected, and its owner is not the
// cause. An owner that is short of CPU would delay the jobs that can be in time with each further task.
// untilEnd: expected time until its end. ownDelay: the part of it that the owner's own delay makes up.
bool isWorthRunningLate(time_point now, const cell_job& job, duration untilEnd, duration ownDelay);

} // namespace jackdaw::cells::internal
