// Files and folders by POSIX calls, with errors as results. Writes go through the hooks.
#pragma once

#include "protocol/result.h"
#include "state/file_hooks.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jackdaw::state::internal {

// Owns a file descriptor.
class file {
public:
    file() = default;
    file(file&& other) noexcept;
    file& operator=(file&& other) noexcept;
    file(const file&) = delete;
    file& operator=(const file&) = delete;
    ~file();

    // flags as for ::open.
    static protocol::result<file> open(const std::string& path, int flags);

    bool isOpen() const { return m_descriptor >= 0; }
    int descriptor() const { return m_descriptor; }
    const std::string& path() const { return m_path; }

    // Appends everything or fails with storage_failed; a part may then be in the file.
    protocol::result<void> write(std::string_view bytes, const file_hooks& hooks);
    protocol::result<void> sync(const file_hooks& hooks);
    protocol::result<void> truncate(std::uint64_t size);

private:
    int m_descriptor = -1;
    std::string m_path;
};

protocol::result<void> syncFolder(const std::string& path, const file_hooks& hooks);

// std::nullopt when there is no such file.
protocol::result<std::optional<std::string>> readWholeFile(const std::string& path);

// storage_failed with the path and errno's text.
protocol::error storageError(const std::string& path, std::string_view action);

} // namespace jackdaw::state::internal
