// One file that is replaced as a whole: after a crash it holds either the old or the new content, never a mixture.
// Written by temporary file, fsync, rename and fsync of the folder; guarded by a checksum.
#pragma once

#include "protocol/result.h"
#include "state/file_hooks.h"

#include <optional>
#include <string>
#include <string_view>

namespace jackdaw::state {

class snapshot_file {
public:
    explicit snapshot_file(std::string path, file_hooks hooks = {});

    // On disk when it returns. storage_failed: the old content holds, and every later store is refused with
    // storage_failed, since the disk's state is not known any more; load() goes on.
    protocol::result<void> store(std::string_view content);

    // std::nullopt when there is no file; corrupt_data with the path when the checksum is wrong.
    protocol::result<std::optional<std::string>> load() const;

    bool hasFailed() const { return m_hasFailed; }

private:
    protocol::result<void> replace(std::string_view content);

    std::string m_path;
    file_hooks m_hooks;
    bool m_hasFailed = false;
};

} // namespace jackdaw::state
