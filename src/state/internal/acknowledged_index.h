// Remembers beside a journal the last index whose append was reported as stored, so that a journal that was cut shorter
// is noticed. Not synced on appends: after a power loss it may be older than the journal, never newer.
#pragma once

#include "state/internal/file.h"

#include <cstdint>
#include <string>

namespace jackdaw::state::internal {

class acknowledged_index {
public:
    static protocol::result<acknowledged_index> open(const std::string& path);

    // 0 when nothing is known.
    std::uint64_t value() const { return m_value; }

    // Survives the end of the process, but not a power loss.
    protocol::result<void> raise(std::uint64_t value);

    // Synced: the records after it are about to be dropped.
    protocol::result<void> lower(std::uint64_t value, const file_hooks& hooks);

private:
    protocol::result<void> write(std::uint64_t value);

    file m_file;
    std::uint64_t m_value = 0;
};

} // namespace jackdaw::state::internal
