// The table of rules: names, value types and ranges.
#include "state/internal/rule_values.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <sstream>

namespace jackdaw::state::internal {
namespace {

    constexpr double maxWeight = 1'000'000;
    constexpr double minWeight = 0.001;
    constexpr double maxRate = 10'000'000; // tasks per second, and tasks of a burst
    constexpr std::int64_t maxTasks = 10'000'000;
    constexpr std::int64_t maxDeadlineMs = 10 * 60 * 1000;
    constexpr std::int64_t maxRetentionSeconds = 24 * 60 * 60;
    constexpr double maxSlowPenalty = 100;
    constexpr double minTarget = 0.000001;
    constexpr double maxTarget = 0.999999;

    // Reads typed values and keeps the first reason why one is wrong.
    class value_reader {
    public:
        explicit value_reader(const toml::node& value)
            : m_value(value)
        {
        }

        std::string takeReason() { return std::move(m_reason); }

        double number(double low, double high) { return numberOf(m_value, "the value", low, high); }
        std::int64_t integer(std::int64_t low, std::int64_t high) { return integerOf(m_value, "the value", low, high); }

        bool boolean()
        {
            if (const auto* value = m_value.as_boolean())
                return value->get();
            fail("the value is not true or false");
            return false;
        }

        std::string text()
        {
            if (const auto* value = m_value.as_string())
                return value->get();
            fail("the value is not a string");
            return {};
        }

        std::optional<double> fieldNumber(std::string_view key, double low, double high)
        {
            const toml::node* node = field(key);
            return node ? std::optional(numberOf(*node, quoted(key), low, high)) : std::nullopt;
        }

        std::optional<std::int64_t> fieldInteger(std::string_view key, std::int64_t low, std::int64_t high)
        {
            const toml::node* node = field(key);
            return node ? std::optional(integerOf(*node, quoted(key), low, high)) : std::nullopt;
        }

        template <typename T>
        T required(std::string_view key, const std::optional<T>& value)
        {
            if (!value)
                fail(quoted(key) + " is missing");
            return value.value_or(T());
        }

        // To be called after all fields were asked for.
        void failOnUnknownFields()
        {
            const toml::table* table = m_value.as_table();
            if (!table)
                return fail("the value is not a table, { key = value }");
            if (table->empty())
                return fail("the table is empty");
            for (const auto& [key, node] : *table) {
                if (!m_knownFields.contains(key.str()))
                    return fail("unknown key " + quoted(key.str()));
            }
        }

        void fail(std::string reason)
        {
            if (m_reason.empty())
                m_reason = std::move(reason);
        }

    private:
        static std::string quoted(std::string_view key) { return "'" + std::string(key) + "'"; }

        const toml::node* field(std::string_view key)
        {
            m_knownFields.emplace(key);
            const toml::table* table = m_value.as_table();
            return table ? table->get(key) : nullptr;
        }

        double numberOf(const toml::node& node, const std::string& what, double low, double high)
        {
            const auto value = node.is_number() ? node.value<double>() : std::nullopt;
            if (value && *value >= low && *value <= high)
                return *value;
            std::ostringstream reason;
            reason.precision(std::numeric_limits<double>::digits10);
            reason << what << " is not a number from " << low << " to " << high;
            fail(reason.str());
            return low;
        }

        std::int64_t integerOf(const toml::node& node, const std::string& what, std::int64_t low, std::int64_t high)
        {
            const auto value = node.value_exact<std::int64_t>();
            if (value && *value >= low && *value <= high)
                return *value;
            fail(what + " is not a whole number from " + std::to_string(low) + " to " + std::to_string(high));
            return low;
        }

        const toml::node& m_value;
        std::set<std::string, std::less<>> m_knownFields;
        std::string m_reason;
    };

    job_order readOrder(value_reader& reader)
    {
        const std::string name = reader.text();
        if (name == "fifo")
            return job_order::fifo;
        if (name == "earliest_deadline")
            return job_order::earliest_deadline;
        if (name != "fewest_remaining")
            reader.fail("the value is not \"fifo\", \"earliest_deadline\" or \"fewest_remaining\"");
        return job_order::fewest_remaining;
    }

    struct scalar_rule {
        std::string_view name;
        void (*take)(value_reader& reader, rules_document& out);
    };

    constexpr std::array scalarRules {
        scalar_rule { "order", [](value_reader& reader, rules_document& out) { out.order = readOrder(reader); } },
        scalar_rule { "deadline.default_ms", [](value_reader& reader, rules_document& out) { out.defaultDeadline = std::chrono::milliseconds(reader.integer(1, maxDeadlineMs)); } },
        scalar_rule { "queue.max_tasks", [](value_reader& reader, rules_document& out) { out.maxQueuedTasks = static_cast<std::uint32_t>(reader.integer(1, maxTasks)); } },
        scalar_rule { "retry.budget", [](value_reader& reader, rules_document& out) { out.retryBudget = reader.number(0, 1); } },
        scalar_rule { "retry.idempotent_after_lease", [](value_reader& reader, rules_document& out) { out.retryIdempotentAfterLease = reader.boolean(); } },
        scalar_rule { "answers.retention_s", [](value_reader& reader, rules_document& out) { out.answerRetention = std::chrono::seconds(reader.integer(1, maxRetentionSeconds)); } },
        scalar_rule { "ejection.max_ratio", [](value_reader& reader, rules_document& out) { out.maxEjectedRatio = reader.number(0, 1); } },
        scalar_rule { "upstream.slow_penalty", [](value_reader& reader, rules_document& out) { out.slowUpstreamPenalty = reader.number(0, maxSlowPenalty); } },
        scalar_rule { "spill.between_zones", [](value_reader& reader, rules_document& out) { out.spillBetweenZones = reader.boolean(); } },
    };

    team_limits readTeam(value_reader& reader)
    {
        team_limits limits;
        limits.weight = reader.fieldNumber("weight", minWeight, maxWeight);
        if (const auto value = reader.fieldInteger("max_tasks", 0, maxTasks))
            limits.maxTasks = static_cast<std::uint32_t>(*value);
        limits.tasksPerSecond = reader.fieldNumber("tasks_per_second", 0, maxRate);
        limits.burstTasks = reader.fieldNumber("burst_tasks", 0, maxRate);
        reader.failOnUnknownFields();
        return limits;
    }

    service_objective readObjective(const std::string& client, const std::string& team, value_reader& reader)
    {
        service_objective objective { client, team, 0, {} };
        const auto target = reader.fieldNumber("target", minTarget, maxTarget);
        const auto within = reader.fieldInteger("within_ms", 1, maxDeadlineMs);
        reader.failOnUnknownFields();
        objective.target = reader.required("target", target);
        objective.within = std::chrono::milliseconds(reader.required("within_ms", within));
        return objective;
    }

    void takeTeam(const std::string& team, value_reader& reader, rules_document& out)
    {
        team_limits limits = readTeam(reader);
        if (team == "default")
            out.defaultTeam = limits;
        else
            out.teams[team] = limits;
    }

    std::string joined(const std::vector<std::string>& path)
    {
        std::string name;
        for (const std::string& part : path)
            name += (name.empty() ? "" : ".") + part;
        return name;
    }

} // namespace

std::string takeRule(const std::vector<std::string>& path, const toml::node& value, rules_document& out)
{
    value_reader reader(value);
    const std::string name = joined(path);
    const auto* scalar = std::find_if(scalarRules.begin(), scalarRules.end(), [&](const scalar_rule& rule) { return rule.name == name; });
    if (scalar != scalarRules.end())
        scalar->take(reader, out);
    else if (path.size() == 2 && path[0] == "team")
        takeTeam(path[1], reader, out);
    else if (path.size() == 3 && path[0] == "objective")
        out.objectives.push_back(readObjective(path[1], path[2], reader));
    else
        reader.fail("unknown rule '" + name + "'");
    return reader.takeReason();
}

} // namespace jackdaw::state::internal
