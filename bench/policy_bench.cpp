// Measures the scheduling policy of the dispatcher with fake upstreams in virtual time. Prints one JSON object for each
// run.
#include "decision_cost.h"
#include "fake_zone.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <numeric>

namespace {

using namespace jackdaw;
using namespace jackdaw::bench;
namespace options = boost::program_options;

// The number of upstreams in each of three availability zones.
constexpr std::size_t zoneUpstreams[] = { 17, 17, 16 };
constexpr std::uint32_t slotsPerUpstream = 8;
constexpr double warmUp = 0.15; // fraction of the run that is not measured

struct run_settings {
    std::string preset;
    std::string fault;
    workload_settings workload;
    coordination::rules activeRules;
};

// The work of all jobs, and the work that the upstreams can complete during the arrivals. Both in run time at factor 1.
struct offered_load {
    double work = 0; // seconds
    double capacity = 0; // seconds
};

fault_kind parseFault(const std::string& name)
{
    if (name == "failing")
        return fault_kind::failing;
    if (name == "refusing")
        return fault_kind::refusing;
    if (name == "slow")
        return fault_kind::slow;
    if (name == "silent")
        return fault_kind::silent;
    return fault_kind::none;
}

void addTo(std::map<std::string, std::uint64_t>& sum, const std::map<std::string, std::uint64_t>& part)
{
    for (const auto& [kind, count] : part)
        sum[kind] += count;
}

void addTo(zone_counts& sum, const zone_counts& part)
{
    sum.jobs += part.jobs;
    sum.complete += part.complete;
    sum.tasks += part.tasks;
    sum.starts += part.starts;
    sum.duplicateStarts += part.duplicateStarts;
    sum.retries += part.retries;
    sum.settles += part.settles;
    sum.duplicateAnswers += part.duplicateAnswers;
    sum.unanswered += part.unanswered;
    sum.startsWithoutFreeSlot += part.startsWithoutFreeSlot;
    addTo(sum.refused, part.refused);
    addTo(sum.failed, part.failed);
    sum.samples.insert(sum.samples.end(), part.samples.begin(), part.samples.end());
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return std::round(values[index] * 1000) / 1000;
}

template <typename Predicate>
nlohmann::ordered_json summarize(const std::vector<job_sample>& samples, Predicate belongs)
{
    std::vector<double> slowdowns;
    std::vector<double> waiting;
    for (const job_sample& sample : samples) {
        if (!belongs(sample))
            continue;
        slowdowns.push_back(sample.slowdown);
        waiting.push_back(sample.waitingSlowdown);
    }
    return { { "jobs", slowdowns.size() }, { "p50", quantile(slowdowns, 0.5) }, { "p99", quantile(slowdowns, 0.99) },
        { "waiting_p50", quantile(waiting, 0.5) }, { "waiting_p99", quantile(waiting, 0.99) } };
}

nlohmann::ordered_json toJson(const run_settings& settings, const zone_counts& counts, const offered_load& offered)
{
    const double wasted = 2.0 * static_cast<double>(counts.retries + counts.settles) / static_cast<double>(std::max<std::uint64_t>(counts.tasks, 1));
    nlohmann::ordered_json json {
        { "preset", settings.preset }, { "fault", settings.fault }, { "load", settings.workload.load },
        { "offered_load", std::round(1000 * offered.work / offered.capacity) / 1000 }, { "seed", settings.workload.seed },
        { "jobs", counts.jobs }, { "complete", counts.complete }, { "tasks", counts.tasks }, { "starts", counts.starts },
        { "double_starts", counts.duplicateStarts }, { "answers_twice", counts.duplicateAnswers }, { "unanswered", counts.unanswered },
        { "overfull", counts.startsWithoutFreeSlot }, { "wasted_messages_per_task", std::round(wasted * 10000) / 10000 },
        { "refused", counts.refused }, { "failed", counts.failed }
    };
    json["slowdown"] = summarize(counts.samples, [](const job_sample& sample) { return !sample.isFlood; });
    json["slowdown_1_to_16"] = summarize(counts.samples, [](const job_sample& sample) { return !sample.isFlood && sample.tasks <= 16; });
    json["slowdown_17_to_100"] = summarize(counts.samples, [](const job_sample& sample) { return !sample.isFlood && sample.tasks > 16 && sample.tasks <= 100; });
    json["slowdown_above_100"] = summarize(counts.samples, [](const job_sample& sample) { return !sample.isFlood && sample.tasks > 100; });
    if (settings.workload.flood)
        json["slowdown_of_flood"] = summarize(counts.samples, [](const job_sample& sample) { return sample.isFlood; });
    return json;
}

zone_counts runZones(const run_settings& settings, offered_load& offered)
{
    zone_counts sum;
    workload_settings workload = settings.workload;
    for (const std::size_t upstreams : zoneUpstreams) {
        zone_settings zone;
        zone.seed = workload.seed;
        zone.upstreams = upstreams;
        zone.slots = slotsPerUpstream;
        zone.fault = parseFault(settings.fault);
        zone.cancelRatio = workload.cancelRatio;
        std::vector<bench_job> jobs = makeWorkload(workload, capacityOf(upstreamFactors(upstreams), slotsPerUpstream));
        offered.capacity += capacityOf(upstreamFactors(upstreams), slotsPerUpstream) * std::chrono::duration<double>(workload.length).count();
        for (const bench_job& job : jobs)
            offered.work += std::chrono::duration<double>(std::accumulate(job.work.begin(), job.work.end(), duration {})).count();
        const auto measuredFrom = std::chrono::round<duration>(workload.length * warmUp);
        zone.measureFrom = jobs.front().arrival + measuredFrom;
        zone.faultsFrom = zone.measureFrom;
        addTo(sum, fake_zone(zone, std::make_shared<const coordination::rules>(settings.activeRules)).run(std::move(jobs)));
        ++workload.seed;
    }
    return sum;
}

int printDecisionCosts()
{
    nlohmann::ordered_json costs;
    for (const std::size_t upstreams : { 12, 120, 1200 }) {
        for (const std::size_t queued : { 1000, 10000, 100000 }) {
            const decision_cost cost = measureDecisionCost(upstreams, queued);
            costs.push_back({ { "upstreams", cost.upstreams }, { "queued_tasks", cost.queuedTasks },
                { "report_and_start_ns", std::round(cost.reportNanoseconds) }, { "submit_ns_per_task", std::round(cost.submitNanoseconds) }, { "cancel_ns_per_task", std::round(cost.cancelNanoseconds) } });
        }
    }
    std::cout << costs.dump(2) << '\n';
    return 0;
}

coordination::task_order parseOrder(const std::string& name)
{
    if (name == "fifo")
        return coordination::task_order::fifo;
    if (name == "deadline")
        return coordination::task_order::earliest_deadline;
    return coordination::task_order::fewest_remaining;
}

} // namespace

int main(int argc, char** argv)
{
    run_settings settings;
    double seconds = 0;
    std::string order;
    options::options_description description("policy_bench");
    // clang-format off
    description.add_options()
        ("help", "prints this text")
        ("cost", "measures the cost of decisions instead")
        ("preset", options::value(&settings.preset)->default_value("zapisnikar"), "zapisnikar or dune")
        ("fault", options::value(&settings.fault)->default_value("none"), "none, failing, refusing, slow or silent")
        ("load", options::value(&settings.workload.load)->default_value(0.7), "fraction of the true capacity")
        ("seconds", options::value(&seconds)->default_value(120), "length of the arrivals in virtual time")
        ("seed", options::value(&settings.workload.seed)->default_value(1), "seed of workload and faults")
        ("order", options::value(&order)->default_value("fewest"), "fifo, deadline or fewest")
        ("penalty", options::value(&settings.activeRules.slowUpstreamPenalty)->default_value(settings.activeRules.slowUpstreamPenalty), "slowUpstreamPenalty of the rules")
        ("retry-budget", options::value(&settings.activeRules.retryBudget)->default_value(settings.activeRules.retryBudget), "retries for each start")
        ("ejected-ratio", options::value(&settings.activeRules.maxEjectedRatio)->default_value(settings.activeRules.maxEjectedRatio), "maxEjectedRatio of the rules")
        ("flood", options::bool_switch(&settings.workload.flood), "an additional team overloads the system during a fifth of the run");
    // clang-format on
    options::variables_map arguments;
    options::store(options::parse_command_line(argc, argv, description), arguments);
    options::notify(arguments);
    if (arguments.contains("help")) {
        std::cout << description;
        return 0;
    }
    if (arguments.contains("cost"))
        return printDecisionCosts();
    settings.workload.dune = settings.preset == "dune";
    settings.workload.length = std::chrono::round<duration>(std::chrono::duration<double>(seconds));
    settings.activeRules.order = parseOrder(order);
    offered_load offered;
    const zone_counts counts = runZones(settings, offered);
    std::cout << toJson(settings, counts, offered).dump() << '\n';
    return 0;
}
