// Choice of the connections that are closed.
#include "transport/memory_budget.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace jackdaw::transport {

memory_budget::memory_budget(std::size_t maxBytes, std::size_t maxConnections)
    : m_maxBytes(maxBytes)
    , m_maxConnections(maxConnections)
{
}

bool memory_budget::evictOne()
{
    using candidate = std::tuple<int, std::size_t, std::int64_t, holder*>;
    std::vector<candidate> candidates;
    candidates.reserve(m_holders.size());
    for (holder* connection : m_holders) {
        if (const int rank = connection->evictionRank(); rank > 0)
            candidates.emplace_back(rank, connection->heldBytes(), -connection->idleSince().time_since_epoch().count(), connection);
    }
    std::make_heap(candidates.begin(), candidates.end());
    while (!candidates.empty()) {
        std::pop_heap(candidates.begin(), candidates.end());
        holder* worst = std::get<holder*>(candidates.back());
        candidates.pop_back();
        if (!worst->mayBeEvicted())
            continue;
        ++m_evictions;
        worst->evict();
        return true;
    }
    return false;
}

void memory_budget::enforce()
{
    while (isExceeded() && evictOne()) { }
}

bool memory_budget::admit()
{
    while (m_holders.size() >= m_maxConnections || m_usedBytes + ordinaryRequestBytes > m_maxBytes) {
        if (!evictOne()) {
            ++m_refusedConnections;
            return false;
        }
    }
    return true;
}

} // namespace jackdaw::transport
