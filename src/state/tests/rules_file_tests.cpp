// Tests of the rules file's parser.
#include "state/rules_file.h"

#include <doctest/doctest.h>

#include <array>
#include <random>

using namespace jackdaw::state;

namespace {

constexpr std::string_view sample = R"(# rules of the winter season

team.minutes = { weight = 3, max_tasks = 400, tasks_per_second = 2000 } # asked for by Ana Kos
team.default = { weight = 1 } # Asked for by Črt Žagar, council evening
order = "earliest_deadline" # Ana Kos
deadline.default_ms = 8_000 # asked for by Ana Kos
queue.max_tasks = 50000 # asked for by Ana Kos
retry.budget = 0.05 # asked for by Ivo Babić
retry.idempotent_after_lease = true # asked for by Ivo Babić
answers.retention_s = 600 # asked for by Ana Kos
ejection.max_ratio = 0.5 # asked for by Ana Kos
upstream.slow_penalty = 1 # asked for by Ana Kos
spill.between_zones = false # asked for by Ana Kos # twice
objective.council.minutes = { target = 0.99, within_ms = 800 } # asked for by Ana Kos
)";

struct wrong_line {
    std::string_view text;
    std::string_view reason;
};

std::string refusalOf(std::string_view text)
{
    const auto parsed = parseRules(text, "r.toml");
    return parsed ? std::string("accepted") : parsed.error().detail;
}

} // namespace

TEST_CASE("every rule is read with its author, value text and line")
{
    const auto parsed = parseRules(sample, "r.toml");
    REQUIRE_MESSAGE(parsed, refusalOf(sample));
    const rules_document& document = parsed.value();
    CHECK(document.lines.size() == 12);
    CHECK(document.lines[0] == rule_line { "team.minutes", "{ weight = 3, max_tasks = 400, tasks_per_second = 2000 }", "Ana Kos", 3 });
    CHECK(document.lines[1].author == "Črt Žagar, council evening");
    CHECK(document.lines[2].author == "Ana Kos");
    CHECK(document.teams.at("minutes").maxTasks == 400);
    CHECK_FALSE(document.teams.at("minutes").burstTasks);
    CHECK(document.defaultTeam->weight == 1);
    CHECK(document.order == job_order::earliest_deadline);
    CHECK(document.defaultDeadline == std::chrono::seconds(8));
    CHECK(document.maxQueuedTasks == 50000);
    CHECK(document.retryBudget == 0.05);
    CHECK(document.retryIdempotentAfterLease == true);
    CHECK(document.answerRetention == std::chrono::minutes(10));
    CHECK(document.maxEjectedRatio == 0.5);
    CHECK(document.slowUpstreamPenalty == 1);
    CHECK(document.spillBetweenZones == false);
    CHECK(document.objectives.at(0).target == 0.99);
}

TEST_CASE("a line that breaks the rules of the file is refused with its line and the reason")
{
    constexpr std::array<wrong_line, 21> cases { {
        { "retry.budget = 0.1", "r.toml:1: no comment" },
        { "retry.budget = 0.1 #", "r.toml:1: no comment" },
        { "retry.budget = 0.1 # 123", "r.toml:1: no comment" },
        { "retry.budget = 0.1 # asked for by", "r.toml:1: no comment" },
        { "\n\norder = \"fifo # Ana\"", "r.toml:3: no comment" },
        { "# by Ana\nretry.budget = 0.1", "r.toml:2: no comment" },
        { "team.a = { weight = 1,\n max_tasks = 2 } # Ana", "r.toml:1: not a rule on one line" },
        { "[retry]\nbudget = 0.1 # Ana", "r.toml:1: sections are not allowed" },
        { "[[team]] # Ana", "r.toml:1: sections are not allowed" },
        { "retry.bugdet = 0.1 # Ana", "r.toml:1: unknown rule 'retry.bugdet'" },
        { "retry = { budget = 0.1 } # Ana", "r.toml:1: unknown rule 'retry'" },
        { "team.a = { wieght = 1 } # Ana", "r.toml:1: unknown key 'wieght'" },
        { "team.a.weight = 1 # Ana", "r.toml:1: unknown rule 'team.a.weight'" },
        { "team.a = 4 # Ana", "r.toml:1: the value is not a table" },
        { "team.a = { weight = 0 } # Ana", "r.toml:1: 'weight' is not a number from 0.001" },
        { "team.a = { max_tasks = 1.5 } # Ana", "r.toml:1: 'max_tasks' is not a whole number" },
        { "retry.budget = nan # Ana", "r.toml:1: the value is not a number" },
        { "retry.budget = \"0.1\" # Ana", "r.toml:1: the value is not a number" },
        { "objective.a.b = { target = 0.9 } # Ana", "r.toml:1: 'within_ms' is missing" },
        { "order = \"fifo\" # Ana\norder = \"fifo\" # Ana", "r.toml:2: 'order' stands on line 1" },
        { "team.\"a b\" = { weight = 1 } # Ana", "r.toml:1: a rule's name" },
    } };
    for (const wrong_line& wrong : cases)
        CHECK_MESSAGE(refusalOf(wrong.text).starts_with(wrong.reason), wrong.text << " gave " << refusalOf(wrong.text));
    CHECK(refusalOf("order = 1 # Ana\norder = 2 # Ana\n").find("\nr.toml:2: ") != std::string::npos);
    CHECK(refusalOf(std::string(maxRulesFileBytes + 1, '#')).starts_with("r.toml:1: "));
}

TEST_CASE("seeded mutations are accepted or refused with a line number, and never crash")
{
    std::mt19937_64 random(20261204);
    const auto below = [&](std::size_t bound) { return static_cast<std::size_t>(random() % bound); };
    for (int round = 0; round < 4000; ++round) {
        std::string text(sample);
        for (std::size_t change = 0; change <= below(6); ++change) {
            const std::size_t at = below(text.size());
            switch (below(4)) {
            case 0:
                text[at] = static_cast<char>(random());
                break;
            case 1:
                text.erase(at, below(20));
                break;
            case 2:
                text.insert(at, text.substr(below(text.size()), below(40)));
                break;
            default:
                text.insert(at, 1, "#\"'{}[]=.\n\r\\"[below(12)]);
            }
        }
        const auto parsed = parseRules(text, "r.toml");
        if (parsed) {
            for (const rule_line& line : parsed.value().lines)
                CHECK_FALSE((line.author.empty() || line.name.empty() || line.value.empty() || line.line == 0));
            continue;
        }
        const std::string& detail = parsed.error().detail;
        CHECK(detail.starts_with("r.toml:"));
        CHECK(std::isdigit(static_cast<unsigned char>(detail.at(7))) != 0);
    }
}
