// Parser of the Prometheus text format.
#include "apps/shared/metrics_page.h"

#include <cstdlib>
#include <optional>

namespace jackdaw::apps {
namespace {

    // Reads one quoted label value and cuts it off the text.
    std::optional<std::string> cutQuoted(std::string_view& text)
    {
        std::string out;
        if (!text.starts_with('"'))
            return std::nullopt;
        for (std::size_t i = 1; i < text.size(); ++i) {
            if (text[i] == '"') {
                text.remove_prefix(i + 1);
                return out;
            }
            if (text[i] == '\\' && i + 1 < text.size()) {
                ++i;
                out += text[i] == 'n' ? '\n' : text[i];
            } else {
                out += text[i];
            }
        }
        return std::nullopt;
    }

    // Reads name="value",... up to the closing brace and cuts it off the text.
    bool cutLabels(std::string_view& text, state::metric_labels& out)
    {
        while (!text.starts_with('}')) {
            const auto equals = text.find('=');
            if (equals == std::string_view::npos)
                return false;
            state::metric_label label;
            label.name = text.substr(0, equals);
            text.remove_prefix(equals + 1);
            auto value = cutQuoted(text);
            if (!value)
                return false;
            label.value = std::move(*value);
            out.push_back(std::move(label));
            if (text.starts_with(','))
                text.remove_prefix(1);
        }
        text.remove_prefix(1);
        return true;
    }

    std::optional<metric_sample> parseLine(std::string_view line)
    {
        const auto nameEnd = line.find_first_of("{ ");
        if (line.empty() || line.front() == '#' || nameEnd == 0 || nameEnd == std::string_view::npos)
            return std::nullopt;
        metric_sample sample;
        sample.name = line.substr(0, nameEnd);
        line.remove_prefix(nameEnd);
        if (line.starts_with('{')) {
            line.remove_prefix(1);
            if (!cutLabels(line, sample.labels))
                return std::nullopt;
        }
        const std::string number(line);
        char* end = nullptr;
        sample.value = std::strtod(number.c_str(), &end);
        if (end == number.c_str())
            return std::nullopt;
        return sample;
    }

} // namespace

std::string_view metric_sample::label(std::string_view labelName) const
{
    for (const state::metric_label& each : labels) {
        if (each.name == labelName)
            return each.value;
    }
    return {};
}

std::vector<metric_sample> parseMetricsPage(std::string_view page)
{
    std::vector<metric_sample> out;
    while (!page.empty()) {
        const auto lineEnd = page.find('\n');
        if (auto sample = parseLine(page.substr(0, lineEnd)))
            out.push_back(std::move(*sample));
        page.remove_prefix(lineEnd == std::string_view::npos ? page.size() : lineEnd + 1);
    }
    return out;
}

} // namespace jackdaw::apps
