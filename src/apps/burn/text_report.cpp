// Table of burn rates.
#include "apps/burn/text_report.h"

#include <iomanip>
#include <sstream>

namespace jackdaw::burn {
namespace {

    constexpr int nameWidth = 28;
    constexpr int numberWidth = 13;

    std::string percent(double share)
    {
        std::ostringstream out;
        out << std::fixed << std::setprecision(2) << share * 100 << " %";
        return out.str();
    }

    std::string rateText(const std::optional<double>& rate)
    {
        if (!rate)
            return "-";
        std::ostringstream out;
        out << std::fixed << std::setprecision(2) << *rate;
        return out.str();
    }

    void addHead(std::ostringstream& out, const objective_burn& first)
    {
        out << std::left << std::setw(nameWidth) << "client/team" << std::right << std::setw(numberWidth) << "objective";
        for (const window_burn& window : first.windows)
            out << std::setw(numberWidth) << toText(window.window);
        out << std::setw(numberWidth) << "answers" << std::setw(numberWidth) << "budget left"
            << "  verdict\n";
    }

    void addLine(std::ostringstream& out, const objective_burn& burn)
    {
        out << std::left << std::setw(nameWidth) << burn.objective.client + '/' + burn.objective.team << std::right
            << std::setw(numberWidth) << percent(burn.objective.target);
        for (const window_burn& window : burn.windows)
            out << std::setw(numberWidth) << rateText(window.rate);
        out << std::setw(numberWidth) << static_cast<std::uint64_t>(burn.period.total) << std::setw(numberWidth)
            << percent(burn.budgetLeft) << "  " << toText(burn.verdict) << '\n';
    }

    void addMissingHosts(std::ostringstream& out, std::span<const host_state> hosts, unix_milliseconds now)
    {
        for (const host_state& host : hosts) {
            if (host.isAnswering)
                continue;
            out << "host " << host.host << " does not answer";
            if (host.lastReading)
                out << ", last reading " << toText(now - *host.lastReading) << " ago";
            out << '\n';
        }
    }

} // namespace

std::string toText(unix_milliseconds length)
{
    constexpr std::int64_t second = 1000;
    constexpr std::int64_t minute = 60 * second;
    constexpr std::int64_t hour = 60 * minute;
    const std::int64_t count = length.count();
    if (count >= hour)
        return std::to_string(count / hour) + " h";
    if (count >= minute)
        return std::to_string(count / minute) + " min";
    if (count >= second)
        return std::to_string(count / second) + " s";
    return std::to_string(count) + " ms";
}

std::string toTable(std::span<const objective_burn> burns, std::span<const host_state> hosts, unix_milliseconds now)
{
    std::ostringstream out;
    if (!burns.empty())
        addHead(out, burns.front());
    for (const objective_burn& burn : burns)
        addLine(out, burn);
    addMissingHosts(out, hosts, now);
    return out.str();
}

} // namespace jackdaw::burn
