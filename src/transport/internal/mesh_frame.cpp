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
    return protocol::unpackMessage<mesh_frame>(bytes);
}

} // namespace jackdaw::transport::internal
