// Reading of jackdaw-load's settings. A preset is read first, and every key changes one value of it.
#include "apps/load/load_settings.h"

#include "apps/shared/settings_keys.h"

namespace jackdaw::load {
namespace {

    using state::settings_reader;

    constexpr double maxRate = 1e6;
    constexpr double maxFactor = 1000;
    constexpr std::int64_t maxTasks = 100'000;
    constexpr std::int64_t maxPayloadBytes = 1 << 20;
    constexpr std::int64_t maxJobs = 10'000'000;
    constexpr duration longest = std::chrono::hours(24);

    void readTime(settings_reader& reader, std::string_view key, duration& value)
    {
        value = reader.millisecondsOr(key, value, duration::zero(), longest);
    }

    void readCount(settings_reader& reader, std::string_view key, std::size_t& value, std::int64_t low, std::int64_t high)
    {
        value = static_cast<std::size_t>(reader.integerOr(key, static_cast<std::int64_t>(value), low, high));
    }

    void readNumber(settings_reader& reader, std::string_view key, double& value, double low, double high)
    {
        value = reader.numberOr(key, value, low, high);
    }

    void readArrivals(settings_reader& reader, arrival_plan& plan)
    {
        readNumber(reader, "arrivals.jobs_per_second", plan.jobsPerSecond, 0, maxRate);
        readNumber(reader, "arrivals.utilization", plan.utilization, 0, maxFactor);
        readNumber(reader, "arrivals.capacity", plan.capacity, 0, maxRate);
        readTime(reader, "arrivals.burst_interval_ms", plan.burstInterval);
        readTime(reader, "arrivals.burst_length_ms", plan.burstLength);
        readNumber(reader, "arrivals.burst_factor", plan.burstFactor, 1, maxFactor);
    }

    void readTasks(settings_reader& reader, task_plan& plan)
    {
        readCount(reader, "tasks.min_count", plan.minCount, 1, maxTasks);
        readCount(reader, "tasks.max_count", plan.maxCount, 1, maxTasks);
        readTime(reader, "tasks.min_work_ms", plan.minWork);
        readTime(reader, "tasks.max_work_ms", plan.maxWork);
        readNumber(reader, "tasks.long_share", plan.longShare, 0, 1);
        readTime(reader, "tasks.long_work_ms", plan.longWork);
        readCount(reader, "tasks.payload_bytes", plan.payloadBytes, 0, maxPayloadBytes);
        if (plan.minCount > plan.maxCount || plan.minWork > plan.maxWork)
            reader.fail("tasks", "has a minimum over its maximum");
        if (plan.minWork == duration::zero() && plan.maxWork > duration::zero())
            reader.fail("tasks.min_work_ms", "must be positive unless max_work_ms is 0");
    }

    void readDisturbances(settings_reader& reader, workload& load)
    {
        readNumber(reader, "declared.wrong_share", load.declarations.wrongShare, 0, 1);
        readNumber(reader, "declared.wrong_factor", load.declarations.wrongFactor, 1, maxFactor);
        readNumber(reader, "resubmissions.share", load.resubmissions.share, 0, 1);
        readTime(reader, "resubmissions.min_delay_ms", load.resubmissions.minDelay);
        readTime(reader, "resubmissions.max_delay_ms", load.resubmissions.maxDelay);
        if (load.resubmissions.minDelay > load.resubmissions.maxDelay)
            reader.fail("resubmissions", "has a minimum over its maximum");
        readTime(reader, "cancels.interval_ms", load.cancels.interval);
        readNumber(reader, "cancels.share", load.cancels.share, 0, 1);
    }

    workload readWorkload(settings_reader& reader)
    {
        workload out;
        const std::string preset = reader.stringOr("preset", "");
        if (const auto known = presetWorkload(preset))
            out = *known;
        else if (!preset.empty())
            reader.fail("preset", "is neither zapisnikar nor dune");
        out.client = reader.stringOr("client", out.client);
        out.teams = reader.stringsOr("teams", out.teams);
        if (out.teams.empty())
            reader.fail("teams", "is empty");
        readTime(reader, "deadline_ms", out.deadline);
        readNumber(reader, "idempotent_share", out.idempotentShare, 0, 1);
        readArrivals(reader, out.arrivals);
        readTasks(reader, out.tasks);
        readDisturbances(reader, out);
        return out;
    }

} // namespace

protocol::result<load_settings> readLoadSettings(settings_reader& reader)
{
    load_settings out;
    out.entries = apps::readList<apps::zone_address>(reader, "entries", apps::parseZoneAddress);
    if (out.entries.empty())
        reader.fail("entries", "is empty");
    out.operators = apps::readList<transport::endpoint>(reader, "operators", apps::parseEndpoint);
    out.upstreamControls = apps::readList<transport::endpoint>(reader, "upstream_controls", apps::parseEndpoint);
    out.faults = apps::readList<upstream::fault_step>(reader, "faults", upstream::parseFaultStep);
    out.seed = static_cast<std::uint64_t>(reader.integerOr("seed", 0, 0, INT64_MAX));
    out.jobs = static_cast<std::size_t>(reader.requiredInteger("jobs", 1, maxJobs));
    out.maxTime = reader.millisecondsOr("max_ms", std::chrono::minutes(1), std::chrono::milliseconds(1), longest);
    out.isZoneNamed = reader.booleanOr("name_zone", false);
    out.fastestSpeed = reader.numberOr("fastest_speed", 0, 0, maxFactor);
    out.resultsFile = reader.stringOr("results_file", "");
    out.load = readWorkload(reader);
    const arrival_plan& arrivals = out.load.arrivals;
    const bool isCapacityKnown = arrivals.capacity > 0 || !out.upstreamControls.empty();
    if (arrivals.jobsPerSecond <= 0 && (arrivals.utilization <= 0 || !isCapacityKnown))
        reader.fail("arrivals", "needs jobs_per_second, or utilization and capacity");
    out.log.program = "jackdaw-load";
    out.log.level = state::parseLogLevel(reader.stringOr("log.level", "warning"));
    out.log.file = reader.stringOr("log.file", "");
    auto finished = reader.finish();
    if (!finished)
        return finished.error();
    return out;
}

} // namespace jackdaw::load
