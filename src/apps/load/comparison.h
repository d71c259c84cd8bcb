// Compares the result files of two loads, figure by figure.
#pragma once

#include "protocol/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::load {

struct figure_change {
    std::string name; // dotted path in the result file
    double before = 0;
    double after = 0;
};

// All numbers that both results hold, in the order of their names.
protocol::result<std::vector<figure_change>> compareResults(std::string_view beforeJson, std::string_view afterJson);

// A table with a line for each figure.
std::string toTable(const std::vector<figure_change>& changes);

} // namespace jackdaw::load
