// The msgpack form of the replicated log's messages and journal records. Every form is an array that starts with a format
// version; a reader ignores trailing fields, so that two releases run side by side.
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

// Bytes that can't be read, or of a newer major format, yield corrupt_data.
result<raft_message> decodeRaftMessage(std::string_view bytes);
result<raft_entry> decodeRaftEntry(std::string_view bytes);
result<raft_snapshot> decodeRaftSnapshot(std::string_view bytes);
result<raft_hard_state> decodeRaftHardState(std::string_view bytes);

} // namespace jackdaw::protocol
