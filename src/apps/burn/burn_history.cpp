// Readings of hosts and their differences.
#include "apps/burn/burn_history.h"

#include "protocol/json_document.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>

namespace jackdaw::burn {
namespace {

    bool isFallen(const answer_counts& from, const answer_counts& to)
    {
        return to.total < from.total || to.good < from.good;
    }

    // Whether the host's process started anew between two readings.
    bool isRestart(const host_reading& from, const host_reading& to)
    {
        return !std::ranges::equal(from.counts, to.counts, std::not_fn(isFallen));
    }

    // What was counted from one reading to the next. A counter that fell belongs to a process that started anew.
    answer_counts increase(const answer_counts& from, const answer_counts& to)
    {
        if (isFallen(from, to))
            return to;
        return { to.good - from.good, to.total - from.total };
    }

    // Adds what the readings after the begin and up to the end show, from the reading before each.
    void addIncreases(const std::deque<host_reading>& readings, const host_reading* previous, std::size_t objective, unix_milliseconds begin,
        unix_milliseconds end, answer_counts& sum)
    {
        auto next = std::ranges::upper_bound(readings, begin, {}, &host_reading::time);
        if (next != readings.begin())
            previous = &*std::prev(next);
        for (; next != readings.end() && next->time <= end; ++next) {
            if (previous)
                sum += increase(previous->counts[objective], next->counts[objective]);
            previous = &*next;
        }
    }

} // namespace

burn_history::burn_history(unix_milliseconds retention, unix_milliseconds fineRetention, unix_milliseconds coarseStep)
    : m_retention(retention)
    , m_fineRetention(fineRetention)
    , m_coarseStep(coarseStep)
{
}

void burn_history::add(host_reading reading)
{
    host_series& series = m_hosts[reading.host];
    if (!series.fine.empty() && series.fine.back().time >= reading.time)
        return;
    series.fine.push_back(std::move(reading));
    thin(series);
}

void burn_history::thin(host_series& series) const
{
    const unix_milliseconds now = series.fine.back().time;
    // The newest reading before a window is kept, as its base.
    while (series.fine.size() > 1 && series.fine[1].time <= now - m_fineRetention) {
        host_reading& oldest = series.fine.front();
        if (series.coarse.empty() || isRestart(oldest, series.fine[1]) || oldest.time - series.coarse.back().time >= m_coarseStep)
            series.coarse.push_back(std::move(oldest));
        series.fine.pop_front();
    }
    while (series.coarse.size() > 1 && series.coarse[1].time <= now - m_retention)
        series.coarse.pop_front();
}

answer_counts burn_history::between(std::size_t objective, unix_milliseconds begin, unix_milliseconds end) const
{
    answer_counts sum;
    for (const auto& [host, series] : m_hosts) {
        addIncreases(series.coarse, nullptr, objective, begin, end, sum);
        addIncreases(series.fine, series.coarse.empty() ? nullptr : &series.coarse.back(), objective, begin, end, sum);
    }
    return sum;
}

std::vector<unix_milliseconds> burn_history::times() const
{
    std::set<unix_milliseconds> all;
    for (const host_reading& reading : readings())
        all.insert(reading.time);
    return { all.begin(), all.end() };
}

std::map<std::string, unix_milliseconds> burn_history::lastReadings() const
{
    std::map<std::string, unix_milliseconds> out;
    for (const auto& [host, series] : m_hosts)
        out[host] = series.fine.back().time;
    return out;
}

std::vector<host_reading> burn_history::readings() const
{
    std::vector<host_reading> out;
    for (const auto& [host, series] : m_hosts) {
        out.insert(out.end(), series.coarse.begin(), series.coarse.end());
        out.insert(out.end(), series.fine.begin(), series.fine.end());
    }
    return out;
}

std::string toLine(const host_reading& reading, std::string_view objectivesKey)
{
    nlohmann::json counts = nlohmann::json::array();
    for (const answer_counts& each : reading.counts)
        counts.push_back({ each.good, each.total });
    return nlohmann::json { { "time", reading.time.count() }, { "host", reading.host }, { "objectives", objectivesKey }, { "counts", std::move(counts) } }.dump();
}

protocol::result<host_reading> parseLine(std::string_view line, std::string_view objectivesKey)
{
    const auto malformed = [] { return protocol::makeError(protocol::error_kind::malformed_request, "a line of the history can't be read"); };
    const auto json = protocol::parseJsonOrDiscard(line);
    const auto holds = [&json](const char* name, nlohmann::json::value_t type) { return json.contains(name) && json[name].type() == type; };
    using type = nlohmann::json::value_t;
    if (!json.is_object() || !holds("time", type::number_unsigned) || !holds("host", type::string) || !holds("objectives", type::string) || !holds("counts", type::array))
        return malformed();
    if (json["objectives"].get<std::string>() != objectivesKey)
        return protocol::makeError(protocol::error_kind::unknown_resource, "a line of the history belongs to other objectives");
    host_reading reading;
    reading.time = unix_milliseconds(json["time"].get<std::int64_t>());
    reading.host = json["host"].get<std::string>();
    for (const auto& each : json["counts"]) {
        if (!each.is_array() || each.size() != 2 || !each[0].is_number() || !each[1].is_number())
            return malformed();
        reading.counts.push_back({ each[0].get<double>(), each[1].get<double>() });
    }
    return reading;
}

} // namespace jackdaw::burn
