// Choice of the connections that are closed.
#include "transport/memory_budget.h"

#include <algorithm>
#include <tuple>

namespace jackdaw::transport {
namespace {

    constexpr std::size_t ordinaryRequestBytes = 32 * 1024; // a connection's own 16 KiB, its header section and a job's body

} // namespace

memory_budget::memory_budget(std::size_t maxBytes, std::size_t maxConnections)
    : m_maxBytes(maxBytes)
    , m_maxConnections(maxConnections)
{
}

bool memory_budget::evictOne()
{
    const auto key = [](const holder* connection) { return std::tuple(connection->evictionRank(), connection->heldBytes(), -connection->idleSince().time_since_epoch().count()); };
    for (;;) {
        const auto worst = std::max_element(m_holders.begin(), m_holders.end(), [key](const holder* left, const holder* right) { return key(left) < key(right); });
        if (worst == m_holders.end() || (*worst)->evictionRank() == 0)
            return false;
        if (!(*worst)->mayBeEvicted())
            continue;
        ++m_evictions;
        (*worst)->evict();
        return true;
    }
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
