// Files and folders by POSIX calls.
#include "state/internal/file.h"

#include <array>
#include <cerrno>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace jackdaw::state::internal {

using protocol::error_kind;
using protocol::makeError;
using protocol::result;

namespace {

    constexpr mode_t fileMode = 0640;
    constexpr std::size_t readChunkBytes = 64 * 1024;

} // namespace

protocol::error storageError(const std::string& path, std::string_view action)
{
    const std::error_code cause(errno, std::generic_category());
    return makeError(error_kind::storage_failed, path + ": " + std::string(action) + ": " + cause.message());
}

file::file(file&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_path(std::move(other.m_path))
{
}

file& file::operator=(file&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    std::swap(m_path, other.m_path);
    return *this;
}

file::~file()
{
    if (isOpen())
        ::close(m_descriptor);
}

result<file> file::open(const std::string& path, int flags)
{
    file opened;
    opened.m_path = path;
    opened.m_descriptor = ::open(path.c_str(), flags | O_CLOEXEC, fileMode);
    if (!opened.isOpen())
        return storageError(path, "can't be opened");
    return opened;
}

result<void> file::write(std::string_view bytes, const file_hooks& hooks)
{
    while (!bytes.empty()) {
        const ssize_t written = hooks.write ? hooks.write(m_descriptor, bytes.data(), bytes.size())
                                            : ::write(m_descriptor, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return storageError(m_path, "can't be written");
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return boost::outcome_v2::success();
}

result<void> file::sync(const file_hooks& hooks)
{
    const int status = hooks.sync ? hooks.sync(m_descriptor) : ::fsync(m_descriptor);
    if (status != 0)
        return storageError(m_path, "can't be synced");
    return boost::outcome_v2::success();
}

result<void> file::truncate(std::uint64_t size)
{
    if (::ftruncate(m_descriptor, static_cast<off_t>(size)) != 0)
        return storageError(m_path, "can't be truncated");
    return boost::outcome_v2::success();
}

result<void> syncFolder(const std::string& path, const file_hooks& hooks)
{
    auto folder = file::open(path, O_RDONLY | O_DIRECTORY);
    if (!folder)
        return folder.error();
    return folder.value().sync(hooks);
}

result<std::optional<std::string>> readWholeFile(const std::string& path)
{
    auto opened = file::open(path, O_RDONLY);
    if (!opened && errno == ENOENT)
        return std::optional<std::string>();
    if (!opened)
        return opened.error();
    std::string content;
    std::array<char, readChunkBytes> chunk;
    while (true) {
        const ssize_t count = ::read(opened.value().descriptor(), chunk.data(), chunk.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return storageError(path, "can't be read");
        if (count == 0)
            return std::optional<std::string>(std::move(content));
        content.append(chunk.data(), static_cast<std::size_t>(count));
    }
}

} // namespace jackdaw::state::internal
