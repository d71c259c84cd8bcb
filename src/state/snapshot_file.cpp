// Atomic replacement of one checksummed file. Layout: 8 bytes magic, 8 bytes XXH3 of the content, the content.
#include "state/snapshot_file.h"

#include "state/internal/byte_order.h"
#include "state/internal/file.h"

#include <xxhash.h>

#include <filesystem>

#include <fcntl.h>
#include <unistd.h>

namespace jackdaw::state {

using protocol::error_kind;
using protocol::makeError;
using protocol::result;

namespace {

    constexpr std::string_view magic = "JDSNAP01";
    constexpr std::size_t checksumBytes = 8;
    constexpr std::size_t headerBytes = magic.size() + checksumBytes;

} // namespace

snapshot_file::snapshot_file(std::string path, file_hooks hooks)
    : m_path(std::move(path))
    , m_hooks(std::move(hooks))
{
}

result<void> snapshot_file::store(std::string_view content)
{
    if (m_hasFailed)
        return makeError(error_kind::storage_failed, m_path + ": an earlier write failed; reopen the data folder");
    auto replaced = replace(content);
    m_hasFailed = replaced.has_error();
    return replaced;
}

result<void> snapshot_file::replace(std::string_view content)
{
    const std::string temporary = m_path + ".tmp";
    auto opened = internal::file::open(temporary, O_WRONLY | O_CREAT | O_TRUNC);
    if (!opened)
        return opened.error();
    std::string header(magic);
    internal::appendLittleEndian(header, XXH3_64bits(content.data(), content.size()), checksumBytes);
    auto written = opened.value().write(header, m_hooks);
    if (written)
        written = opened.value().write(content, m_hooks);
    if (written)
        written = opened.value().sync(m_hooks);
    if (!written) {
        ::unlink(temporary.c_str());
        return written;
    }
    if (::rename(temporary.c_str(), m_path.c_str()) != 0)
        return internal::storageError(m_path, "can't be replaced");
    return internal::syncFolder(std::filesystem::path(m_path).parent_path().string(), m_hooks);
}

result<std::optional<std::string>> snapshot_file::load() const
{
    auto read = internal::readWholeFile(m_path);
    if (!read || !read.value())
        return read;
    std::string& bytes = *read.value();
    const std::string_view view = bytes;
    if (view.size() < headerBytes || !view.starts_with(magic))
        return makeError(error_kind::corrupt_data, m_path + ": offset 0: not a snapshot file");
    const auto checksum = internal::readLittleEndian(view.substr(magic.size(), checksumBytes));
    const std::string_view content = view.substr(headerBytes);
    if (checksum != XXH3_64bits(content.data(), content.size()))
        return makeError(error_kind::corrupt_data, m_path + ": offset " + std::to_string(headerBytes) + ": wrong checksum");
    bytes.erase(0, headerBytes);
    return read;
}

} // namespace jackdaw::state
