// The system calls by which stored state is written, as hooks: tests put a full or failing disk in their place.
#pragma once

#include <cstddef>
#include <functional>

#include <sys/types.h>

namespace jackdaw::state {

// Both behave as their system calls do: −1 and errno on failure. Empty hooks mean ::write and ::fsync.
struct file_hooks {
    std::function<ssize_t(int descriptor, const void* data, std::size_t size)> write;
    std::function<int(int descriptor)> sync;
};

} // namespace jackdaw::state
