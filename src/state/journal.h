// Append-only journal of numbered records in segment files, synced before a call returns.
//
// On open, a torn tail (an append that a crash cut short) is cut off. Anything else that is wrong is corrupt_data with
// file and offset, and the journal does not open: a record that was synced is never dropped in silence. A file that was
// cut shorter looks like a torn tail; lostUpTo() tells it apart.
#pragma once

#include "protocol/result.h"
#include "state/file_hooks.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace jackdaw::state {

struct journal_settings {
    std::string folder; // made when absent
    std::uint64_t segmentBytes = 4 * 1024 * 1024; // a new segment is begun once one has grown over it
    file_hooks hooks;
};

// Views hold during the call only.
struct journal_record {
    std::uint64_t index = 0;
    std::string_view data;
};

class journal {
public:
    using record_hook = std::function<void(const journal_record& record)>;

    // corrupt_data, or storage_failed when the folder can't be read or the tail can't be cut off.
    static protocol::result<journal> open(journal_settings settings);

    journal(journal&&) noexcept;
    journal& operator=(journal&&) noexcept;
    ~journal();

    // Stores and syncs all records or none. The first index follows lastIndex(), or is any in an empty journal; indexes
    // go up by one. After storage_failed every later change is refused until the journal is opened again; read() goes on.
    protocol::result<void> append(std::span<const journal_record> records);

    // Drops the record with this index and all later ones.
    protocol::result<void> truncateFrom(std::uint64_t index);

    // Drops whole segments that hold nothing but records up to this index. Later records stay.
    protocol::result<void> compactUpTo(std::uint64_t index);

    // Drops everything; the next append may begin with any index.
    protocol::result<void> clear();

    // Reads the stored records from this index on, in order.
    protocol::result<void> read(std::uint64_t fromIndex, const record_hook& onRecord) const;

    bool isEmpty() const;
    std::uint64_t firstIndex() const; // 0 when empty
    std::uint64_t lastIndex() const; // 0 when empty
    std::uint64_t storedBytes() const;

    // When records that append() reported as stored were missing on open: the last one's index. Else 0.
    std::uint64_t lostUpTo() const;

    bool hasFailed() const;

private:
    class impl;
    explicit journal(std::unique_ptr<impl> opened);
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::state
