// Little-endian integers in stored formats.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jackdaw::state::internal {

inline void appendLittleEndian(std::string& out, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t i = 0; i < bytes; ++i)
        out += static_cast<char>(value >> (8 * i));
}

// Reads all bytes of the view, at most 8.
inline std::uint64_t readLittleEndian(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = bytes.size(); i > 0; --i)
        value = (value << 8) | static_cast<unsigned char>(bytes[i - 1]);
    return value;
}

} // namespace jackdaw::state::internal
