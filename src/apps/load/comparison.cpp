// Comparison of result files.
#include "apps/load/comparison.h"

#include "protocol/json_document.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <map>
#include <sstream>

namespace jackdaw::load {
namespace {

    using figure_map = std::map<std::string, double, std::less<>>;

    void collect(const nlohmann::json& json, const std::string& prefix, figure_map& out)
    {
        for (const auto& [name, value] : json.items()) {
            if (value.is_object())
                collect(value, prefix + name + '.', out);
            else if (value.is_number())
                out[prefix + name] = value.get<double>();
        }
    }

    protocol::result<figure_map> readFigures(std::string_view text)
    {
        const auto json = protocol::parseJsonOrDiscard(text);
        if (!json.is_object())
            return protocol::makeError(protocol::error_kind::malformed_request, "a result file is not a JSON object");
        figure_map out;
        collect(json, {}, out);
        return out;
    }

} // namespace

protocol::result<std::vector<figure_change>> compareResults(std::string_view beforeJson, std::string_view afterJson)
{
    auto before = readFigures(beforeJson);
    if (!before)
        return before.error();
    auto after = readFigures(afterJson);
    if (!after)
        return after.error();
    std::vector<figure_change> out;
    for (const auto& [name, value] : before.value()) {
        const auto other = after.value().find(name);
        if (other != after.value().end())
            out.push_back({ name, value, other->second });
    }
    return out;
}

std::string toTable(const std::vector<figure_change>& changes)
{
    constexpr int nameWidth = 36;
    constexpr int numberWidth = 14;
    std::ostringstream out;
    out << std::left << std::setw(nameWidth) << "figure" << std::right << std::setw(numberWidth) << "before"
        << std::setw(numberWidth) << "after" << std::setw(numberWidth) << "change\n";
    for (const figure_change& change : changes) {
        out << std::left << std::setw(nameWidth) << change.name << std::right << std::setw(numberWidth) << change.before
            << std::setw(numberWidth) << change.after;
        if (change.before != 0)
            out << std::setw(numberWidth - 2) << std::fixed << std::setprecision(1) << std::showpos
                << (change.after / change.before - 1) * 100 << " %" << std::noshowpos << std::defaultfloat << std::setprecision(6);
        out << '\n';
    }
    return out.str();
}

} // namespace jackdaw::load
