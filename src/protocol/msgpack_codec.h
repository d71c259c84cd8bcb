// Packs typed messages with msgpack and unpacks bytes that can't be trusted.
#pragma once

#include "protocol/result.h"

#include <msgpack.hpp>

#include <string>
#include <string_view>

namespace jackdaw::protocol {

template <typename Message>
std::string packMessage(const Message& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return { buffer.data(), buffer.size() };
}

// malformed_request when the bytes are no such message. Trailing fields of a later version are ignored.
template <typename Message>
result<Message> unpackMessage(std::string_view bytes)
{
    constexpr std::size_t maxDepth = 32;
    // Every element takes at least one byte: a larger count is false and must not be allocated.
    const std::size_t limit = bytes.size();
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
            msgpack::unpack_limit(limit, limit, limit, limit, limit, maxDepth));
        return handle.get().as<Message>();
    } catch (const msgpack::unpack_error& failure) {
        return makeError(error_kind::malformed_request, failure.what());
    } catch (const msgpack::type_error& failure) {
        return makeError(error_kind::malformed_request, failure.what());
    }
}

} // namespace jackdaw::protocol
