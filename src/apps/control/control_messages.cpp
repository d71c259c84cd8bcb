// Codec of the messages between control processes.
#include "apps/control/control_messages.h"

#include "protocol/msgpack_codec.h"
#include "protocol/raft_codec.h"

namespace jackdaw::control {

using protocol::result;

namespace {

    // Numbers on the wire; they are never given to another kind.
    enum class message_kind : std::uint32_t {
        raft = 1,
        hello = 2
    };

    struct packed_message {
        std::string group;
        std::uint32_t kind = 0;
        std::string raft; // only for raft
        std::string host; // this and the next one only for hello
        std::uint64_t incarnation = 0;

        MSGPACK_DEFINE_ARRAY(group, kind, raft, host, incarnation)
    };

} // namespace

std::string encode(const control_message& message)
{
    packed_message packed { message.group, 0, {}, {}, 0 };
    if (const auto* raft = std::get_if<protocol::raft_message>(&message.body)) {
        packed.kind = static_cast<std::uint32_t>(message_kind::raft);
        packed.raft = protocol::encode(*raft);
    } else {
        const auto& hello = std::get<member_hello>(message.body);
        packed.kind = static_cast<std::uint32_t>(message_kind::hello);
        packed.host = hello.member.host;
        packed.incarnation = hello.member.incarnation;
    }
    return protocol::packMessage(packed);
}

result<control_message> decodeControlMessage(std::string_view bytes)
{
    auto packed = protocol::unpackMessage<packed_message>(bytes, protocol::recordOptions);
    if (!packed)
        return packed.error();
    packed_message& message = packed.value();
    if (message.kind == static_cast<std::uint32_t>(message_kind::hello))
        return control_message { std::move(message.group), member_hello { { std::move(message.host), message.incarnation } } };
    if (message.kind != static_cast<std::uint32_t>(message_kind::raft))
        return protocol::makeError(protocol::error_kind::corrupt_data, "control message of unknown kind " + std::to_string(message.kind));
    auto raft = protocol::decodeRaftMessage(message.raft);
    if (!raft)
        return raft.error();
    return control_message { std::move(message.group), std::move(raft.value()) };
}

} // namespace jackdaw::control
