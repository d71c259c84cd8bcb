// Shares of a machine.
#include "apps/shared/machine_limits.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>

namespace jackdaw::apps {
namespace {

    constexpr std::size_t mebibyte = 1024 * 1024;
    constexpr int largeBlockBytes = 128 * 1024; // with which the allocator starts
    constexpr std::size_t callerShare = 5; // of the memory: the allocator and buffers in transit took twice as much in tests with large chunks
    constexpr std::size_t linkShare = 8;
    constexpr std::size_t minLinkBytes = 9 * mebibyte; // one message of the largest size
    constexpr std::size_t callerDescriptorShare = 2; // the other half is for links, upstreams and files
    constexpr std::size_t linkDescriptorShare = 4;
    constexpr std::size_t taskShare = 8;
    constexpr std::size_t taskBytes = 1024; // the records of a task, its run and an unanswered start, their names, and a call that waits
    constexpr std::size_t ownedShare = 16;
    constexpr std::size_t forwardedShare = 16;
    constexpr std::size_t jobShare = 4; // of the tasks: a job in the extreme leaves room for others

    std::size_t grantedDescriptors(std::size_t wanted)
    {
        rlimit granted {};
        if (getrlimit(RLIMIT_NOFILE, &granted) != 0)
            return wanted;
        return std::min<std::size_t>(wanted, granted.rlim_cur);
    }

} // namespace

std::size_t machine_limits::callerBytes() const
{
    return memoryMb * mebibyte / callerShare;
}

std::size_t machine_limits::callerConnections() const
{
    return grantedDescriptors(maxDescriptors) / callerDescriptorShare;
}

std::size_t machine_limits::linkBytes() const
{
    return std::max(memoryMb * mebibyte / linkShare, minLinkBytes);
}

std::size_t machine_limits::linkConnections() const
{
    return grantedDescriptors(maxDescriptors) / linkDescriptorShare;
}

std::size_t machine_limits::tasks() const
{
    return memoryMb * mebibyte / taskShare / taskBytes;
}

std::size_t machine_limits::tasksOfJob() const
{
    return tasks() / jobShare;
}

std::size_t machine_limits::ownedBytes() const
{
    return memoryMb * mebibyte / ownedShare;
}

std::size_t machine_limits::forwardedBytes() const
{
    return memoryMb * mebibyte / forwardedShare;
}

void returnLargeBlocksWhenFreed()
{
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
}

machine_limits readMachineLimits(state::settings_reader& reader)
{
    constexpr std::int64_t minMemoryMb = 64;
    constexpr std::int64_t minDescriptors = 64;
    machine_limits out;
    out.memoryMb = static_cast<std::size_t>(reader.integerOr("memory_mb", static_cast<std::int64_t>(out.memoryMb), minMemoryMb, 1 << 20));
    out.maxDescriptors = static_cast<std::size_t>(reader.integerOr("max_descriptors", static_cast<std::int64_t>(out.maxDescriptors), minDescriptors, 1 << 20));
    return out;
}

} // namespace jackdaw::apps
