// Versioned changes, stored answers to resent changes, and the origins of rules.
#include "coordination/rules_store.h"

#include "protocol/msgpack_codec.h"

#include <xxhash.h>

#include <deque>
#include <map>
#include <unordered_map>

namespace jackdaw::coordination {

using protocol::error_kind;
using protocol::makeError;
using protocol::result;

namespace {

    constexpr std::uint32_t formatVersion = 1;
    constexpr std::size_t bytesBesideText = 4096; // of a change without lines

    struct packed_line {
        std::string name;
        std::string value;
        std::string author;
        std::uint64_t line = 0;

        MSGPACK_DEFINE_ARRAY(name, value, author, line)
    };

    struct packed_change {
        std::uint32_t format = 0;
        std::string changeId;
        std::uint64_t expectedVersion = 0;
        std::string operatorName;
        std::string_view text; // of the packed change or of the bytes
        std::vector<packed_line> lines;
        bool hasExplicitVersion = false;
        std::uint64_t explicitVersion = 0; // valid if hasExplicitVersion
        std::string evacuationZone; // empty: the entry changes the rules
        bool isEvacuated = false;
        std::int64_t orderedUnixMs = 0;

        MSGPACK_DEFINE_ARRAY(format, changeId, expectedVersion, operatorName, text, lines, hasExplicitVersion, explicitVersion, evacuationZone, isEvacuated, orderedUnixMs)
    };

    struct packed_version {
        std::uint64_t version = 0;
        std::string changeId;
        std::string operatorName;

        MSGPACK_DEFINE_ARRAY(version, changeId, operatorName)
    };

    struct packed_trace {
        packed_line rule;
        packed_version introducedIn;

        MSGPACK_DEFINE_ARRAY(rule, introducedIn)
    };

    struct packed_answer {
        std::string changeId;
        std::uint64_t fingerprint = 0;
        std::uint8_t outcome = 0;
        packed_version inForce;

        MSGPACK_DEFINE_ARRAY(changeId, fingerprint, outcome, inForce)
    };

    struct packed_evacuation {
        std::string zone;
        bool isEvacuated = false;
        std::uint64_t number = 0;
        std::int64_t orderedUnixMs = 0;

        MSGPACK_DEFINE_ARRAY(zone, isEvacuated, number, orderedUnixMs)
    };

    struct packed_store {
        std::uint32_t format = 0;
        packed_version inForce;
        std::string_view text; // of the packed store or of the bytes
        std::vector<packed_trace> traces;
        std::vector<packed_answer> answers; // oldest first
        std::uint64_t evacuationNumber = 0; // this and the next are absent in snapshots of earlier releases
        std::vector<packed_evacuation> evacuations;

        MSGPACK_DEFINE_ARRAY(format, inForce, text, traces, answers, evacuationNumber, evacuations)
    };

    packed_line toPacked(const state::rule_line& line)
    {
        return { line.name, line.value, line.author, line.line };
    }

    state::rule_line fromPacked(packed_line line)
    {
        return { std::move(line.name), std::move(line.value), std::move(line.author), line.line };
    }

    packed_version toPacked(const rules_version& version)
    {
        return { version.version, version.changeId, version.operatorName };
    }

    rules_version fromPacked(packed_version version)
    {
        return { version.version, std::move(version.changeId), std::move(version.operatorName) };
    }

    // Distinguishes a resent change from another change with the same id.
    std::uint64_t fingerprintOf(const rules_change& change)
    {
        return XXH3_64bits_withSeed(change.text.data(), change.text.size(), change.expectedVersion);
    }

} // namespace

std::string encodeRulesChange(rules_change change)
{
    packed_change packed { formatVersion, change.changeId, change.expectedVersion, change.operatorName, change.text, {}, change.explicitVersion.has_value(), change.explicitVersion.value_or(0), {}, false, 0 };
    if (change.evacuation) {
        packed.hasExplicitVersion = true;
        packed.evacuationZone = change.evacuation->zone;
        packed.isEvacuated = change.evacuation->isEvacuated;
        packed.orderedUnixMs = change.evacuation->orderedUnixMs;
    }
    for (const state::rule_line& line : change.lines)
        packed.lines.push_back(toPacked(line));
    return protocol::packLargeMessage(packed, packed.text.size() + bytesBesideText);
}

result<rules_change> decodeRulesChange(std::string_view bytes)
{
    auto packed = protocol::unpackMessage<packed_change>(bytes, protocol::recordOptions);
    if (!packed)
        return packed.error();
    packed_change& from = packed.value();
    if (from.format == 0 || from.changeId.empty())
        return makeError(error_kind::corrupt_data, "rules change without format or change id");
    rules_change change { std::move(from.changeId), from.expectedVersion, std::move(from.operatorName), std::string(from.text), {}, std::nullopt, std::nullopt };
    if (from.hasExplicitVersion)
        change.explicitVersion = from.explicitVersion;
    if (!from.evacuationZone.empty())
        change.evacuation = zone_order { std::move(from.evacuationZone), from.isEvacuated, from.orderedUnixMs };
    for (packed_line& line : from.lines)
        change.lines.push_back(fromPacked(std::move(line)));
    return change;
}

class rules_store::impl {
public:
    struct stored_answer {
        std::uint64_t fingerprint = 0;
        change_answer answer;
    };

    rules_version inForce; // its version never decreases
    std::string text;
    zone_evacuations evacuations;
    std::vector<rule_trace> traces; // in the order of the text
    std::map<std::string, std::size_t, std::less<>> traceByName; // index into traces

    // Invariant: both contain the same change ids, at most maxStoredAnswers.
    std::unordered_map<std::string, stored_answer> answers;
    std::deque<std::string> answerOrder; // oldest first

    void storeAnswer(const std::string& changeId, stored_answer answer)
    {
        if (answerOrder.size() == maxStoredAnswers) {
            answers.erase(answerOrder.front());
            answerOrder.pop_front();
        }
        answers.emplace(changeId, std::move(answer));
        answerOrder.push_back(changeId);
    }

    void replaceRules(const rules_change& change)
    {
        inForce = { change.explicitVersion.value_or(change.expectedVersion + 1), change.changeId, change.operatorName };
        text = change.text;
        std::vector<rule_trace> next;
        for (const state::rule_line& line : change.lines)
            next.push_back({ line, originOf(line) });
        setTraces(std::move(next));
    }

    // A rule keeps its origin as long as its value and author are unchanged.
    rules_version originOf(const state::rule_line& line) const
    {
        const auto known = traceByName.find(line.name);
        if (known == traceByName.end())
            return inForce;
        const rule_trace& trace = traces[known->second];
        const bool isSame = trace.rule.value == line.value && trace.rule.author == line.author;
        return isSame ? trace.introducedIn : inForce;
    }

    void setTraces(std::vector<rule_trace> next)
    {
        traces = std::move(next);
        traceByName.clear();
        for (std::size_t i = 0; i < traces.size(); ++i)
            traceByName[traces[i].rule.name] = i;
    }
};

rules_store::rules_store()
    : m_impl(std::make_unique<impl>())
{
}
rules_store::rules_store(rules_store&&) noexcept = default;
rules_store& rules_store::operator=(rules_store&&) noexcept = default;
rules_store::~rules_store() = default;

change_answer rules_store::apply(const rules_change& change)
{
    if (change.evacuation) {
        const bool isRefused = m_impl->evacuations.apply(*change.evacuation) == zone_order_outcome::refused;
        return { isRefused ? change_outcome::refused : change_outcome::accepted, m_impl->inForce };
    }
    if (change.explicitVersion) {
        if (*change.explicitVersion > m_impl->inForce.version)
            m_impl->replaceRules(change);
        return { change_outcome::accepted, m_impl->inForce };
    }
    const std::uint64_t fingerprint = fingerprintOf(change);
    if (const auto known = m_impl->answers.find(change.changeId); known != m_impl->answers.end()) {
        if (known->second.fingerprint == fingerprint)
            return known->second.answer;
        return { change_outcome::reused_id, m_impl->inForce };
    }
    change_answer answer { change_outcome::conflict, m_impl->inForce };
    if (change.expectedVersion == m_impl->inForce.version) {
        m_impl->replaceRules(change);
        answer = { change_outcome::accepted, m_impl->inForce };
    }
    m_impl->storeAnswer(change.changeId, { fingerprint, answer });
    return answer;
}

const rules_version& rules_store::inForce() const
{
    return m_impl->inForce;
}

const std::string& rules_store::text() const
{
    return m_impl->text;
}

const zone_evacuations& rules_store::evacuations() const
{
    return m_impl->evacuations;
}

result<rule_trace> rules_store::trace(std::string_view name) const
{
    const auto found = m_impl->traceByName.find(name);
    if (found == m_impl->traceByName.end())
        return makeError(error_kind::unknown_resource, "no rule '" + std::string(name) + "' is in force");
    return m_impl->traces[found->second];
}

std::vector<rule_trace> rules_store::traces() const
{
    return m_impl->traces;
}

std::string rules_store::snapshot() const
{
    packed_store packed { formatVersion, toPacked(m_impl->inForce), m_impl->text, {}, {}, m_impl->evacuations.number(), {} };
    for (const zone_evacuation& zone : m_impl->evacuations.zones())
        packed.evacuations.push_back({ zone.zone, zone.isEvacuated, zone.number, zone.orderedUnixMs });
    for (const rule_trace& trace : m_impl->traces)
        packed.traces.push_back({ toPacked(trace.rule), toPacked(trace.introducedIn) });
    for (const std::string& changeId : m_impl->answerOrder) {
        const auto& known = m_impl->answers.at(changeId);
        packed.answers.push_back({ changeId, known.fingerprint, static_cast<std::uint8_t>(known.answer.outcome), toPacked(known.answer.inForce) });
    }
    return protocol::packLargeMessage(packed, packed.text.size() + bytesBesideText);
}

result<rules_store> rules_store::restore(std::string_view bytes)
{
    auto packed = protocol::unpackMessage<packed_store>(bytes, protocol::recordOptions);
    if (!packed)
        return packed.error();
    packed_store& from = packed.value();
    if (from.format == 0)
        return makeError(error_kind::corrupt_data, "snapshot of the rules without a format version");
    rules_store store;
    store.m_impl->inForce = fromPacked(std::move(from.inForce));
    store.m_impl->text = from.text;
    std::vector<zone_evacuation> zones;
    for (packed_evacuation& zone : from.evacuations)
        zones.push_back({ std::move(zone.zone), zone.isEvacuated, zone.number, zone.orderedUnixMs });
    auto evacuations = zone_evacuations::restore(from.evacuationNumber, std::move(zones));
    if (!evacuations)
        return evacuations.error();
    store.m_impl->evacuations = std::move(evacuations.value());
    std::vector<rule_trace> traces;
    for (packed_trace& trace : from.traces)
        traces.push_back({ fromPacked(std::move(trace.rule)), fromPacked(std::move(trace.introducedIn)) });
    store.m_impl->setTraces(std::move(traces));
    for (packed_answer& answer : from.answers) {
        const bool isKnownOutcome = answer.outcome <= static_cast<std::uint8_t>(change_outcome::reused_id);
        if (!isKnownOutcome || store.m_impl->answers.contains(answer.changeId))
            return makeError(error_kind::corrupt_data, "snapshot of the rules with a wrong answer of change " + answer.changeId);
        const change_answer known { static_cast<change_outcome>(answer.outcome), fromPacked(std::move(answer.inForce)) };
        store.m_impl->storeAnswer(answer.changeId, { answer.fingerprint, known });
    }
    return store;
}

} // namespace jackdaw::coordination
