// msgpack codec of mesh frames.
#include "transport/internal/mesh_frame.h"

#include "protocol/msgpack_codec.h"

namespace jackdaw::transport::internal {

std::string encodeFrame(const mesh_frame& frame)
{
    return protocol::packMessage(frame);
}

protocol::result<mesh_frame> decodeFrame(std::string_view bytes)
{
    protocol::unpack_options options = protocol::messageOptions;
    options.maxElements = 4 * maxFrameBodies; // earlier releases put more into a frame
    return protocol::unpackMessage<mesh_frame>(bytes, options);
}

} // namespace jackdaw::transport::internal
