// Bytes of the replicated log's messages, for links between processes, and of its records, for the disk.
//
// A message begins with its family and the name of its group, so that several groups can share a link.
#pragma once

#include "protocol/raft_messages.h"
#include "protocol/result.h"

#include <optional>
#include <string>
#include <string_view>

namespace jackdaw::protocol {

struct raft_envelope {
    std::string group;
    raft_message message;

    friend bool operator==(const raft_envelope&, const raft_envelope&) = default;
};

std::string encodeRaftMessage(std::string_view group, const raft_message& message);

// std::nullopt for messages of another family. corrupt_data for those of this family that can't be read.
result<std::optional<raft_envelope>> decodeRaftMessage(std::string_view bytes);

// Records on the disk. Decoding yields corrupt_data when the bytes are not such a record.
std::string encodeRaftEntry(const raft_entry& entry);
result<raft_entry> decodeRaftEntry(std::string_view bytes);
std::string encodeRaftSnapshot(const raft_snapshot& snapshot);
result<raft_snapshot> decodeRaftSnapshot(std::string_view bytes);
std::string encodeRaftHardState(const raft_hard_state& hardState);
result<raft_hard_state> decodeRaftHardState(std::string_view bytes);

} // namespace jackdaw::protocol
