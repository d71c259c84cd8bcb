// Encoding and checking of journal segments.
#include "state/internal/journal_segment.h"

#include "state/internal/byte_order.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <limits>

namespace jackdaw::state::internal {

using protocol::error_kind;
using protocol::makeError;
using protocol::result;

namespace {

    constexpr std::string_view magic = "JDJRNL01";
    constexpr std::string_view namePrefix = "journal-";
    constexpr std::string_view nameSuffix = ".log";
    constexpr std::size_t nameDigits = std::numeric_limits<std::uint64_t>::digits10 + 1;

    constexpr std::size_t indexBytes = 8;
    constexpr std::size_t lengthBytes = 4;
    constexpr std::size_t checksumBytes = 8;
    constexpr std::size_t headerBytes = magic.size() + indexBytes + checksumBytes;
    constexpr std::size_t frameBytes = lengthBytes + indexBytes + checksumBytes;

    std::uint64_t checksumOf(std::string_view bytes, std::uint64_t seed)
    {
        return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
    }

    // Blocks that were allocated but not written before a crash read as zeros.
    bool isAllZero(std::string_view bytes)
    {
        return std::all_of(bytes.begin(), bytes.end(), [](char c) { return c == 0; });
    }

    constexpr std::size_t sectorBytes = 512; // the smallest unit that a disk writes
    constexpr std::size_t minHoleBytes = 32; // more than a damaged byte between zeros that the data may have

    // Whether a sector of the record was not written before a power loss and reads as zeros, though later ones were written.
    // offset: of the record in its file.
    bool hasUnwrittenSector(std::string_view record, std::size_t offset)
    {
        for (std::size_t begin = 0; begin < record.size();) {
            const std::size_t length = std::min(sectorBytes - (offset + begin) % sectorBytes, record.size() - begin);
            if (length >= minHoleBytes && isAllZero(record.substr(begin, length)))
                return true;
            begin += length;
        }
        return false;
    }

    protocol::error corruptAt(const std::string& path, std::size_t offset, std::string_view reason)
    {
        return makeError(error_kind::corrupt_data, path + ": offset " + std::to_string(offset) + ": " + std::string(reason));
    }

    std::uint64_t readField(std::string_view bytes, std::size_t offset, std::size_t size)
    {
        return readLittleEndian(bytes.substr(offset, size));
    }

} // namespace

std::string segmentPath(const std::string& folder, std::uint64_t firstIndex)
{
    const std::string digits = std::to_string(firstIndex);
    std::string path = folder + '/';
    path += namePrefix;
    path += std::string(nameDigits - digits.size(), '0') + digits;
    path += nameSuffix;
    return path;
}

std::uint64_t parseSegmentName(std::string_view fileName)
{
    if (!fileName.starts_with(namePrefix) || !fileName.ends_with(nameSuffix))
        return 0;
    fileName.remove_prefix(namePrefix.size());
    fileName.remove_suffix(nameSuffix.size());
    std::uint64_t index = 0;
    const auto [end, failure] = std::from_chars(fileName.data(), fileName.data() + fileName.size(), index);
    const bool isWhole = failure == std::errc() && end == fileName.data() + fileName.size();
    return isWhole && fileName.size() == nameDigits ? index : 0;
}

std::string encodeSegmentHeader(std::uint64_t firstIndex)
{
    std::string header(magic);
    appendLittleEndian(header, firstIndex, indexBytes);
    appendLittleEndian(header, checksumOf(header, 0), checksumBytes);
    return header;
}

void appendRecord(std::string& out, const journal_record& record)
{
    std::string frame;
    appendLittleEndian(frame, record.data.size(), lengthBytes);
    appendLittleEndian(frame, record.index, indexBytes);
    appendLittleEndian(frame, checksumOf(frame, 0), checksumBytes);
    out.reserve(out.size() + frame.size() + record.data.size() + checksumBytes); // a large record is not copied for its checksum
    out += frame;
    out += record.data;
    appendLittleEndian(out, checksumOf(record.data, record.index), checksumBytes);
}

result<segment_scan> scanSegment(const std::string& path, std::uint64_t firstIndex, std::string_view bytes,
    const journal::record_hook& onRecord)
{
    segment_scan scan { .segment = { .path = path, .firstIndex = firstIndex, .size = 0, .offsets = {} } };
    if (bytes.size() < headerBytes || isAllZero(bytes)) {
        scan.isTorn = true;
        return scan;
    }
    if (bytes.substr(0, headerBytes) != encodeSegmentHeader(firstIndex))
        return corruptAt(path, 0, "wrong segment header");
    scan.hasHeader = true;

    std::size_t offset = headerBytes;
    while (offset < bytes.size()) {
        const std::string_view rest = bytes.substr(offset);
        if (rest.size() < frameBytes || isAllZero(rest))
            break;
        if (readField(rest, lengthBytes + indexBytes, checksumBytes) != checksumOf(rest.substr(0, lengthBytes + indexBytes), 0))
            return corruptAt(path, offset, "wrong checksum of a record's frame");
        const std::size_t length = readField(rest, 0, lengthBytes);
        const std::uint64_t index = readField(rest, lengthBytes, indexBytes);
        if (index != scan.segment.nextIndex() || length > maxRecordBytes)
            return corruptAt(path, offset, "record " + std::to_string(index) + " is out of place");
        const std::size_t recordBytes = frameBytes + length + checksumBytes;
        if (rest.size() < recordBytes)
            break;
        const std::string_view data = rest.substr(frameBytes, length);
        const bool isDamaged = readField(rest, frameBytes + length, checksumBytes) != checksumOf(data, index);
        const bool isLast = isAllZero(rest.substr(recordBytes));
        if (isDamaged && isLast && hasUnwrittenSector(rest.substr(frameBytes, length + checksumBytes), offset + frameBytes))
            break;
        if (isDamaged)
            return corruptAt(path, offset, "wrong checksum of record " + std::to_string(index));
        scan.segment.offsets.push_back(offset);
        onRecord({ index, data });
        offset += recordBytes;
    }
    scan.segment.size = offset;
    scan.isTorn = offset < bytes.size();
    return scan;
}

} // namespace jackdaw::state::internal
