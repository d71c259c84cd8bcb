// Packs typed messages with msgpack and unpacks bytes that can't be trusted. Types that declare their fields with
// MSGPACK_DEFINE_ARRAY ignore the fields that a newer release appended and keep the defaults of those an older one lacks.
#pragma once

#include "protocol/result.h"

#include <msgpack.hpp>

#include <exception>
#include <string>
#include <string_view>
#include <utility>

namespace jackdaw::protocol {

// How bytes are unpacked and how a failure is told.
struct unpack_options {
    error_kind errorKind;
    std::size_t maxDepth; // of arrays and maps within each other
    bool rejectsTrailingBytes;
    std::string_view errorPrefix;
};

// Messages of a peer or client; bytes behind the message are ignored.
constexpr unpack_options messageOptions { error_kind::malformed_request, 32, false, "" };

// Values that the service wrote itself: the bytes are exactly one value.
constexpr unpack_options recordOptions { error_kind::corrupt_data, 16, true, "packed value: " };

template <typename Message>
std::string packMessage(const Message& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return { buffer.data(), buffer.size() };
}

// read(object) builds the value from the unpacked object, which refers to the bytes; it may throw msgpack::type_error.
template <typename Read>
auto unpackWith(std::string_view bytes, const unpack_options& rules, Read read)
    -> result<decltype(read(std::declval<const msgpack::object&>()))>
{
    try {
        // Every element takes at least one byte: a larger count is false and must not be allocated.
        const std::size_t most = bytes.size();
        const msgpack::unpack_limit limit(most, most, most, most, most, rules.maxDepth);
        const auto refersToBytes = [](auto, auto, auto) { return true; };
        std::size_t offset = 0;
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), offset, refersToBytes, nullptr, limit);
        if (rules.rejectsTrailingBytes && offset != bytes.size())
            return makeError(rules.errorKind, "bytes follow the packed value");
        return read(handle.get());
    } catch (const std::exception& failure) {
        return makeError(rules.errorKind, std::string(rules.errorPrefix) + failure.what());
    }
}

// The rules' failure when the bytes are no such message. Trailing fields of a later version are ignored.
template <typename Message>
result<Message> unpackMessage(std::string_view bytes, const unpack_options& rules = messageOptions)
{
    return unpackWith(bytes, rules, [](const msgpack::object& object) { return object.as<Message>(); });
}

} // namespace jackdaw::protocol
