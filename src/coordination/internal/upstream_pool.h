// The upstreams that were heard of, their free slots, and the choice among them.
#pragma once

#include "coordination/dispatcher.h"
#include "coordination/internal/timer_queue.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jackdaw::coordination {

// A set of capacity classes, one bit each.
using class_mask = std::uint64_t;

// One incarnation of an upstream. Outlives its place in the pool while tasks refer to it.
struct upstream_record {
    upstream_id id;
    std::string host;
    std::uint16_t port = 0;
    std::uint64_t serial = 0; // unique in the process
    std::uint32_t capacityClass = 0; // index of its bit in a class_mask
    std::uint32_t announcedSlots = 0;
    std::optional<std::uint32_t> grantedSlots;
    std::uint32_t usedSlots = 0; // started here and not yet settled; may exceed the slots after those were lowered
    time_point heardAt {};
    time_point expiresAt {};
    bool leaving = false; // never unset: an upstream that takes work again announces a new incarnation
    bool expired = false;
    bool replaced = false; // a newer incarnation was heard
    std::optional<std::uint64_t> freeKey; // its key in the set of free upstreams, while it is there
    std::optional<timer_id> expiryTimer;

    std::uint32_t slots() const;
    bool isServing() const { return !leaving && !expired && !replaced; }
};

using upstream_ptr = std::shared_ptr<upstream_record>;

class upstream_pool {
public:
    // What hear() changed, as far as others care.
    struct change {
        bool newClass = false; // tasks must be sorted into classes anew
        bool replacedOne = false; // an older incarnation was replaced
    };

    change hear(time_point heardAt, const protocol::announcement& announcement);
    void setSlots(const upstream_id& id, std::uint32_t slots);
    void setLeaving(const upstream_id& id);
    void expireDue(time_point now);
    std::optional<time_point> nextExpiry() const { return m_expiries.next(); }

    // The classes whose upstreams are large enough, whether or not any is serving now.
    class_mask classesFor(const protocol::resources& needs) const;
    class_mask servingClasses() const;

    // The next upstream with a free slot, another than the avoided one where there is any; null when all are busy.
    upstream_ptr pick(class_mask classes, std::uint64_t avoidedSerial) const;
    bool hasFree(class_mask classes) const { return (m_freeClasses & classes) != 0; }

    void takeSlot(const upstream_ptr& upstream);
    void releaseSlot(const upstream_ptr& upstream);

    std::size_t servingCount() const { return m_servingCount; }

private:
    struct free_entry {
        std::uint64_t key = 0;
        std::uint64_t serial = 0;
        upstream_ptr upstream;

        friend bool operator<(const free_entry& a, const free_entry& b)
        {
            return std::pair(a.key, a.serial) < std::pair(b.key, b.serial);
        }
    };

    struct capacity_class {
        protocol::resources capacity;
        std::set<free_entry> free; // the least recently used first
        std::size_t serving = 0;
    };

    upstream_ptr find(const upstream_id& id) const;
    upstream_ptr add(const protocol::announcement& announcement);
    bool assignClass(upstream_record& upstream, const protocol::resources& capacity);
    void refresh(const upstream_ptr& upstream, time_point heardAt, const protocol::announcement& announcement);
    void place(const upstream_ptr& upstream);
    void removeFree(const upstream_ptr& upstream);
    void stopServing(const upstream_ptr& upstream);
    void forget(const upstream_ptr& upstream);

    std::unordered_map<std::string, upstream_ptr> m_byName; // the freshest incarnation of each
    std::vector<capacity_class> m_classes; // at most maxClasses
    timer_queue<upstream_ptr> m_expiries;
    class_mask m_freeClasses = 0; // classes with a free slot
    std::size_t m_servingCount = 0;
    std::uint64_t m_nextSerial = 1;
    std::uint64_t m_useCounter = 0;
};

} // namespace jackdaw::coordination
