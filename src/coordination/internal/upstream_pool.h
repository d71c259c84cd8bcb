// The known upstreams, with their speeds and free slots, indexed for the choice of an upstream.
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

// One incarnation of an upstream. The record is kept after its removal from the pool while tasks refer to it.
struct upstream_record : std::enable_shared_from_this<upstream_record> {
    upstream_id id;
    std::string host;
    std::uint16_t port = 0;
    std::uint64_t serial = 0; // unique in the process
    std::uint32_t capacityClass = 0; // index of its bit in a class_mask
    std::uint32_t announcedSlots = 0;
    std::optional<std::uint32_t> grantedSlots;
    std::uint32_t usedSlots = 0; // by outstanding tasks of this host; may exceed slots() after those were reduced
    speed_estimate speed;
    upstream_health health;
    time_point receivedAt {}; // of the latest announcement
    time_point expiresAt {};
    bool leaving = false; // never reset: an upstream that accepts tasks again announces a new incarnation
    bool expired = false;
    bool replaced = false; // a newer incarnation was announced
    std::optional<timer_id> expiryTimer;
    std::optional<timer_id> probeTimer; // set while ejected

    // Set by the pool's index: the speed band, and the links of the band's list of free upstreams.
    std::uint32_t band = 0;
    bool counted = false; // included in the counts of serving upstreams
    bool inBand = false; // included in the band's counts: serving and not ejected
    bool inFreeList = false; // in the band's free list
    upstream_record* previousFree = nullptr;
    upstream_record* nextFree = nullptr;

    std::uint32_t slots() const;
    bool isServing() const { return !leaving && !expired && !replaced; }
};

using upstream_ptr = std::shared_ptr<upstream_record>;

// Forecasts when busy slots will become free on upstreams up to a given factor, from the slots that are in use now.
class wait_forecast {
public:
    // The shortest expected time until a task ends that waits, behind the given number of others, for an upstream with
    // a factor below the given one. Infinite if no such upstream is busy. Microseconds.
    double earliestEnd(double work, double tasksAhead, double belowFactor) const;

private:
    friend class upstream_pool;

    struct row {
        double factor = 1;
        double microsecondsPerSlot = 0; // mean time between two slot releases in this or a faster band
    };

    std::array<row, 64> m_rows;
    std::size_t m_count = 0;
};

class upstream_pool {
public:
    // The effects of an announcement that the caller has to handle.
    struct change {
        bool addedClass = false; // tasks must be grouped by class again
        bool replacedIncarnation = false; // an older incarnation was replaced
    };

    // The capacity of a set of classes for a single job.
    struct class_capacity {
        double fastestFactor = 1;
        double speed = 0; // sum of slots divided by factor
    };

    change applyAnnouncement(time_point receivedAt, const protocol::announcement& announcement);
    void setSlots(const upstream_id& id, std::uint32_t slots);
    void setLeaving(const upstream_id& id);
    // Expires upstreams whose ttl has passed, and begins due probes of ejected ones.
    void advance(time_point now);
    std::optional<time_point> nextTimer() const;

    // The classes that are large enough, including those without a serving upstream.
    class_mask classesFor(const protocol::resources& needs) const;
    class_mask servingClasses() const;
    class_capacity capacityOf(class_mask classes) const;
    wait_forecast forecast(class_mask classes, double meanWork) const;

    bool hasFree(class_mask classes) const { return (m_freeClasses & classes) != 0; }

    // The fastest upstream with a free slot, or null if there is none. The avoided upstream is returned only if no
    // other is free.
    upstream_record* fastestFree(class_mask classes, std::uint64_t avoidedSerial) const;
    // The slowest upstream with a free slot and at most the given factor, so that faster ones remain free for tasks
    // that need them. Never the avoided upstream; null if there is none.
    upstream_record* slowestFree(class_mask classes, double maxFactor, std::uint64_t avoidedSerial) const;

    void takeSlot(upstream_record& upstream);
    void releaseSlot(upstream_record& upstream);
    void recordSuccess(upstream_record& upstream);
    // Ejects the upstream after consecutive failures, unless the ratio of ejected upstreams would exceed the maximum.
    void recordFailure(time_point now, upstream_record& upstream, double maxEjectedRatio);
    void recordRunTime(upstream_record& upstream, double observedOverExpected, double expectationVariance);

    std::size_t servingCount() const { return m_servingCount; }
    std::size_t ejectedCount() const { return m_ejectedCount; }

private:
    static constexpr std::size_t bandCount = 64; // number of bits in a band mask

    // The upstreams of one class with about the same factor.
    struct speed_band {
        std::uint32_t upstreams = 0;
        std::uint32_t slots = 0;
        std::uint32_t used = 0;
        upstream_record* firstFree = nullptr; // in least recently used order
        upstream_record* lastFree = nullptr;
    };

    struct capacity_class {
        protocol::resources capacity;
        std::array<speed_band, bandCount> bands; // fastest first
        std::size_t serving = 0; // number of upstreams, including ejected ones
        std::uint64_t servingBands = 0; // mask of the bands with upstreams
        std::uint64_t freeBands = 0; // mask of the bands with free upstreams
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

    std::unordered_map<std::string, upstream_ptr> m_byName; // the latest incarnation of each upstream
    std::vector<capacity_class> m_classes; // at most maxClasses
    timer_queue<upstream_ptr> m_expiries;
    timer_queue<upstream_ptr> m_probes;
    class_mask m_freeClasses = 0; // classes with a free upstream
    std::size_t m_servingCount = 0;
    std::size_t m_ejectedCount = 0; // included in m_servingCount
    std::uint64_t m_nextSerial = 1;
};

} // namespace jackdaw::coordination
