// Amounts of each resource that an upstream has or a task needs, as a vector.
#pragma once

#include "protocol/msgpack_codec.h"

#include <algorithm>
#include <cstdint>

namespace jackdaw::protocol {

struct resource_vector {
    std::int64_t millicores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool fitsIn(const resource_vector& available) const
    {
        return millicores <= available.millicores && memoryMb <= available.memoryMb && accelerators <= available.accelerators;
    }

    resource_vector& operator+=(const resource_vector& other)
    {
        millicores += other.millicores;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }

    resource_vector& operator-=(const resource_vector& other)
    {
        millicores -= other.millicores;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }

    // Raises each resource to that of other where it is less.
    void raiseTo(const resource_vector& other)
    {
        millicores = std::max(millicores, other.millicores);
        memoryMb = std::max(memoryMb, other.memoryMb);
        accelerators = std::max(accelerators, other.accelerators);
    }

    friend resource_vector operator-(resource_vector left, const resource_vector& right) { return left -= right; }
    friend bool operator==(const resource_vector&, const resource_vector&) = default;

    MSGPACK_DEFINE_ARRAY(millicores, memoryMb, accelerators)
};

} // namespace jackdaw::protocol
