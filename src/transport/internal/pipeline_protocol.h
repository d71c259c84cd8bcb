// Wire format of the links between processes: the pipeline protocol of Scalability Protocols over TCP. Each side opens with a
// header that names its role; the pushing side then sends messages, each after its length.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace jackdaw::transport::internal {

constexpr std::size_t pipelineHeaderBytes = 8;
using pipeline_header = std::array<unsigned char, pipelineHeaderBytes>;

// Zero, "SP", version 0, the role as a big-endian 16-bit number, two reserved bytes.
constexpr pipeline_header pushHeader { 0, 'S', 'P', 0, 0, 0x50, 0, 0 };
constexpr pipeline_header pullHeader { 0, 'S', 'P', 0, 0, 0x51, 0, 0 };

constexpr std::size_t messageLengthBytes = 8;
using message_length = std::array<unsigned char, messageLengthBytes>;

constexpr message_length encodeMessageLength(std::uint64_t length)
{
    message_length out {};
    for (std::size_t i = out.size(); i > 0; --i, length >>= 8U)
        out[i - 1] = static_cast<unsigned char>(length & 0xffU);
    return out;
}

constexpr std::uint64_t decodeMessageLength(std::span<const unsigned char, messageLengthBytes> bytes)
{
    std::uint64_t length = 0;
    for (const unsigned char byte : bytes)
        length = (length << 8U) | byte;
    return length;
}

} // namespace jackdaw::transport::internal
