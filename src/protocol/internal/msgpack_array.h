// Reads and writes msgpack arrays field by field, optionally with a leading format version.
#pragma once

#include "protocol/msgpack_codec.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jackdaw::protocol::internal {

using msgpack_writer = msgpack::packer<msgpack::sbuffer>;

// Reads the fields of one array in order; trailing fields are ignored. Throws msgpack::type_error on a wrong type.
class msgpack_array_reader {
public:
    explicit msgpack_array_reader(const msgpack::object& object)
    {
        if (object.type != msgpack::type::ARRAY)
            throw msgpack::type_error();
        m_next = object.via.array.ptr;
        m_remaining = object.via.array.size;
    }

    // The next field, or null when the array has ended.
    const msgpack::object* tryNext()
    {
        if (m_remaining == 0)
            return nullptr;
        --m_remaining;
        return m_next++;
    }

    // The next field. Throws msgpack::type_error when the array has ended.
    const msgpack::object& next()
    {
        const msgpack::object* field = tryNext();
        if (!field)
            throw msgpack::type_error();
        return *field;
    }

    template <typename T>
    T take()
    {
        return next().as<T>();
    }

    // Reads the next field; leaves the value unchanged when the array has ended.
    template <typename T>
    void read(T& out)
    {
        if (const msgpack::object* field = tryNext())
            field->convert(out);
    }

    // Reads the next field, if any, as an array of records, each of which is an array read by readRecord.
    template <typename Record, typename Function>
    void readRecords(std::vector<Record>& out, Function readRecord)
    {
        const msgpack::object* field = tryNext();
        if (!field)
            return;
        if (field->type != msgpack::type::ARRAY)
            throw msgpack::type_error();
        out.reserve(field->via.array.size);
        for (const msgpack::object& element : field->via.array) {
            msgpack_array_reader inner(element);
            Record record;
            readRecord(inner, record);
            out.push_back(std::move(record));
        }
    }

private:
    const msgpack::object* m_next = nullptr;
    std::size_t m_remaining = 0; // fields not yet read
};

inline void writeBytes(msgpack_writer& writer, std::string_view bytes)
{
    writer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
    writer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

inline std::string takeBytes(msgpack_array_reader& fields)
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

// read(fields) builds the value from the fields after the version. The error text contains name.
template <typename Read>
auto decodeVersioned(std::uint32_t version, std::string_view bytes, std::string_view name, Read read)
    -> result<decltype(read(std::declval<msgpack_array_reader&>()))>
{
    constexpr unpack_options options { error_kind::corrupt_data, recordOptions.maxDepth, false, "" };
    auto value = unpackWith(bytes, options, [&](const msgpack::object& object) {
        msgpack_array_reader fields(object);
        if (fields.take<std::uint32_t>() != version)
            throw msgpack::type_error();
        return read(fields);
    });
    if (!value)
        return makeError(error_kind::corrupt_data, std::string(name) + " can't be read");
    return value;
}

} // namespace jackdaw::protocol::internal
