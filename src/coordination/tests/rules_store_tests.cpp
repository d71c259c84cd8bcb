// Tests of the configuration's state machine: seeded simulations of races and resends, whose checker must detect injected faults.
#include "coordination/rules_conversion.h"
#include "coordination/rules_store.h"
#include "state/rules_file.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <random>
#include <utility>

using namespace jackdaw::coordination;
using jackdaw::protocol::error_kind;

namespace {

rules_change makeChange(std::string id, std::uint64_t expected, std::string text)
{
    auto parsed = jackdaw::state::parseRules(text, "r.toml");
    REQUIRE(parsed);
    return { std::move(id), expected, "ana", std::move(text), parsed.value().lines };
}

// The checker's access to one replica. A test replaces these functions to inject a fault.
struct store_driver {
    std::function<change_answer(rules_store& store, rules_change change)> apply = [](rules_store& store, const rules_change& change) {
        return store.apply(change);
    };
    std::function<std::string(const rules_store& store)> snapshot = [](const rules_store& store) { return store.snapshot(); };
};

// Generates changes that race, are resent or expect a wrong version; replicas restart from snapshots. After every change the
// invariants are checked against a list of all accepted changes.
class rules_checker {
public:
    rules_checker(std::uint64_t seed, store_driver driver)
        : m_random(seed)
        , m_driver(std::move(driver))
    {
    }

    // Returns the first violation.
    std::string run()
    {
        constexpr int changes = 60;
        for (int i = 0; i < changes && m_violation.empty(); ++i) {
            const rules_change change = nextChange(i);
            for (rules_store& replica : m_replicas)
                applyAndCheck(replica, change);
            checkReplicas();
            if (randomBelow(5) == 0)
                restart(m_replicas[randomBelow(m_replicas.size())]);
        }
        return m_violation;
    }

private:
    std::uint64_t randomBelow(std::uint64_t bound) { return m_random() % bound; }

    rules_change nextChange(int number)
    {
        if (!m_sent.empty() && randomBelow(4) == 0)
            return m_sent[randomBelow(m_sent.size())];
        const std::uint64_t current = m_history.size();
        const std::uint64_t expected = randomBelow(3) == 0 ? randomBelow(current + 2) : current;
        rules_change change { "change-" + std::to_string(number), expected, "operator-" + std::to_string(randomBelow(3)), {}, {} };
        for (std::size_t rule = 0; rule < 4; ++rule) {
            if (randomBelow(4) == 0)
                continue;
            change.lines.push_back({ "rule." + std::to_string(rule), std::to_string(randomBelow(2)), "author-" + std::to_string(randomBelow(2)), change.lines.size() + 1 });
            change.text += change.lines.back().name + change.lines.back().value + change.lines.back().author + '\n';
        }
        m_sent.push_back(change);
        return change;
    }

    void applyAndCheck(rules_store& replica, const rules_change& change)
    {
        const std::uint64_t before = replica.inForce().version;
        const change_answer answer = m_driver.apply(replica, change);
        if (replica.inForce().version < before)
            fail("a replica's version decreased");
        const auto [first, isNew] = m_answers.emplace(change.changeId, answer);
        if (first->second != answer)
            fail("two answers to one change");
        if (answer.outcome == change_outcome::accepted && isNew)
            recordAccepted(change, answer);
        if (answer.outcome == change_outcome::conflict && isNew)
            checkWinner(change, answer);
    }

    void recordAccepted(const rules_change& change, const change_answer& answer)
    {
        if (change.expectedVersion != m_history.size() || answer.inForce.version != m_history.size() + 1)
            fail("accepted over another version");
        m_history.push_back(change);
    }

    void checkWinner(const rules_change& change, const change_answer& answer)
    {
        const rules_version& winner = answer.inForce;
        if (change.expectedVersion == m_history.size() || winner.version != m_history.size())
            return fail("a conflict without a competing change");
        if (winner.version > 0 && (m_history.back().changeId != winner.changeId || m_history.back().operatorName != winner.operatorName))
            fail("the conflict names a wrong winner");
    }

    void checkReplicas()
    {
        for (const rules_store& replica : m_replicas) {
            if (replica.inForce().version != m_history.size())
                fail("a replica's version differs from the history");
            if (!m_history.empty() && replica.text() != m_history.back().text)
                fail("a replica's text differs from the history");
            checkTraces(replica.traces());
        }
    }

    void checkTraces(const std::vector<rule_trace>& traces)
    {
        const std::size_t expected = m_history.empty() ? 0 : m_history.back().lines.size();
        if (traces.size() != expected)
            return fail("a replica's rules differ from the history");
        for (std::size_t i = 0; i < expected; ++i) {
            if (traces[i].introducedIn.version != originInHistory(m_history.back().lines[i]))
                fail("a rule is traced to a wrong version");
        }
    }

    std::uint64_t originInHistory(const jackdaw::state::rule_line& rule) const
    {
        std::uint64_t version = m_history.size();
        for (; version > 1; --version) {
            const auto& earlier = m_history[version - 2].lines;
            const bool isThere = std::any_of(earlier.begin(), earlier.end(), [&](const jackdaw::state::rule_line& line) {
                return line.name == rule.name && line.value == rule.value && line.author == rule.author;
            });
            if (!isThere)
                break;
        }
        return version;
    }

    void restart(rules_store& replica)
    {
        auto restored = rules_store::restore(m_driver.snapshot(replica));
        if (!restored)
            return fail("a snapshot can't be restored");
        replica = std::move(restored.value());
    }

    void fail(const std::string& violation)
    {
        if (m_violation.empty())
            m_violation = violation;
    }

    std::mt19937_64 m_random;
    store_driver m_driver;
    std::array<rules_store, 3> m_replicas;
    std::vector<rules_change> m_sent;
    std::vector<rules_change> m_history; // accepted changes; entry i created version i + 1
    std::map<std::string, change_answer> m_answers; // the first answer to each change id
    std::string m_violation;
};

std::string firstViolation(std::uint64_t seeds, const store_driver& driver)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        if (std::string violation = rules_checker(seed, driver).run(); !violation.empty())
            return "seed " + std::to_string(seed) + ": " + violation;
    }
    return {};
}

constexpr std::uint64_t seedCount = 1000;
constexpr std::uint64_t mutationSeeds = 20;

} // namespace

TEST_CASE("the configuration keeps its invariants under races, resends and restarts")
{
    CHECK(firstViolation(seedCount, {}).empty());
}

TEST_CASE("the checker detects injected faults")
{
    store_driver withoutVersionCheck; // no compare-and-set
    withoutVersionCheck.apply = [](rules_store& store, rules_change change) {
        change.expectedVersion = store.inForce().version;
        return store.apply(change);
    };
    CHECK(firstViolation(mutationSeeds, withoutVersionCheck).find("accepted over another version") != std::string::npos);

    store_driver withoutStoredAnswers; // stored answers are never found
    int copies = 0;
    withoutStoredAnswers.apply = [&copies](rules_store& store, rules_change change) {
        change.changeId += '/' + std::to_string(copies++ / 3);
        return store.apply(change);
    };
    CHECK_FALSE(firstViolation(mutationSeeds, withoutStoredAnswers).empty());

    store_driver withoutPersistence; // a restart loses the state
    withoutPersistence.snapshot = [](const rules_store&) { return rules_store().snapshot(); };
    CHECK_FALSE(firstViolation(mutationSeeds, withoutPersistence).empty());

    store_driver withWrongWinner; // a conflict names the losing change
    withWrongWinner.apply = [](rules_store& store, const rules_change& change) {
        change_answer answer = store.apply(change);
        if (answer.outcome == change_outcome::conflict)
            answer.inForce.changeId = change.changeId;
        return answer;
    };
    CHECK(firstViolation(mutationSeeds, withWrongWinner).find("wrong winner") != std::string::npos);

    store_driver withWrongOrigins; // every accepted change becomes the origin of all its rules
    withWrongOrigins.apply = [](rules_store& store, rules_change change) {
        for (auto& line : change.lines)
            line.author += std::to_string(change.expectedVersion);
        return store.apply(change);
    };
    CHECK(firstViolation(mutationSeeds, withWrongOrigins).find("traced to a wrong version") != std::string::npos);
}

TEST_CASE("the second of two racing changes gets a conflict, and a resent change gets its first answer")
{
    rules_store store;
    const auto first = makeChange("a", 0, "order = \"fifo\" # Ana\nretry.budget = 0.1 # Ana\n");
    const auto second = makeChange("b", 0, "order = \"earliest_deadline\" # Ivo\n");
    CHECK(store.apply(first) == change_answer { change_outcome::accepted, { 1, "a", "ana" } });
    CHECK(store.apply(second) == change_answer { change_outcome::conflict, { 1, "a", "ana" } });
    CHECK(store.apply(makeChange("c", 1, "\norder = \"fifo\" # Ana\nretry.budget = 0.2 # Ivo\n")).inForce.version == 2);
    CHECK(store.apply(first) == change_answer { change_outcome::accepted, { 1, "a", "ana" } });
    CHECK(store.apply(makeChange("a", 2, "")).outcome == change_outcome::reused_id);
    CHECK(store.inForce().version == 2);

    const auto kept = store.trace("order").value();
    CHECK(kept.introducedIn == rules_version { 1, "a", "ana" });
    CHECK(kept.rule == jackdaw::state::rule_line { "order", "\"fifo\"", "Ana", 2 });
    CHECK(store.trace("retry.budget").value().introducedIn.changeId == "c");
    CHECK(store.trace("spill.between_zones").error().kind() == error_kind::unknown_resource);
}

TEST_CASE("the number of stored answers is bounded, and a change whose answer was dropped is not accepted again")
{
    rules_store store;
    const auto first = makeChange("first", 0, "order = \"fifo\" # Ana\n");
    store.apply(first);
    for (std::size_t i = 0; i < rules_store::maxStoredAnswers; ++i)
        store.apply(makeChange("late-" + std::to_string(i), 0, ""));
    const auto bytes = store.snapshot().size();
    store.apply(makeChange("late-" + std::to_string(rules_store::maxStoredAnswers), 0, ""));
    CHECK(store.snapshot().size() <= bytes + 10);
    CHECK(store.apply(first).outcome == change_outcome::conflict);
}

TEST_CASE("a truncated change or snapshot is refused, and a damaged one does not crash the decoder")
{
    rules_store store;
    const auto change = makeChange("a", 0, "order = \"fifo\" # Ana\n");
    store.apply(change);
    const std::string changeBytes = encodeRulesChange(change);
    CHECK(decodeRulesChange(changeBytes).value() == change);
    for (const std::string& whole : { changeBytes, store.snapshot() }) {
        for (std::size_t offset = 0; offset < whole.size(); ++offset) {
            CHECK_FALSE(decodeRulesChange(std::string_view(whole).substr(0, offset)));
            CHECK_FALSE(rules_store::restore(std::string_view(whole).substr(0, offset)));
            std::string damaged = whole;
            damaged[offset] = static_cast<char>(damaged[offset] ^ 0xff);
            static_cast<void>(decodeRulesChange(damaged));
            static_cast<void>(rules_store::restore(damaged));
        }
    }
}

TEST_CASE("a document's rules override the defaults")
{
    const auto document = jackdaw::state::parseRules("team.default = { weight = 2, max_tasks = 9 } # Ana\n"
                                                     "team.minutes = { weight = 3 } # Ana\norder = \"fifo\" # Ana\n",
        "r.toml");
    const rules inForce = toRules(document.value(), 4);
    CHECK(inForce.version == 4);
    CHECK(inForce.teamRule("minutes").weight == 3);
    CHECK(inForce.teamRule("minutes").maxTasks == 9);
    CHECK(inForce.teamRule("other").weight == 2);
    CHECK(inForce.order == task_order::fifo);
    CHECK(inForce.retryBudget == rules().retryBudget);
}

TEST_CASE("of changes with an explicit version the highest takes effect, in any order, and the others are accepted")
{
    const auto applyVersion = [](rules_store& store, std::uint64_t version, const std::string& text) {
        rules_change change;
        change.changeId = "change-" + std::to_string(version) + text;
        change.text = text;
        change.explicitVersion = version;
        // Changes reach the store through the log, so the encoding is included.
        return store.apply(decodeRulesChange(encodeRulesChange(change)).value());
    };
    rules_store store;
    CHECK(applyVersion(store, 7, "seven").outcome == change_outcome::accepted);
    CHECK(applyVersion(store, 3, "three").outcome == change_outcome::accepted);
    CHECK(store.text() == "seven");
    CHECK(applyVersion(store, 7, "other seven").inForce.version == 7);
    CHECK(store.text() == "seven");
    CHECK(applyVersion(store, 0, "").inForce.version == 7); // as the read barrier of a linearizable read
    CHECK(applyVersion(store, 12, "twelve").inForce.version == 12);
    const auto restored = rules_store::restore(store.snapshot());
    REQUIRE(restored);
    CHECK(restored.value().inForce().version == 12);
    CHECK(restored.value().text() == "twelve");
}
