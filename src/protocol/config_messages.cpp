// Encodes and decodes configuration messages: an array of the kind, the format version and the fields.
#include "protocol/config_messages.h"

#include "protocol/msgpack_codec.h"

namespace jackdaw::protocol {
namespace {

    constexpr std::uint32_t formatVersion = 1;

    enum class message_kind : std::uint32_t {
        push = 1,
        pull = 2,
        drain = 3
    };

    struct packed_message {
        std::uint32_t kind = 0;
        std::uint32_t format = 0;
        std::uint64_t version = 0;
        std::string text;

        MSGPACK_DEFINE_ARRAY(kind, format, version, text)
    };

} // namespace

std::string encodeConfigMessage(const config_message& message)
{
    packed_message packed { 0, formatVersion, 0, {} };
    if (const auto* push = std::get_if<rules_push>(&message)) {
        packed.kind = static_cast<std::uint32_t>(message_kind::push);
        packed.version = push->version;
        packed.text = push->text;
    } else if (const auto* pull = std::get_if<rules_pull>(&message)) {
        packed.kind = static_cast<std::uint32_t>(message_kind::pull);
        packed.version = pull->version;
    } else {
        packed.kind = static_cast<std::uint32_t>(message_kind::drain);
    }
    return packMessage(packed);
}

result<config_message> decodeConfigMessage(std::string_view bytes)
{
    auto packed = unpackMessage<packed_message>(bytes, recordOptions);
    if (!packed)
        return packed.error();
    packed_message& message = packed.value();
    if (message.format == 0)
        return makeError(error_kind::corrupt_data, "configuration message without a format version");
    config_message out;
    if (message.kind == static_cast<std::uint32_t>(message_kind::push))
        out = rules_push { message.version, std::move(message.text) };
    else if (message.kind == static_cast<std::uint32_t>(message_kind::pull))
        out = rules_pull { message.version };
    else if (message.kind == static_cast<std::uint32_t>(message_kind::drain))
        out = drain_request {};
    else
        return makeError(error_kind::corrupt_data, "configuration message of unknown kind " + std::to_string(message.kind));
    return out;
}

} // namespace jackdaw::protocol
