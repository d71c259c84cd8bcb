// HTML page with plots in SVG.
#include "apps/burn/html_report.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace jackdaw::burn {
namespace {

    constexpr double plotWidth = 720;
    constexpr double plotHeight = 160;
    constexpr std::size_t maxPoints = 240;

    constexpr std::string_view pageHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title><style>
body{font:14px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{padding:.3em .8em;text-align:right;border-bottom:1px solid #ccc}
td:first-child,th:first-child{text-align:left}svg{background:#f7f7f7}.fast{color:#b00}.slow{color:#b60}
</style></head><body><h1>Service-level burn</h1>
)";

    std::string escaped(std::string_view text)
    {
        std::string out;
        for (const char c : text) {
            switch (c) {
            case '&':
                out += "&amp;";
                break;
            case '<':
                out += "&lt;";
                break;
            case '>':
                out += "&gt;";
                break;
            default:
                out += c;
            }
        }
        return out;
    }

    std::string title(const service_objective& objective)
    {
        return escaped(objective.client + '/' + objective.team);
    }

    std::string_view cssClass(burn_verdict verdict)
    {
        if (verdict == burn_verdict::fast)
            return "fast";
        return verdict == burn_verdict::slow ? "slow" : "";
    }

    void addTable(std::ostringstream& out, std::span<const objective_burn> burns)
    {
        out << "<table><tr><th>client/team</th><th>objective</th>";
        for (const window_burn& window : burns.front().windows)
            out << "<th>burn over " << toText(window.window) << "</th>";
        out << "<th>answers</th><th>budget left</th><th>verdict</th></tr>\n";
        for (const objective_burn& burn : burns) {
            out << "<tr class=\"" << cssClass(burn.verdict) << "\"><td>" << title(burn.objective) << "</td><td>" << burn.objective.target * 100 << " % within "
                << std::chrono::duration_cast<std::chrono::milliseconds>(burn.objective.within).count() << " ms</td>";
            for (const window_burn& window : burn.windows) {
                if (window.rate)
                    out << "<td>" << *window.rate << "</td>";
                else
                    out << "<td>-</td>";
            }
            out << "<td>" << burn.period.total << "</td><td>" << burn.budgetLeft * 100 << " %</td><td>" << toText(burn.verdict) << "</td></tr>\n";
        }
        out << "</table>\n";
    }

    struct plot_point {
        unix_milliseconds time {};
        double rate = 0;
    };

    // The burn over the short window at each reading, thinned to what a plot can show.
    std::vector<plot_point> pointsOf(const burn_history& history, std::size_t index, const objective_burn& burn, unix_milliseconds window)
    {
        const auto times = history.times();
        const std::size_t step = std::max<std::size_t>(1, times.size() / maxPoints);
        std::vector<plot_point> out;
        for (std::size_t i = 0; i < times.size(); i += step) {
            const auto rate = burnRate(history.between(index, times[i] - window, times[i]), burn.objective.target);
            out.push_back({ times[i], rate.value_or(0) });
        }
        return out;
    }

    void addPlot(std::ostringstream& out, const std::vector<plot_point>& points, double threshold)
    {
        double highest = threshold * 1.2;
        for (const plot_point& point : points)
            highest = std::max(highest, point.rate);
        const double span = std::max<double>(1, static_cast<double>((points.back().time - points.front().time).count()));
        const auto height = [&](double rate) { return plotHeight * (1 - rate / highest); };
        out << "<svg width=\"" << plotWidth << "\" height=\"" << plotHeight << "\" role=\"img\"><polyline fill=\"none\" stroke=\"#357\" stroke-width=\"1.5\" points=\"";
        for (const plot_point& point : points)
            out << plotWidth * static_cast<double>((point.time - points.front().time).count()) / span << ',' << height(point.rate) << ' ';
        out << "\"/><line x1=\"0\" x2=\"" << plotWidth << "\" y1=\"" << height(threshold) << "\" y2=\"" << height(threshold)
            << "\" stroke=\"#b00\" stroke-dasharray=\"4\"/><text x=\"4\" y=\"12\" font-size=\"11\">up to " << highest << "</text></svg>\n";
    }

    void addPlots(std::ostringstream& out, const burn_history& history, std::span<const objective_burn> burns)
    {
        for (std::size_t i = 0; i < burns.size(); ++i) {
            const window_burn& shortWindow = burns[i].windows[1];
            const auto points = pointsOf(history, i, burns[i], shortWindow.window);
            out << "<h2>" << title(burns[i].objective) << "</h2><p>Burn rate over " << toText(shortWindow.window) << ", the threshold dashed.</p>\n";
            if (points.size() > 1)
                addPlot(out, points, windowPairs().front().threshold);
            else
                out << "<p>Too few readings for a plot.</p>\n";
        }
    }

} // namespace

std::string toHtml(const burn_history& history, std::span<const objective_burn> burns, std::span<const host_state> hosts, unix_milliseconds now)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << pageHead;
    if (!burns.empty())
        addTable(out, burns);
    for (const host_state& host : hosts) {
        if (host.isAnswering)
            continue;
        out << "<p class=\"fast\">Host " << escaped(host.host) << " does not answer";
        if (host.lastReading)
            out << ", last reading " << toText(now - *host.lastReading) << " ago";
        out << ".</p>\n";
    }
    addPlots(out, history, burns);
    out << "</body></html>\n";
    return out.str();
}

} // namespace jackdaw::burn
