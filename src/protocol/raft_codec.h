// Msgpack encoding of Raft messages and journal records. Each is an array that starts with a format version. A reader ignores
// trailing fields, so that two releases can run in one group.
#pragma once

#include "protocol/raft_messages.h"
#include "protocol/result.h"

#include <string>
#include <string_view>

namespace jackdaw::protocol {

std::string encode(const raft_message& message);
std::string encode(const raft_entry& entry);
std::string encode(const raft_snapshot& snapshot);
std::string encode(const raft_hard_state& state);

// Fail with corrupt_data when the bytes can't be decoded or have another format version.
result<raft_message> decodeRaftMessage(std::string_view bytes);
result<raft_entry> decodeRaftEntry(std::string_view bytes);
result<raft_snapshot> decodeRaftSnapshot(std::string_view bytes);
result<raft_hard_state> decodeRaftHardState(std::string_view bytes);

} // namespace jackdaw::protocol
