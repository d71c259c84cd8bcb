// Sixteen bytes that are overwritten in place: the index and its checksum.
#include "state/internal/acknowledged_index.h"

#include "state/internal/byte_order.h"

#include <xxhash.h>

#include <fcntl.h>
#include <unistd.h>

namespace jackdaw::state::internal {

using protocol::result;

namespace {

    constexpr std::size_t fieldBytes = 8;

    std::string encode(std::uint64_t value)
    {
        std::string bytes;
        appendLittleEndian(bytes, value, fieldBytes);
        appendLittleEndian(bytes, XXH3_64bits(bytes.data(), bytes.size()), fieldBytes);
        return bytes;
    }

} // namespace

result<acknowledged_index> acknowledged_index::open(const std::string& path)
{
    const auto content = readWholeFile(path);
    if (!content)
        return content.error();
    auto opened = file::open(path, O_WRONLY | O_CREAT);
    if (!opened)
        return opened.error();
    acknowledged_index index;
    index.m_file = std::move(opened.value());
    const std::string bytes = content.value().value_or(std::string());
    const std::uint64_t stored = readLittleEndian(std::string_view(bytes).substr(0, fieldBytes));
    if (bytes == encode(stored))
        index.m_value = stored;
    return index;
}

result<void> acknowledged_index::raise(std::uint64_t value)
{
    return write(value);
}

result<void> acknowledged_index::lower(std::uint64_t value, const file_hooks& hooks)
{
    if (value >= m_value)
        return boost::outcome_v2::success();
    if (auto written = write(value); !written)
        return written;
    return m_file.sync(hooks);
}

result<void> acknowledged_index::write(std::uint64_t value)
{
    const std::string bytes = encode(value);
    if (::pwrite(m_file.descriptor(), bytes.data(), bytes.size(), 0) != static_cast<ssize_t>(bytes.size()))
        return storageError(m_file.path(), "can't be written");
    m_value = value;
    return boost::outcome_v2::success();
}

} // namespace jackdaw::state::internal
