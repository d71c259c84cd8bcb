// Packs typed messages with msgpack and unpacks untrusted bytes. Types that declare their fields with MSGPACK_DEFINE_ARRAY
// ignore fields that a newer release appended and keep the defaults of fields that an older release lacks.
#pragma once

#include "protocol/result.h"

#include <msgpack.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <string>
#include <string_view>
#include <utility>

namespace jackdaw::protocol {

// How bytes are unpacked and how a failure is reported.
struct unpack_options {
    error_kind errorKind;
    std::size_t maxDepth; // nesting depth of arrays and maps
    bool rejectsTrailingBytes;
    std::string_view errorPrefix;
    std::size_t maxElements = SIZE_MAX; // of one array or map
};

// For messages of a peer or client: bytes after the message are ignored.
constexpr unpack_options messageOptions { error_kind::malformed_request, 32, false, "" };

// For values that this software stored itself: the bytes must be exactly one value.
constexpr unpack_options recordOptions { error_kind::corrupt_data, 16, true, "packed value: " };

template <typename Message>
std::string packMessage(const Message& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return { buffer.data(), buffer.size() };
}

// read(object) builds the value from the unpacked object, which references the bytes. It may throw msgpack::type_error.
template <typename Read>
auto unpackWith(std::string_view bytes, const unpack_options& options, Read read)
    -> result<decltype(read(std::declval<const msgpack::object&>()))>
{
    try {
        // Each element takes at least one byte, so a count above the number of bytes is invalid and must not be allocated.
        const std::size_t maxBytes = bytes.size();
        const std::size_t maxCount = std::min(maxBytes, options.maxElements);
        const msgpack::unpack_limit limit(maxCount, maxCount, maxBytes, maxBytes, maxBytes, options.maxDepth);
        const auto referencesBytes = [](auto, auto, auto) { return true; };
        std::size_t offset = 0;
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), offset, referencesBytes, nullptr, limit);
        if (options.rejectsTrailingBytes && offset != bytes.size())
            return makeError(options.errorKind, "bytes follow the packed value");
        return read(handle.get());
    } catch (const std::exception& failure) {
        return makeError(options.errorKind, std::string(options.errorPrefix) + failure.what());
    }
}

// Fails with options.errorKind when the bytes are not a valid Message. Trailing fields of a later version are ignored.
template <typename Message>
result<Message> unpackMessage(std::string_view bytes, const unpack_options& options = messageOptions)
{
    return unpackWith(bytes, options, [](const msgpack::object& object) { return object.as<Message>(); });
}

} // namespace jackdaw::protocol
