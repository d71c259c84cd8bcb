// Segments in order, the last one open for appending.
#include "state/journal.h"

#include "state/internal/acknowledged_index.h"
#include "state/internal/file.h"
#include "state/internal/journal_segment.h"

#include <algorithm>
#include <cerrno>
#include <filesystem>

#include <fcntl.h>
#include <unistd.h>

namespace jackdaw::state {

using internal::journal_segment;
using protocol::error_kind;
using protocol::makeError;
using protocol::result;

namespace {

    constexpr auto acknowledgedFileName = "acknowledged";

} // namespace

class journal::impl {
public:
    journal_settings settings;
    internal::acknowledged_index acknowledged;
    std::uint64_t lostUpTo = 0;
    std::vector<journal_segment> segments; // in order, without gaps between them
    internal::file active; // the last segment; not open when there is none
    bool hasFailed = false;

    bool isEmpty() const
    {
        return segments.empty() || (segments.size() == 1 && segments.front().offsets.empty());
    }

    std::uint64_t nextIndex() const { return segments.empty() ? 0 : segments.back().nextIndex(); }

    result<void> load();
    result<void> loadAcknowledged();
    result<void> loadSegment(std::uint64_t firstIndex, bool isLast);
    result<void> cutTornTail(const internal::segment_scan& scan);
    result<void> openActive();
    result<void> checkAppend(std::span<const journal_record> records) const;
    result<void> beginSegment(std::uint64_t firstIndex);
    result<void> appendToActive(std::span<const journal_record> records);
    result<void> truncateFrom(std::uint64_t index);
    result<void> removeSegment(const journal_segment& segment);
    result<void> removeLastSegment();

    // Runs a change unless an earlier one failed, and remembers its failure.
    template <typename Change>
    result<void> guard(const Change& change)
    {
        if (hasFailed)
            return makeError(error_kind::storage_failed, settings.folder + ": an earlier write failed; reopen the journal");
        result<void> changed = change();
        hasFailed = changed.has_error();
        return changed;
    }
};

result<void> journal::impl::load()
{
    std::error_code failure;
    std::filesystem::create_directories(settings.folder, failure);
    std::vector<std::uint64_t> firstIndexes;
    for (std::filesystem::directory_iterator entry(settings.folder, failure); !failure && entry != std::filesystem::directory_iterator(); entry.increment(failure)) {
        if (const auto index = internal::parseSegmentName(entry->path().filename().string()); index > 0)
            firstIndexes.push_back(index);
    }
    if (failure)
        return makeError(error_kind::storage_failed, settings.folder + ": can't be read: " + failure.message());
    std::sort(firstIndexes.begin(), firstIndexes.end());
    for (const std::uint64_t firstIndex : firstIndexes) {
        if (auto loaded = loadSegment(firstIndex, firstIndex == firstIndexes.back()); !loaded)
            return loaded;
    }
    return loadAcknowledged();
}

result<void> journal::impl::loadAcknowledged()
{
    auto opened = internal::acknowledged_index::open(settings.folder + '/' + acknowledgedFileName);
    if (!opened)
        return opened.error();
    acknowledged = std::move(opened.value());
    const std::uint64_t next = nextIndex();
    if (acknowledged.value() > 0 && acknowledged.value() >= next)
        lostUpTo = acknowledged.value();
    return openActive();
}

result<void> journal::impl::loadSegment(std::uint64_t firstIndex, bool isLast)
{
    const std::string path = internal::segmentPath(settings.folder, firstIndex);
    const auto bytes = internal::readWholeFile(path);
    if (!bytes)
        return bytes.error();
    if (!bytes.value())
        return makeError(error_kind::storage_failed, path + ": vanished while it was read");
    auto scan = internal::scanSegment(path, firstIndex, *bytes.value(), [](const journal_record&) {});
    if (!scan)
        return scan.error();
    if (!segments.empty() && segments.back().nextIndex() != firstIndex)
        return makeError(error_kind::corrupt_data, path + ": offset 0: records from " + std::to_string(segments.back().nextIndex()) + " on are missing before it");
    if (scan.value().isTorn && !isLast)
        return makeError(error_kind::corrupt_data, path + ": offset " + std::to_string(scan.value().segment.size) + ": ends early, though a later segment follows");
    if (scan.value().isTorn) {
        if (auto cut = cutTornTail(scan.value()); !cut)
            return cut;
    }
    if (scan.value().hasHeader)
        segments.push_back(std::move(scan.value().segment));
    return boost::outcome_v2::success();
}

result<void> journal::impl::cutTornTail(const internal::segment_scan& scan)
{
    if (!scan.hasHeader)
        return removeSegment(scan.segment);
    auto opened = internal::file::open(scan.segment.path, O_WRONLY);
    if (!opened)
        return opened.error();
    if (auto cut = opened.value().truncate(scan.segment.size); !cut)
        return cut;
    return opened.value().sync(settings.hooks);
}

result<void> journal::impl::openActive()
{
    active = internal::file();
    if (segments.empty())
        return boost::outcome_v2::success();
    auto opened = internal::file::open(segments.back().path, O_WRONLY | O_APPEND);
    if (!opened)
        return opened.error();
    active = std::move(opened.value());
    return boost::outcome_v2::success();
}

result<void> journal::impl::checkAppend(std::span<const journal_record> records) const
{
    std::uint64_t expected = segments.empty() ? std::max<std::uint64_t>(records.front().index, 1) : nextIndex();
    for (const journal_record& record : records) {
        if (record.index != expected)
            return makeError(error_kind::internal, "record " + std::to_string(record.index) + " where " + std::to_string(expected) + " follows");
        if (record.data.size() > internal::maxRecordBytes)
            return makeError(error_kind::body_too_large, "record of " + std::to_string(record.data.size()) + " bytes");
        ++expected;
    }
    return boost::outcome_v2::success();
}

result<void> journal::impl::beginSegment(std::uint64_t firstIndex)
{
    const std::string path = internal::segmentPath(settings.folder, firstIndex);
    auto opened = internal::file::open(path, O_WRONLY | O_APPEND | O_CREAT | O_TRUNC);
    if (!opened)
        return opened.error();
    const std::string header = internal::encodeSegmentHeader(firstIndex);
    auto begun = opened.value().write(header, settings.hooks);
    if (begun)
        begun = opened.value().sync(settings.hooks);
    if (begun)
        begun = internal::syncFolder(settings.folder, settings.hooks);
    if (!begun) {
        ::unlink(path.c_str());
        return begun;
    }
    active = std::move(opened.value());
    segments.push_back({ path, firstIndex, header.size(), {} });
    return boost::outcome_v2::success();
}

result<void> journal::impl::appendToActive(std::span<const journal_record> records)
{
    journal_segment& segment = segments.back();
    std::string bytes;
    std::vector<std::uint64_t> offsets;
    for (const journal_record& record : records) {
        offsets.push_back(segment.size + bytes.size());
        internal::appendRecord(bytes, record);
    }
    auto written = active.write(bytes, settings.hooks);
    if (written)
        written = active.sync(settings.hooks);
    if (!written) {
        // Whatever did reach the file must not come back as a record on the next open.
        if (active.truncate(segment.size))
            static_cast<void>(active.sync(settings.hooks));
        return written;
    }
    segment.size += bytes.size();
    segment.offsets.insert(segment.offsets.end(), offsets.begin(), offsets.end());
    return acknowledged.raise(records.back().index);
}

result<void> journal::impl::removeSegment(const journal_segment& segment)
{
    if (::unlink(segment.path.c_str()) != 0)
        return internal::storageError(segment.path, "can't be removed");
    return internal::syncFolder(settings.folder, settings.hooks);
}

result<void> journal::impl::removeLastSegment()
{
    if (auto removed = removeSegment(segments.back()); !removed)
        return removed;
    segments.pop_back();
    return openActive();
}

result<void> journal::impl::truncateFrom(std::uint64_t index)
{
    if (auto lowered = acknowledged.lower(index - 1, settings.hooks); !lowered)
        return lowered;
    while (!segments.empty() && segments.back().firstIndex >= index) {
        if (auto removed = removeLastSegment(); !removed)
            return removed;
    }
    if (segments.empty() || index >= nextIndex())
        return boost::outcome_v2::success();
    journal_segment& segment = segments.back();
    const std::size_t kept = index - segment.firstIndex;
    if (auto cut = active.truncate(segment.offsets[kept]); !cut)
        return cut;
    segment.size = segment.offsets[kept];
    segment.offsets.resize(kept);
    return active.sync(settings.hooks);
}

journal::journal(std::unique_ptr<impl> opened)
    : m_impl(std::move(opened))
{
}
journal::journal(journal&&) noexcept = default;
journal& journal::operator=(journal&&) noexcept = default;
journal::~journal() = default;

result<journal> journal::open(journal_settings settings)
{
    auto opened = std::make_unique<impl>();
    opened->settings = std::move(settings);
    if (const auto loaded = opened->load(); !loaded)
        return loaded.error();
    return journal(std::move(opened));
}

result<void> journal::append(std::span<const journal_record> records)
{
    if (records.empty())
        return boost::outcome_v2::success();
    if (m_impl->segments.size() == 1 && isEmpty() && m_impl->nextIndex() != records.front().index) {
        if (auto cleared = clear(); !cleared)
            return cleared;
    }
    if (auto checked = m_impl->checkAppend(records); !checked)
        return checked;
    return m_impl->guard([&]() -> result<void> {
        const bool isFull = !m_impl->segments.empty() && m_impl->segments.back().size >= m_impl->settings.segmentBytes;
        if (m_impl->segments.empty() || isFull) {
            if (auto begun = m_impl->beginSegment(records.front().index); !begun)
                return begun;
        }
        return m_impl->appendToActive(records);
    });
}

result<void> journal::truncateFrom(std::uint64_t index)
{
    return m_impl->guard([&] { return m_impl->truncateFrom(index); });
}

result<void> journal::compactUpTo(std::uint64_t index)
{
    return m_impl->guard([&]() -> result<void> {
        while (m_impl->segments.size() > 1 && m_impl->segments.front().nextIndex() <= index + 1) {
            if (auto removed = m_impl->removeSegment(m_impl->segments.front()); !removed)
                return removed;
            m_impl->segments.erase(m_impl->segments.begin());
        }
        return boost::outcome_v2::success();
    });
}

result<void> journal::clear()
{
    return m_impl->guard([&]() -> result<void> {
        if (auto lowered = m_impl->acknowledged.lower(0, m_impl->settings.hooks); !lowered)
            return lowered;
        while (!m_impl->segments.empty()) {
            if (auto removed = m_impl->removeLastSegment(); !removed)
                return removed;
        }
        return boost::outcome_v2::success();
    });
}

result<void> journal::read(std::uint64_t fromIndex, const record_hook& onRecord) const
{
    for (const journal_segment& segment : m_impl->segments) {
        if (segment.nextIndex() <= fromIndex)
            continue;
        const auto bytes = internal::readWholeFile(segment.path);
        if (!bytes)
            return bytes.error();
        const std::string content = bytes.value().value_or(std::string());
        const auto stored = std::string_view(content).substr(0, segment.size);
        const auto scan = internal::scanSegment(segment.path, segment.firstIndex, stored, [&](const journal_record& record) {
            if (record.index >= fromIndex)
                onRecord(record);
        });
        if (!scan)
            return scan.error();
        if (scan.value().segment.offsets.size() != segment.offsets.size())
            return makeError(error_kind::corrupt_data, segment.path + ": offset " + std::to_string(scan.value().segment.size) + ": records are missing");
    }
    return boost::outcome_v2::success();
}

bool journal::isEmpty() const
{
    return m_impl->isEmpty();
}

std::uint64_t journal::firstIndex() const
{
    return isEmpty() ? 0 : m_impl->segments.front().firstIndex;
}

std::uint64_t journal::lastIndex() const
{
    return isEmpty() ? 0 : m_impl->nextIndex() - 1;
}

std::uint64_t journal::storedBytes() const
{
    std::uint64_t total = 0;
    for (const journal_segment& segment : m_impl->segments)
        total += segment.size;
    return total;
}

std::uint64_t journal::lostUpTo() const
{
    return m_impl->lostUpTo;
}

bool journal::hasFailed() const
{
    return m_impl->hasFailed;
}

} // namespace jackdaw::state
