// Identifies a job: a UUIDv7 (RFC 9562) made by the client. Its time stamp bounds how long claims are kept.
#pragma once

#include "protocol/result.h"
#include "protocol/time.h"

#include <boost/uuid/uuid.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace jackdaw::protocol {

using submission_id = boost::uuids::uuid;

// Parses the canonical text form. Fails with malformed_request unless the id is version 7 with the RFC 9562 variant.
result<submission_id> parseSubmissionId(std::string_view text);

std::string toText(const submission_id& id);

// The millisecond time stamp in the first 48 bits.
unix_milliseconds creationTime(const submission_id& id);

// Builds an id from a time stamp and 128 random bits, of which 74 are used.
submission_id makeSubmissionId(unix_milliseconds created, std::uint64_t randomHigh, std::uint64_t randomLow);

} // namespace jackdaw::protocol

template <>
struct std::hash<boost::uuids::uuid> {
    std::size_t operator()(const boost::uuids::uuid& id) const noexcept { return boost::uuids::hash_value(id); }
};
