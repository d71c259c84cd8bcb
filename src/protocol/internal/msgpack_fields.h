// Plumbing shared by the msgpack codecs: versioned arrays in, checked arrays out.
#pragma once

#include "protocol/result.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace jackdaw::protocol {

constexpr std::size_t maxMsgpackDepth = 16;

using msgpack_writer = msgpack::packer<msgpack::sbuffer>;

// Reads the fields of one array in order. Throws msgpack::type_error on a missing field or a wrong type.
class msgpack_fields {
public:
    explicit msgpack_fields(const msgpack::object& object)
    {
        if (object.type != msgpack::type::ARRAY)
            throw msgpack::type_error();
        m_next = object.via.array.ptr;
        m_left = object.via.array.size;
    }

    const msgpack::object& next()
    {
        if (m_left == 0)
            throw msgpack::type_error();
        --m_left;
        return *m_next++;
    }

    template <typename T>
    T take()
    {
        return next().as<T>();
    }

private:
    const msgpack::object* m_next = nullptr;
    std::size_t m_left = 0; // fields not yet taken
};

inline void writeBytes(msgpack_writer& writer, std::string_view bytes)
{
    writer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
    writer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

inline std::string takeBytes(msgpack_fields& fields)
{
    const msgpack::object& object = fields.next();
    if (object.type != msgpack::type::BIN)
        throw msgpack::type_error();
    return { object.via.bin.ptr, object.via.bin.size };
}

// write(writer) packs the fields after the version.
template <typename Write>
std::string encodeVersioned(std::uint32_t version, std::uint32_t fields, Write write)
{
    msgpack::sbuffer buffer;
    msgpack_writer writer(buffer);
    writer.pack_array(fields + 1);
    writer.pack(version);
    write(writer);
    return { buffer.data(), buffer.size() };
}

// read(fields) builds the value from the fields after the version; name tells people what could not be read.
template <typename Read>
auto decodeVersioned(std::uint32_t version, std::string_view bytes, std::string_view name, Read read)
    -> result<decltype(read(std::declval<msgpack_fields&>()))>
{
    try {
        const std::size_t most = bytes.size(); // a length field beyond the bytes must not allocate
        const msgpack::unpack_limit limit(most, most, most, most, most, maxMsgpackDepth);
        const auto refersToBytes = [](auto, auto, auto) { return true; };
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), refersToBytes, nullptr, limit);
        msgpack_fields fields(handle.get());
        if (fields.take<std::uint32_t>() == version)
            return read(fields);
    } catch (const msgpack::unpack_error&) {
    } catch (const msgpack::type_error&) {
    }
    return makeError(error_kind::corrupt_data, std::string(name) + " can't be read");
}

} // namespace jackdaw::protocol
