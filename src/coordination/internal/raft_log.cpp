// Keeps entries, snapshot and membership indexes consistent during append, truncation, compaction and snapshot installation.
#include "coordination/internal/raft_log.h"

#include <algorithm>

namespace jackdaw::coordination {

using protocol::raft_entry;
using protocol::raft_entry_kind;
using protocol::raft_membership;
using protocol::raft_snapshot;

raft_log::raft_log(raft_snapshot snapshot, std::vector<raft_entry> entries)
    : m_snapshot(std::move(snapshot))
{
    for (raft_entry& entry : entries)
        append(std::move(entry));
    m_firstUnstored = lastIndex() + 1;
}

std::uint64_t raft_log::lastTerm() const
{
    return m_entries.empty() ? m_snapshot.term : m_entries.back().term;
}

std::optional<std::uint64_t> raft_log::termAt(std::uint64_t index) const
{
    if (index == m_snapshot.index)
        return m_snapshot.term;
    if (index < m_snapshot.index || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

std::uint64_t raft_log::firstIndexOfTerm(std::uint64_t index) const
{
    const auto term = termAt(index);
    while (index > m_snapshot.index + 1 && termAt(index - 1) == term)
        --index;
    return index;
}

std::vector<raft_entry> raft_log::slice(std::uint64_t from, std::size_t maxEntries, std::size_t maxBytes) const
{
    std::vector<raft_entry> entries;
    std::size_t bytes = 0;
    for (std::uint64_t index = from; index <= lastIndex() && entries.size() < maxEntries; ++index) {
        bytes += at(index).data.size();
        if (!entries.empty() && bytes > maxBytes)
            break;
        entries.push_back(at(index));
    }
    return entries;
}

void raft_log::append(raft_entry entry)
{
    if (entry.kind == raft_entry_kind::membership)
        m_membershipIndexes.push_back(entry.index);
    m_entries.push_back(std::move(entry));
}

void raft_log::truncateFrom(std::uint64_t index)
{
    while (!m_membershipIndexes.empty() && m_membershipIndexes.back() >= index)
        m_membershipIndexes.pop_back();
    m_entries.resize(index - m_snapshot.index - 1);
    m_firstUnstored = std::min(m_firstUnstored, index);
}

void raft_log::install(raft_snapshot snapshot)
{
    m_snapshot = std::move(snapshot);
    m_entries.clear();
    m_membershipIndexes.clear();
    m_firstUnstored = m_snapshot.index + 1;
    m_snapshotUnstored = true;
    m_isDataMissing = false;
}

void raft_log::compact(std::uint64_t index, std::string data)
{
    const std::uint64_t term = *termAt(index);
    m_snapshot.membership = membershipAt(index);
    m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(index - m_snapshot.index));
    m_snapshot.index = index;
    m_snapshot.term = term;
    m_snapshot.data = std::move(data);
    std::erase_if(m_membershipIndexes, [index](std::uint64_t held) { return held <= index; });
    m_firstUnstored = std::max(m_firstUnstored, index + 1);
    m_isDataMissing = false;
}

void raft_log::compactLazily(std::uint64_t index)
{
    compact(index, {});
    m_isDataMissing = true;
}

const raft_membership& raft_log::membership() const
{
    return m_membershipIndexes.empty() ? m_snapshot.membership : at(m_membershipIndexes.back()).membership;
}

std::uint64_t raft_log::membershipIndex() const
{
    return m_membershipIndexes.empty() ? m_snapshot.index : m_membershipIndexes.back();
}

const raft_membership& raft_log::previousMembership() const
{
    return m_membershipIndexes.empty() ? m_snapshot.membership : membershipAt(m_membershipIndexes.back() - 1);
}

const raft_membership& raft_log::membershipAt(std::uint64_t index) const
{
    const auto after = std::upper_bound(m_membershipIndexes.begin(), m_membershipIndexes.end(), index);
    return after == m_membershipIndexes.begin() ? m_snapshot.membership : at(*std::prev(after)).membership;
}

std::vector<raft_entry> raft_log::takeUnstored()
{
    std::vector<raft_entry> entries;
    for (; m_firstUnstored <= lastIndex(); ++m_firstUnstored)
        entries.push_back(at(m_firstUnstored));
    return entries;
}

std::optional<raft_snapshot> raft_log::takeUnstoredSnapshot()
{
    if (!m_snapshotUnstored)
        return std::nullopt;
    m_snapshotUnstored = false;
    return m_snapshot;
}

} // namespace jackdaw::coordination
