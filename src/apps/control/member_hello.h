// The message by which a control process tells the others of its group that it is alive, whether or not it is a member yet.
#pragma once

#include "protocol/raft_messages.h"
#include "protocol/result.h"

#include <optional>
#include <string>
#include <string_view>

namespace jackdaw::control {

struct member_hello {
    std::string group;
    protocol::raft_member_id member;
    bool hasGroup = false; // it belongs to a group that was founded already

    friend bool operator==(const member_hello&, const member_hello&) = default;
};

std::string encodeHello(const member_hello& hello);

// std::nullopt for messages of another family. corrupt_data for those of this family that can't be read.
protocol::result<std::optional<member_hello>> decodeHello(std::string_view bytes);

} // namespace jackdaw::control
