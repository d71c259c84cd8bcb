// Registry and text form of metrics; histograms by Boost.Histogram.
#include "state/metrics.h"

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <mutex>
#include <stdexcept>

namespace jackdaw::state {
namespace {

    namespace bh = boost::histogram;

    constexpr double microsecondsPerSecond = 1e6;

    // Upper bounds of the buckets in microseconds.
    constexpr std::array<double, 16> bucketBounds { 500, 1'000, 2'000, 5'000, 10'000, 20'000, 50'000, 100'000, 200'000, 500'000,
        1'000'000, 2'000'000, 5'000'000, 10'000'000, 20'000'000, 60'000'000 };

    using bucket_axis = bh::axis::variable<double>;
    using shard_counts = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
    using sum_counts = bh::dense_storage<std::uint64_t>;

    bucket_axis makeAxis()
    {
        // Values are whole microseconds: the half makes a value at a bound belong to the bucket below it.
        std::array<double, bucketBounds.size() + 1> edges {};
        edges[0] = -0.5;
        std::ranges::transform(bucketBounds, edges.begin() + 1, [](double bound) { return bound + 0.5; });
        return bucket_axis(edges.begin(), edges.end());
    }

    using shard_histogram = decltype(bh::make_histogram_with(shard_counts(), makeAxis()));

    bool isNameCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_';
    }

    void requireName(std::string_view name)
    {
        const bool isDigitFirst = !name.empty() && name.front() >= '0' && name.front() <= '9';
        if (name.empty() || isDigitFirst || !std::ranges::all_of(name, isNameCharacter))
            throw std::invalid_argument("not a metric or label name: '" + std::string(name) + "'");
    }

    void appendEscaped(std::string& page, std::string_view value)
    {
        for (const char c : value) {
            if (c == '\n') {
                page += "\\n";
                continue;
            }
            if (c == '"' || c == '\\')
                page += '\\';
            page += c;
        }
    }

    // {name="value",...}; nothing when there are no labels.
    void appendLabels(std::string& page, const metric_labels& labels)
    {
        char separator = '{';
        for (const metric_label& label : labels) {
            page += separator;
            page.append(label.name).append("=\"");
            appendEscaped(page, label.value);
            page += '"';
            separator = ',';
        }
        if (!labels.empty())
            page += '}';
    }

    std::string toText(double value)
    {
        constexpr std::size_t longestFixed = 400; // of any double
        std::array<char, longestFixed> buffer {};
        const auto [end, code] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::fixed);
        return code == std::errc() ? std::string(buffer.data(), end) : "NaN";
    }

    void appendSample(std::string& page, std::string_view name, const metric_labels& labels, std::string_view value)
    {
        page += name;
        appendLabels(page, labels);
        page.append(" ").append(value).append("\n");
    }

    // One name with its series, each with a shard for each owner thread.
    template <typename Metric>
    struct family {
        std::string help;
        std::map<metric_labels, std::vector<std::unique_ptr<Metric>>> series;
    };

    template <typename Metric>
    using family_map = std::map<std::string, family<Metric>, std::less<>>;

} // namespace

class latency_histogram::impl {
public:
    shard_histogram counts = bh::make_histogram_with(shard_counts(), makeAxis());
    counter sum; // microseconds
};

latency_histogram::latency_histogram()
    : m_impl(std::make_unique<impl>())
{
}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(protocol::duration value)
{
    const auto microseconds = std::max<std::int64_t>(value.count(), 0);
    m_impl->counts(static_cast<double>(microseconds));
    m_impl->sum.add(static_cast<std::uint64_t>(microseconds));
}

class metrics::impl {
public:
    template <typename Metric>
    Metric& add(family_map<Metric>& families, std::string_view name, std::string_view help, metric_labels labels)
    {
        requireName(name);
        for (const metric_label& label : labels)
            requireName(label.name);
        const std::lock_guard lock(mutex);
        const std::size_t uses = counters.count(name) + gauges.count(name) + histograms.count(name);
        const auto found = families.find(name);
        if (uses > 0 && found == families.end())
            throw std::invalid_argument("metric '" + std::string(name) + "' has another type");
        family<Metric>& owner = found == families.end() ? families[std::string(name)] : found->second;
        if (owner.help.empty())
            owner.help = help;
        return *owner.series[std::move(labels)].emplace_back(std::make_unique<Metric>());
    }

    static void appendHead(std::string& page, std::string_view name, std::string_view help, std::string_view type)
    {
        page.append("# HELP ").append(name).append(" ").append(help).append("\n");
        page.append("# TYPE ").append(name).append(" ").append(type).append("\n");
    }

    void appendCounters(std::string& page) const
    {
        for (const auto& [name, family] : counters) {
            appendHead(page, name, family.help, "counter");
            for (const auto& [labels, shards] : family.series) {
                std::uint64_t sum = 0;
                for (const auto& shard : shards)
                    sum += shard->value();
                appendSample(page, name, labels, std::to_string(sum));
            }
        }
    }

    void appendGauges(std::string& page) const
    {
        for (const auto& [name, family] : gauges) {
            appendHead(page, name, family.help, "gauge");
            for (const auto& [labels, shards] : family.series) {
                double sum = 0;
                for (const auto& shard : shards)
                    sum += shard->value();
                appendSample(page, name, labels, toText(sum));
            }
        }
    }

    void appendHistograms(std::string& page) const
    {
        for (const auto& [name, family] : histograms) {
            appendHead(page, name, family.help, "histogram");
            for (const auto& [labels, shards] : family.series)
                appendSeries(page, name, labels, shards);
        }
    }

    static void appendSeries(std::string& page, const std::string& name, const metric_labels& labels,
        const std::vector<std::unique_ptr<latency_histogram>>& shards)
    {
        auto merged = bh::make_histogram_with(sum_counts(), makeAxis());
        std::uint64_t microseconds = 0;
        for (const auto& shard : shards) {
            merged += shard->m_impl->counts;
            microseconds += shard->m_impl->sum.value();
        }
        // The buckets are read first and the count is made of them, so that the page agrees with itself.
        std::uint64_t count = 0;
        metric_labels bucketLabels = labels;
        bucketLabels.push_back({ "le", "" });
        for (std::size_t i = 0; i < bucketBounds.size(); ++i) {
            count += merged.at(static_cast<int>(i));
            bucketLabels.back().value = toText(bucketBounds[i] / microsecondsPerSecond);
            appendSample(page, name + "_bucket", bucketLabels, std::to_string(count));
        }
        count += merged.at(static_cast<int>(bucketBounds.size()));
        bucketLabels.back().value = "+Inf";
        appendSample(page, name + "_bucket", bucketLabels, std::to_string(count));
        appendSample(page, name + "_sum", labels, toText(static_cast<double>(microseconds) / microsecondsPerSecond));
        appendSample(page, name + "_count", labels, std::to_string(count));
    }

    mutable std::mutex mutex; // guards the maps, not the values in them
    family_map<counter> counters;
    family_map<gauge> gauges;
    family_map<latency_histogram> histograms;
};

metrics::metrics()
    : m_impl(std::make_unique<impl>())
{
}

metrics::~metrics() = default;

counter& metrics::addCounter(std::string_view name, std::string_view help, metric_labels labels)
{
    return m_impl->add(m_impl->counters, name, help, std::move(labels));
}

gauge& metrics::addGauge(std::string_view name, std::string_view help, metric_labels labels)
{
    return m_impl->add(m_impl->gauges, name, help, std::move(labels));
}

latency_histogram& metrics::addHistogram(std::string_view name, std::string_view help, metric_labels labels)
{
    return m_impl->add(m_impl->histograms, name, help, std::move(labels));
}

std::string metrics::toPrometheus() const
{
    const std::lock_guard lock(m_impl->mutex);
    std::string page;
    m_impl->appendCounters(page);
    m_impl->appendGauges(page);
    m_impl->appendHistograms(page);
    return page;
}

} // namespace jackdaw::state
