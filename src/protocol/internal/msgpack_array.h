// Checked reading of msgpack arrays field by field: absent fields keep their defaults, trailing ones are ignored.
#pragma once

#include <msgpack.hpp>

#include <string>
#include <type_traits>
#include <vector>

namespace jackdaw::protocol::internal {

class msgpack_array_reader {
public:
    explicit msgpack_array_reader(const msgpack::object& object)
        : m_object(object)
        , m_hasFailed(object.type != msgpack::type::ARRAY)
    {
    }

    bool hasFailed() const { return m_hasFailed; }
    void fail() { m_hasFailed = true; }

    // The next field, or null when the array ends before it.
    const msgpack::object* next()
    {
        if (m_hasFailed || m_position >= m_object.via.array.size)
            return nullptr;
        return &m_object.via.array.ptr[m_position++];
    }

    // Reads the next field as a number, a flag or a string.
    template <typename Value>
    void read(Value& out)
    {
        const msgpack::object* field = next();
        if (!field)
            return;
        try {
            field->convert(out);
        } catch (const msgpack::type_error&) {
            m_hasFailed = true;
        }
    }

    // Reads the next field as an array of records, each by a function that returns false on failure.
    template <typename Record, typename Function>
    void readRecords(std::vector<Record>& out, Function readRecord)
    {
        const msgpack::object* field = next();
        if (!field)
            return;
        if (field->type != msgpack::type::ARRAY)
            return fail();
        out.reserve(field->via.array.size);
        for (const msgpack::object& element : field->via.array) {
            msgpack_array_reader inner(element);
            Record record;
            readRecord(inner, record);
            if (inner.hasFailed())
                return fail();
            out.push_back(std::move(record));
        }
    }

private:
    const msgpack::object& m_object;
    std::uint32_t m_position = 0;
    bool m_hasFailed;
};

} // namespace jackdaw::protocol::internal
