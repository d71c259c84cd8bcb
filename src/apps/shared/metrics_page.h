// Reads a metrics page in the Prometheus text format.
#pragma once

#include "state/metrics.h"

#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::apps {

struct metric_sample {
    std::string name;
    state::metric_labels labels;
    double value = 0;

    // The value of a label; empty when there is none.
    std::string_view label(std::string_view labelName) const;
};

// Comments and lines that can't be read are left out.
std::vector<metric_sample> parseMetricsPage(std::string_view page);

} // namespace jackdaw::apps
