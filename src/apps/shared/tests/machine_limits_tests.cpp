// Tests of the shares of a machine.
#include "apps/shared/machine_limits.h"

#include <doctest/doctest.h>

using jackdaw::apps::machine_limits;

// Guards against shares that are each bounded and together more than the memory.
TEST_CASE("the shares of a machine's memory take more than it has")
{
    constexpr std::size_t mebibyte = 1024 * 1024;
    constexpr std::size_t idleMb = 16; // the program itself, and what it knows of other hosts and of upstreams
    constexpr std::size_t taskBytes = 1024;
    for (const std::size_t memoryMb : { 120, 195, 260, 650 }) {
        CAPTURE(memoryMb);
        const machine_limits limits { memoryMb, 3075 };
        // The allocator and buffers in transit take as much again for callers' connections.
        const std::size_t sum = 2 * limits.callerBytes() + limits.linkBytes() + limits.tasks() * taskBytes + limits.ownedBytes() + limits.forwardedBytes();
        CHECK(sum + idleMb * mebibyte <= memoryMb * mebibyte);
        CHECK(limits.tasksOfJob() >= 640); // the largest job that users name
        CHECK(limits.tasks() >= 4 * limits.tasksOfJob());
    }
}
