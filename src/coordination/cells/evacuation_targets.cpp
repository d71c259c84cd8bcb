// Weighted rendezvous hashing of jobs to cells.
#include "coordination/cells/evacuation_targets.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace jackdaw::cells {
namespace {

    // A cell whose known capacity is used up still gets jobs, since its owner may have told of more in the meantime: gossip is up to 0.9 s old.
    constexpr std::uint64_t smallestShare = 8;

    constexpr double hashRange = 18446744073709551616.0; // 2^64

    struct candidate {
        std::string_view cell;
        double weight = 0;
    };

    // Cells are chosen in proportion to their weights. A change of one weight moves only as many jobs as its share changes.
    double scoreOf(std::string_view job, const candidate& choice)
    {
        const std::uint64_t hash = XXH3_64bits_withSeed(job.data(), job.size(), XXH3_64bits(choice.cell.data(), choice.cell.size()));
        const double uniform = (static_cast<double>(hash) + 1) / (hashRange + 2); // above 0 and below 1
        return -std::log(uniform) / choice.weight;
    }

    std::uint64_t firstNeedOf(const protocol::job_order& job)
    {
        std::uint64_t sum = 0;
        for (const protocol::job_step& step : job.steps) {
            if (step.dependsOn.empty())
                sum += static_cast<std::uint64_t>(std::max<std::int64_t>(step.need.millicores, 0)) * step.count;
        }
        return sum;
    }

} // namespace

void evacuation_targets::update(std::string_view cell, const std::vector<protocol::service_free_capacity>& freeCapacity)
{
    auto found = m_cells.find(cell);
    if (found == m_cells.end())
        found = m_cells.try_emplace(std::string(cell)).first;
    auto& services = found->second;
    for (const protocol::service_free_capacity& known : freeCapacity)
        services[known.service] = { std::accumulate(known.millicores.begin(), known.millicores.end(), std::uint64_t { 0 }), 0 };
    if (services.size() == freeCapacity.size())
        return; // the usual case: gossip names the same services each time
    std::erase_if(services, [&](const auto& item) {
        return std::none_of(freeCapacity.begin(), freeCapacity.end(), [&](const protocol::service_free_capacity& known) { return known.service == item.first; });
    });
}

double evacuation_targets::weightOf(const cell_capacity& capacity)
{
    const std::uint64_t left = capacity.known - std::min(capacity.known, capacity.deducted);
    return static_cast<double>(std::max(left, capacity.known / smallestShare));
}

std::string evacuation_targets::choose(const protocol::job_order& job, const cell_predicate& mayTake)
{
    std::vector<candidate> serving;
    std::vector<candidate> others;
    bool hasFreeCapacity = false;
    for (const auto& [cell, services] : m_cells) {
        if (!mayTake(cell))
            continue;
        const auto service = services.find(job.service);
        if (service == services.end()) {
            others.push_back({ cell, 1 });
            continue;
        }
        serving.push_back({ cell, weightOf(service->second) });
        hasFreeCapacity = hasFreeCapacity || serving.back().weight > 0;
    }
    if (serving.empty())
        serving = std::move(others);
    else if (hasFreeCapacity)
        std::erase_if(serving, [](const candidate& choice) { return choice.weight <= 0; });
    else
        std::for_each(serving.begin(), serving.end(), [](candidate& choice) { choice.weight = 1; });
    const auto best = std::min_element(serving.begin(), serving.end(), [&](const candidate& left, const candidate& right) { return scoreOf(job.id, left) < scoreOf(job.id, right); });
    if (best == serving.end())
        return {};
    auto& services = m_cells.find(best->cell)->second;
    if (const auto service = services.find(job.service); service != services.end())
        service->second.deducted += firstNeedOf(job);
    return std::string(best->cell);
}

} // namespace jackdaw::cells
