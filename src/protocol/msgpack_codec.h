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
    std::size_t maxValues = SIZE_MAX; // in all arrays and maps together; each takes 24 bytes, for one of text at least
};

// For messages of a peer or client: bytes after the message are ignored. A list of 1,200 upstreams has some 30,000 values.
constexpr unpack_options messageOptions { error_kind::malformed_request, 32, false, "", SIZE_MAX, 500'000 };

// For values that this software stored itself: the bytes must be exactly one value.
constexpr unpack_options recordOptions { error_kind::corrupt_data, 16, true, "packed value: " };

// Counts the elements of arrays and maps, and stops at a bound.
class value_counter : public msgpack::null_visitor {
public:
    explicit value_counter(std::size_t maxValues)
        : m_left(maxValues)
    {
    }

    bool start_array(std::uint32_t elements) { return take(elements); } // NOLINT(readability-identifier-naming): called by the library
    bool start_map(std::uint32_t pairs) { return take(2 * std::size_t(pairs)); } // NOLINT(readability-identifier-naming)
    bool isOver() const { return m_isOver; }

private:
    bool take(std::size_t values)
    {
        m_isOver = values > m_left;
        m_left -= std::min(values, m_left);
        return !m_isOver;
    }

    std::size_t m_left;
    bool m_isOver = false;
};

inline bool hasTooManyValues(std::string_view bytes, std::size_t maxValues)
{
    if (maxValues >= bytes.size()) // each value takes a byte
        return false;
    value_counter counter(maxValues);
    std::size_t offset = 0;
    msgpack::parse(bytes.data(), bytes.size(), offset, counter);
    return counter.isOver();
}

template <typename Message>
std::string packMessage(const Message& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return { buffer.data(), buffer.size() };
}

// Appends what is packed to a text.
struct packed_text {
    std::string bytes;

    void write(const char* data, std::size_t size) { bytes.append(data, size); }
};

// The same for a message that may be large: it is not copied if it takes no more than the expected bytes.
template <typename Message>
std::string packLargeMessage(const Message& message, std::size_t expectedBytes)
{
    packed_text out;
    out.bytes.reserve(expectedBytes);
    msgpack::pack(out, message);
    return std::move(out.bytes);
}

// read(object) builds the value from the unpacked object, which references the bytes. It may throw msgpack::type_error.
template <typename Read>
auto unpackWith(std::string_view bytes, const unpack_options& options, Read read)
    -> result<decltype(read(std::declval<const msgpack::object&>()))>
{
    try {
        if (hasTooManyValues(bytes, options.maxValues))
            return makeError(options.errorKind, std::string(options.errorPrefix) + "too many values");
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
