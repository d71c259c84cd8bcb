// A bound on what the connections of a process's servers hold together, in bytes and in number. When it is reached, the connections
// that hold most and do least are closed first. Belongs to one event loop's thread.
#pragma once

#include "protocol/time.h"

#include <cstddef>
#include <cstdint>
#include <set>

namespace jackdaw::transport {

class memory_budget {
public:
    // A connection that counts against the budget.
    class holder {
    public:
        virtual ~holder() = default;
        virtual std::size_t heldBytes() const = 0;

        // How little is lost when it is closed; 0: a request was read in full and must be answered, since its caller waits.
        virtual int evictionRank() const = 0;
        virtual protocol::time_point idleSince() const = 0;

        // False if the next pass of the loop will read a request or send the response; the rank is 0 until then.
        virtual bool mayBeEvicted() = 0;
        virtual void evict() = 0; // closes the connection and removes the holder
    };

    static constexpr std::size_t ordinaryRequestBytes = 32 * 1024; // a connection's own 16 KiB, its header section and a job's body

    memory_budget(std::size_t maxBytes, std::size_t maxConnections);

    void add(holder& connection) { m_holders.insert(&connection); }
    void remove(holder& connection) { m_holders.erase(&connection); }

    // The holder holds so much more or less than before.
    void change(std::size_t before, std::size_t after) { m_usedBytes = m_usedBytes - before + after; }

    bool hasRoomFor(std::size_t bytes) const { return m_usedBytes + bytes <= m_maxBytes; }
    bool isExceeded() const { return m_usedBytes > m_maxBytes; }

    // Closes connections until what remains is within the bounds, or no connection may be closed. Not from within a callback of a connection.
    void enforce();

    // Makes room for a connection and an ordinary request on it. False if there is none.
    bool admit();

    std::size_t usedBytes() const { return m_usedBytes; }
    std::size_t connections() const { return m_holders.size(); }
    std::uint64_t evictions() const { return m_evictions; }
    std::uint64_t refusedConnections() const { return m_refusedConnections; }

private:
    bool evictOne();

    const std::size_t m_maxBytes;
    const std::size_t m_maxConnections;
    std::set<holder*> m_holders;
    std::size_t m_usedBytes = 0;
    std::uint64_t m_evictions = 0;
    std::uint64_t m_refusedConnections = 0;
};

} // namespace jackdaw::transport
