// The replicated log of one member: a snapshot, the entries after it, and the membership entries among them.
#pragma once

#include "protocol/raft_messages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace jackdaw::coordination {

class raft_log {
public:
    raft_log(protocol::raft_snapshot snapshot, std::vector<protocol::raft_entry> entries);

    std::uint64_t lastIndex() const { return m_snapshot.index + m_entries.size(); }
    std::uint64_t lastTerm() const;
    const protocol::raft_snapshot& snapshot() const { return m_snapshot; }
    std::size_t size() const { return m_entries.size(); }

    // Returns the term of an entry, or of the snapshot at its index; std::nullopt if the entry is compacted or absent.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;

    // Returns the lowest index in the log from which all entries up to the given index have the same term.
    std::uint64_t firstIndexOfTerm(std::uint64_t index) const;

    // The index must be in the log.
    const protocol::raft_entry& at(std::uint64_t index) const { return m_entries[index - m_snapshot.index - 1]; }

    // Copies entries from an index on: at least one if there is any, even if it exceeds maxBytes.
    std::vector<protocol::raft_entry> slice(std::uint64_t from, std::size_t maxEntries, std::size_t maxBytes) const;

    // The entry's index must be lastIndex() + 1.
    void append(protocol::raft_entry entry);
    void truncateFrom(std::uint64_t index);
    void install(protocol::raft_snapshot snapshot);
    void compact(std::uint64_t index, std::string data);
    void compactLazily(std::uint64_t index);
    bool isSnapshotDataMissing() const { return m_isDataMissing; }

    // A membership takes effect as soon as its entry is in the log, before it is committed.
    const protocol::raft_membership& membership() const;
    std::uint64_t membershipIndex() const;

    // The one before membership(), which is committed: a leader changes no membership that is not. The same as membership()
    // if the log has no earlier one.
    const protocol::raft_membership& previousMembership() const;

    // Return what was added since the last call and must be stored.
    std::vector<protocol::raft_entry> takeUnstored();
    std::optional<protocol::raft_snapshot> takeUnstoredSnapshot();

private:
    const protocol::raft_membership& membershipAt(std::uint64_t index) const;

    protocol::raft_snapshot m_snapshot;
    std::deque<protocol::raft_entry> m_entries; // contiguous; the first index is m_snapshot.index + 1
    std::vector<std::uint64_t> m_membershipIndexes; // ascending; indexes of the membership entries
    std::uint64_t m_firstUnstored = 0; // above m_snapshot.index, at most lastIndex() + 1
    bool m_snapshotUnstored = false;
    bool m_isDataMissing = false; // compactLazily() was called and no snapshot data has followed
};

} // namespace jackdaw::coordination
