// Counters, gauges and latency histograms, shown in the Prometheus text format.
//
// Each metric is written by one owner thread, without locks. Threads that count the same thing each add a metric of
// their own with the same name and labels; they are summed when the page is made.
#pragma once

#include "protocol/time.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace jackdaw::state {

struct metric_label {
    std::string name;
    std::string value;

    friend bool operator==(const metric_label&, const metric_label&) = default;
    friend bool operator<(const metric_label& left, const metric_label& right)
    {
        return std::tie(left.name, left.value) < std::tie(right.name, right.value);
    }
};

using metric_labels = std::vector<metric_label>;

// Only goes up.
class counter {
public:
    // Owner thread only.
    void add(std::uint64_t count = 1) { m_value.store(m_value.load(std::memory_order_relaxed) + count, std::memory_order_relaxed); }

    // Any thread.
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

// The size of something now. The gauges of several threads are summed.
class gauge {
public:
    // Owner thread only.
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }

    // Any thread.
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value = 0;
};

// Counts durations in buckets from half a millisecond to a minute.
class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();

    // Owner thread only.
    void record(protocol::duration value);

private:
    friend class metrics;
    class impl;
    std::unique_ptr<impl> m_impl;
};

// All metrics of one process.
class metrics {
public:
    metrics();
    ~metrics();

    // The references hold as long as this object. A name belongs to one type of metric: adding it as another type, or a
    // name or label that is not allowed in the text format, is a programming error and throws std::invalid_argument.
    // Any thread.
    counter& addCounter(std::string_view name, std::string_view help, metric_labels labels = {});
    gauge& addGauge(std::string_view name, std::string_view help, metric_labels labels = {});
    latency_histogram& addHistogram(std::string_view name, std::string_view help, metric_labels labels = {});

    // The page in the Prometheus text format, families and series in the order of their names. Any thread.
    std::string toPrometheus() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::state
