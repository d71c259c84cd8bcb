// Format of one segment file of the journal.
//
// A header of magic, first index and checksum, then records: a frame of length, index and the frame's checksum, the
// data, and the data's checksum. The frame has a checksum of its own, so that a damaged length is not taken for a torn
// tail.
#pragma once

#include "protocol/result.h"
#include "state/journal.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::state::internal {

struct journal_segment {
    std::string path;
    std::uint64_t firstIndex = 0;
    std::uint64_t size = 0; // bytes of the header and of all whole records
    std::vector<std::uint64_t> offsets; // of each record, in order

    std::uint64_t nextIndex() const { return firstIndex + offsets.size(); }
};

struct segment_scan {
    journal_segment segment;
    bool hasHeader = false; // false: torn within the header
    bool isTorn = false; // bytes follow the last whole record
};

inline constexpr std::size_t maxRecordBytes = 64 * 1024 * 1024;

std::string segmentPath(const std::string& folder, std::uint64_t firstIndex);

// The first index in a segment's file name; 0 for names of other files.
std::uint64_t parseSegmentName(std::string_view fileName);

std::string encodeSegmentHeader(std::uint64_t firstIndex);
void appendRecord(std::string& out, const journal_record& record);

// Checks a segment's bytes and calls the hook for each record. corrupt_data with path and offset.
protocol::result<segment_scan> scanSegment(const std::string& path, std::uint64_t firstIndex, std::string_view bytes,
    const journal::record_hook& onRecord);

} // namespace jackdaw::state::internal
