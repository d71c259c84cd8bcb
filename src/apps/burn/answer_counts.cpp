// Counts from metrics pages.
#include "apps/burn/answer_counts.h"

#include "apps/shared/job_metrics.h"
#include "apps/shared/metrics_page.h"

#include <cstdlib>

namespace jackdaw::burn {
namespace {

    answer_counts readOne(const std::vector<apps::metric_sample>& samples, const service_objective& objective)
    {
        const std::string bucketsName = std::string(apps::serviceSecondsName) + "_bucket";
        const double within = std::chrono::duration<double>(objective.within).count();
        constexpr double tolerance = 1e-9; // of the decimal text of a bound
        double longestBound = 0;
        answer_counts out;
        for (const apps::metric_sample& sample : samples) {
            if (sample.label("client") != objective.client || sample.label("team") != objective.team)
                continue;
            if (sample.name == apps::serviceJobsName && sample.label("state") != "cancelled")
                out.total += sample.value;
            if (sample.name != bucketsName)
                continue;
            const double bound = std::strtod(std::string(sample.label("le")).c_str(), nullptr);
            if (bound <= within + tolerance && bound > longestBound) {
                longestBound = bound;
                out.good = sample.value;
            }
        }
        return out;
    }

} // namespace

answer_counts& answer_counts::operator+=(const answer_counts& other)
{
    good += other.good;
    total += other.total;
    return *this;
}

std::vector<answer_counts> readAnswerCounts(std::string_view page, const std::vector<service_objective>& objectives)
{
    const auto samples = apps::parseMetricsPage(page);
    std::vector<answer_counts> out;
    out.reserve(objectives.size());
    for (const service_objective& objective : objectives)
        out.push_back(readOne(samples, objective));
    return out;
}

} // namespace jackdaw::burn
