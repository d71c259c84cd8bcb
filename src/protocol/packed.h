// Typed values to bytes and back by msgpack-cxx. Types declare their fields with MSGPACK_DEFINE_ARRAY: fields that a newer
// release appended are ignored, and fields that an older one lacks keep their defaults.
#pragma once

#include "protocol/result.h"

#include <msgpack.hpp>

#include <exception>
#include <string>
#include <string_view>

namespace jackdaw::protocol {

template <typename T>
std::string pack(const T& value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return { buffer.data(), buffer.size() };
}

// corrupt_data when the bytes are not exactly one value of this shape.
template <typename T>
result<T> unpack(std::string_view bytes)
{
    constexpr std::size_t maxDepth = 16;
    try {
        // No container can have more elements than there are bytes: damaged lengths must not allocate memory.
        const std::size_t most = bytes.size();
        const msgpack::unpack_limit limit(most, most, most, most, most, maxDepth);
        std::size_t offset = 0;
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size())
            return makeError(error_kind::corrupt_data, "bytes follow the packed value");
        return handle.get().as<T>();
    } catch (const std::exception& problem) {
        return makeError(error_kind::corrupt_data, std::string("packed value: ") + problem.what());
    }
}

} // namespace jackdaw::protocol
