// The unit that travels on a link between two processes: a batch of messages with acknowledgement.
#pragma once

#include "protocol/result.h"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::transport::internal {

// Of one frame: a receiver takes up to 64 bytes for the shortest body, which has one byte on the wire.
constexpr std::ptrdiff_t maxFrameBodies = 16384;

struct mesh_frame {
    std::uint32_t version = 1;
    std::string sender;
    std::uint64_t senderIncarnation = 0;
    std::uint64_t sequence = 0; // of the sender's frames with bodies to this receiver, from 1; the last one for a bare acknowledgement
    std::uint64_t ackIncarnation = 0; // the receiver's incarnation that ackSequence counts
    std::uint64_t ackSequence = 0; // highest sequence heard from the receiver
    std::vector<std::string> bodies; // empty: a bare acknowledgement

    MSGPACK_DEFINE(version, sender, senderIncarnation, sequence, ackIncarnation, ackSequence, bodies)
};

std::string encodeFrame(const mesh_frame& frame);

// malformed_request when the bytes are no frame. Trailing fields of a later version are ignored.
protocol::result<mesh_frame> decodeFrame(std::string_view bytes);

} // namespace jackdaw::transport::internal
