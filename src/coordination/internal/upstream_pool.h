// The upstreams that were heard of, their speeds and free slots, and the choice among them.
#pragma once

#include "coordination/dispatcher.h"
#include "coordination/internal/speed_estimate.h"
#include "coordination/internal/timer_queue.h"
#include "coordination/internal/upstream_health.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jackdaw::coordination {

// A set of capacity classes, one bit each.
using class_mask = std::uint64_t;

// One incarnation of an upstream. Outlives its place in the pool while tasks refer to it.
struct upstream_record : std::enable_shared_from_this<upstream_record> {
    upstream_id id;
    std::string host;
    std::uint16_t port = 0;
    std::uint64_t serial = 0; // unique in the process
    std::uint32_t capacityClass = 0; // index of its bit in a class_mask
    std::uint32_t announcedSlots = 0;
    std::optional<std::uint32_t> grantedSlots;
    std::uint32_t usedSlots = 0; // started here and not yet settled; may exceed the slots after those were lowered
    speed_estimate speed;
    upstream_health health;
    time_point receivedAt {};
    time_point expiresAt {};
    bool leaving = false; // never unset: an upstream that takes work again announces a new incarnation
    bool expired = false;
    bool replaced = false; // a newer incarnation was heard
    std::optional<timer_id> expiryTimer;
    std::optional<timer_id> probeTimer; // while it is ejected

    // Kept by the pool: its speed band and its neighbours in that band's list of free upstreams.
    std::uint32_t band = 0;
    bool counted = false; // among the serving ones of its class
    bool inBand = false; // in the band's counts: serving and not ejected
    bool inFreeList = false; // in the band's free list
    upstream_record* previousFree = nullptr;
    upstream_record* nextFree = nullptr;

    std::uint32_t slots() const;
    bool isServing() const { return !leaving && !expired && !replaced; }
};

using upstream_ptr = std::shared_ptr<upstream_record>;

// When slots of at most a given factor will become free, from the tasks that run there now.
class wait_forecast {
public:
    // The time until a task would end that waits behind the given number of others for the best faster upstream.
    // Infinite when no faster upstream is busy. Microseconds.
    double earliestEnd(double work, double tasksAhead, double belowFactor) const;

private:
    friend class upstream_pool;

    struct row {
        double factor = 1;
        double microsecondsPerSlot = 0; // between two releases on this or a faster band
    };

    std::array<row, 64> m_rows;
    std::size_t m_count = 0;
};

class upstream_pool {
public:
    // What hear() changed, as far as others care.
    struct change {
        bool addedClass = false; // tasks must be sorted into classes anew
        bool replacedIncarnation = false; // an older incarnation was replaced
    };

    // Slots of some classes, as they would serve a job alone.
    struct class_capacity {
        double fastestFactor = 1;
        double speed = 0; // sum of slots over factors
    };

    change applyAnnouncement(time_point receivedAt, const protocol::announcement& announcement);
    void setSlots(const upstream_id& id, std::uint32_t slots);
    void setLeaving(const upstream_id& id);
    // Expires upstreams that are past their ttl, and lets ejected ones be probed.
    void advance(time_point now);
    std::optional<time_point> nextTimer() const;

    // The classes whose upstreams are large enough, whether or not any is serving now.
    class_mask classesFor(const protocol::resources& needs) const;
    class_mask servingClasses() const;
    class_capacity capacityOf(class_mask classes) const;
    wait_forecast forecast(class_mask classes, double meanWork) const;

    bool hasFree(class_mask classes) const { return (m_freeClasses & classes) != 0; }

    // An upstream with a free slot, another than the avoided one where there is any; null when all are busy.
    upstream_record* fastestFree(class_mask classes, std::uint64_t avoidedSerial) const;
    // The slowest free one of at most the given factor, so that faster ones stay free for tasks that need them.
    upstream_record* slowestFree(class_mask classes, double maxFactor, std::uint64_t avoidedSerial) const;

    void takeSlot(upstream_record& upstream);
    void releaseSlot(upstream_record& upstream);
    void recordSuccess(upstream_record& upstream);
    // Ejects the upstream after failures in a row, unless too large a share is ejected already.
    void recordFailure(time_point now, upstream_record& upstream, double maxEjectedRatio);
    void recordRunTime(upstream_record& upstream, double observedOverExpected, double expectationVariance);

    std::size_t servingCount() const { return m_servingCount; }
    std::size_t ejectedCount() const { return m_ejectedCount; }

private:
    static constexpr std::size_t bandCount = 64; // bits of a band mask

    // Upstreams of about the same factor.
    struct speed_band {
        std::uint32_t upstreams = 0;
        std::uint32_t slots = 0;
        std::uint32_t used = 0;
        upstream_record* firstFree = nullptr; // the least recently used first
        upstream_record* lastFree = nullptr;
    };

    struct capacity_class {
        protocol::resources capacity;
        std::array<speed_band, bandCount> bands; // fastest first
        std::size_t serving = 0; // upstreams, ejected ones included
        std::uint64_t servingBands = 0; // bits of the bands with upstreams
        std::uint64_t freeBands = 0; // bits of the bands with free upstreams
    };

    static std::uint32_t bandOf(double factor);
    static double factorOf(std::size_t band);

    upstream_ptr find(const upstream_id& id) const;
    upstream_ptr add(const protocol::announcement& announcement);
    bool assignClass(upstream_record& upstream, const protocol::resources& capacity);
    void refresh(upstream_record& upstream, time_point receivedAt, const protocol::announcement& announcement);
    void addToIndex(upstream_record& upstream);
    void removeFromIndex(upstream_record& upstream);
    void remove(upstream_record& upstream);
    static upstream_record* firstFreeIn(const speed_band& band, std::uint64_t avoidedSerial);

    std::unordered_map<std::string, upstream_ptr> m_byName; // the freshest incarnation of each
    std::vector<capacity_class> m_classes; // at most maxClasses
    timer_queue<upstream_ptr> m_expiries;
    timer_queue<upstream_ptr> m_probes;
    class_mask m_freeClasses = 0; // classes with a free slot
    std::size_t m_servingCount = 0;
    std::size_t m_ejectedCount = 0; // of the serving ones
    std::uint64_t m_nextSerial = 1;
};

} // namespace jackdaw::coordination
