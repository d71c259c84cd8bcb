// Msgpack encoding of claim messages, commands and snapshots of the claim table. As in raft_codec.h, each is an array that
// starts with a format version, and a reader ignores trailing fields.
#pragma once

#include "protocol/claim_messages.h"
#include "protocol/result.h"

#include <string>
#include <string_view>

namespace jackdaw::protocol {

// One claim in a snapshot.
struct claim_record {
    submission_id submission;
    std::uint32_t coordinator = 0; // index into claim_snapshot::coordinators
    std::uint64_t attempt = 0;
    std::uint64_t bodyHash = 0;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

struct claim_snapshot {
    std::optional<unix_milliseconds> knownSince;
    unix_milliseconds time {};
    std::vector<claim_coordinator> coordinators;
    std::vector<claim_record> records;

    friend bool operator==(const claim_snapshot&, const claim_snapshot&) = default;
};

std::string encode(const claim_message& message);
std::string encode(const claim_command& command);
std::string encode(const claim_snapshot& snapshot);

// Fail with corrupt_data when the bytes can't be decoded.
result<claim_message> decodeClaimMessage(std::string_view bytes);
result<claim_command> decodeClaimCommand(std::string_view bytes);
result<claim_snapshot> decodeClaimSnapshot(std::string_view bytes);

} // namespace jackdaw::protocol
