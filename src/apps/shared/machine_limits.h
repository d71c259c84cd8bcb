// Memory and descriptors of the machine that a program runs on, and the shares of them that connections from outside may take.
#pragma once

#include "state/settings_reader.h"

#include <cstddef>

namespace jackdaw::apps {

struct machine_limits {
    std::size_t memoryMb = 120; // of the smallest machine
    std::size_t maxDescriptors = 3075; // of the smallest machine

    // What the connections of HTTP callers may hold together.
    std::size_t callerBytes() const;

    // The largest number of HTTP callers' connections, also within the descriptors that the system grants this process.
    std::size_t callerConnections() const;

    // What unfinished messages on links from other hosts may hold together, and the largest number of such links.
    std::size_t linkBytes() const;
    std::size_t linkConnections() const;

    // For an owner, in all its cells together: the largest numbers of tasks of all jobs and of one job, and what the orders of the jobs may
    // hold beside their tasks.
    std::size_t tasks() const;
    std::size_t tasksOfJob() const;
    std::size_t ownedBytes() const;

    // What the jobs of this host's callers may hold until they are answered.
    std::size_t forwardedBytes() const;
};

// Makes the allocator give large blocks back to the system as soon as they are freed. By default it keeps blocks of the largest size
// freed so far, up to 32 MB.
void returnLargeBlocksWhenFreed();

// Keys memory_mb and max_descriptors.
machine_limits readMachineLimits(state::settings_reader& reader);

} // namespace jackdaw::apps
