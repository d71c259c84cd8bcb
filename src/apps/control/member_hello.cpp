// Codec of the hello message.
#include "apps/control/member_hello.h"

#include "protocol/message_family.h"
#include "protocol/packed.h"

namespace jackdaw::control {

using protocol::result;

namespace {

    constexpr std::string_view family = "hello";

    struct packed_hello {
        std::string family;
        std::string group;
        std::string host;
        std::uint64_t incarnation = 0;
        bool hasGroup = false;

        MSGPACK_DEFINE_ARRAY(family, group, host, incarnation, hasGroup)
    };

} // namespace

std::string encodeHello(const member_hello& hello)
{
    return protocol::pack(packed_hello { std::string(family), hello.group, hello.member.host, hello.member.incarnation, hello.hasGroup });
}

result<std::optional<member_hello>> decodeHello(std::string_view bytes)
{
    if (!protocol::isOfFamily(bytes, family))
        return std::optional<member_hello>();
    auto packed = protocol::unpack<packed_hello>(bytes);
    if (!packed)
        return packed.error();
    packed_hello& hello = packed.value();
    return std::optional<member_hello>({ std::move(hello.group), { std::move(hello.host), hello.incarnation }, hello.hasGroup });
}

} // namespace jackdaw::control
