// Messages between the control processes of one group: those of the replicated log, and signs of life.
#pragma once

#include "protocol/raft_messages.h"
#include "protocol/result.h"

#include <string>
#include <string_view>
#include <variant>

namespace jackdaw::control {

// The sender is alive, whether or not it is a member of the group yet.
struct member_hello {
    protocol::raft_member_id member;

    friend bool operator==(const member_hello&, const member_hello&) = default;
};

struct control_message {
    std::string group;
    std::variant<protocol::raft_message, member_hello> body;

    friend bool operator==(const control_message&, const control_message&) = default;
};

std::string encode(const control_message& message);

// corrupt_data when the bytes are not such a message.
protocol::result<control_message> decodeControlMessage(std::string_view bytes);

} // namespace jackdaw::control
