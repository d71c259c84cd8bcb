// Reading of counters.
#include "apps/load/service_counts.h"

#include "apps/shared/metrics_page.h"
#include "protocol/json_document.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace jackdaw::load {
namespace {

    constexpr std::array<std::string_view, 4> controlPurposes { "heartbeat", "lease", "announce", "config" };
    constexpr std::string_view messagesName = "jackdaw_messages_total";

} // namespace

double message_counts::total() const
{
    double sum = 0;
    for (const auto& [purpose, count] : byPurpose)
        sum += count;
    return sum;
}

double message_counts::control() const
{
    double sum = 0;
    for (const auto& [purpose, count] : byPurpose) {
        if (std::ranges::find(controlPurposes, purpose) != controlPurposes.end())
            sum += count;
    }
    return sum;
}

message_counts& message_counts::operator+=(const message_counts& other)
{
    for (const auto& [purpose, count] : other.byPurpose)
        byPurpose[purpose] += count;
    return *this;
}

message_counts message_counts::operator-(const message_counts& earlier) const
{
    message_counts out = *this;
    for (const auto& [purpose, count] : earlier.byPurpose)
        out.byPurpose[purpose] -= count;
    return out;
}

message_counts parseMessageCounts(std::string_view page)
{
    message_counts out;
    for (const apps::metric_sample& sample : apps::parseMetricsPage(page)) {
        if (sample.name == messagesName)
            out.byPurpose[std::string(sample.label("purpose"))] += sample.value;
    }
    return out;
}

upstream_counts& upstream_counts::operator+=(const upstream_counts& other)
{
    started += other.started;
    startedTwice += other.startedTwice;
    startedLate += other.startedLate;
    overSlots += other.overSlots;
    refused += other.refused;
    capacity += other.capacity;
    fastestSpeed = std::max(fastestSpeed, other.fastestSpeed);
    return *this;
}

upstream_counts upstream_counts::operator-(const upstream_counts& earlier) const
{
    return { started - earlier.started, startedTwice - earlier.startedTwice, startedLate - earlier.startedLate,
        overSlots - earlier.overSlots, refused - earlier.refused, capacity, fastestSpeed };
}

protocol::result<upstream_counts> parseUpstreamCounts(std::string_view text)
{
    const auto json = protocol::parseJsonOrDiscard(text);
    const auto count = [&json](const char* name) -> std::uint64_t {
        const auto found = json.find(name);
        return found != json.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
    };
    const auto number = [&json](const char* name) {
        const auto found = json.find(name);
        return found != json.end() && found->is_number() ? found->get<double>() : 0;
    };
    if (!json.is_object() || !json.contains("started_twice"))
        return protocol::makeError(protocol::error_kind::malformed_request, "the upstream's counters can't be read");
    return upstream_counts { count("started"), count("started_twice"), count("started_late"), count("over_slots"), count("refused"), number("capacity"), number("fastest_speed") };
}

} // namespace jackdaw::load
