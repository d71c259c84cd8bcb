// Maps operators' requests onto the control node, and its answers onto JSON.
#include "apps/control/operator_api.h"

#include "apps/shared/failure_body.h"
#include "apps/shared/zone_address.h"
#include "state/rules_file.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace jackdaw::control {

using coordination::change_answer;
using coordination::change_outcome;
using coordination::raft_member_id;
using coordination::raft_role;
using coordination::rules_change;
using coordination::rules_version;
using nlohmann::json;
using protocol::error_kind;
using protocol::makeError;
using transport::http_method;
using transport::http_request;
using transport::http_responder;
using transport::http_response;

namespace {

    constexpr std::string_view tracePrefix = "/v1/rules/trace/";
    constexpr std::string_view drainPrefix = "/v1/drain/";
    constexpr std::size_t maxChangeIdBytes = 64;

    std::string_view toText(raft_role role)
    {
        switch (role) {
        case raft_role::leader:
            return "leader";
        case raft_role::candidate:
            return "candidate";
        case raft_role::follower:
            return "follower";
        case raft_role::learner:
            break;
        }
        return "learner";
    }

    void reply(http_responder& responder, const json& body, int status = 200)
    {
        http_response response;
        response.status = status;
        response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
        responder.reply(std::move(response));
    }

    json toJson(const rules_version& version)
    {
        return { { "version", version.version }, { "change", version.changeId }, { "operator", version.operatorName } };
    }

    void replyToChange(const change_answer& answer, http_responder& responder)
    {
        if (answer.outcome == change_outcome::accepted)
            return reply(responder, toJson(answer.inForce));
        const bool isConflict = answer.outcome == change_outcome::conflict;
        const error_kind kind = isConflict ? error_kind::version_conflict : error_kind::malformed_request;
        json body = apps::failureBody(kind, isConflict ? "version " + std::to_string(answer.inForce.version) + " is in force" : "the change id belongs to another change");
        if (isConflict)
            body["winner"] = toJson(answer.inForce);
        reply(responder, body, protocol::errorAnswer(kind).httpStatus);
    }

    bool isChangeId(std::string_view text)
    {
        return !text.empty() && text.size() <= maxChangeIdBytes && std::all_of(text.begin(), text.end(), [](unsigned char c) {
            return std::isalnum(c) != 0 || c == '-' || c == '_';
        });
    }

    std::optional<std::uint64_t> parseVersion(std::string_view text)
    {
        std::uint64_t version = 0;
        const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), version);
        if (failure != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return version;
    }

    // Reads the whole change, or says what is wrong with it.
    protocol::result<rules_change> readChange(const http_request& request, const std::string& operatorName)
    {
        const auto expected = parseVersion(request.queryParameter("expect"));
        const std::string_view changeId = request.queryParameter("change");
        if (!expected)
            return makeError(error_kind::malformed_request, "'expect' is not a version");
        if (!isChangeId(changeId))
            return makeError(error_kind::malformed_request, "'change' is not 1 to 64 letters, digits, '-' and '_'");
        if (request.body.size() > state::maxRulesFileBytes)
            return makeError(error_kind::body_too_large, "rules file over " + std::to_string(state::maxRulesFileBytes) + " bytes");
        auto document = state::parseRules(request.body, "rules");
        if (!document)
            return document.error();
        return rules_change { std::string(changeId), *expected, operatorName, request.body, std::move(document.value().lines) };
    }

} // namespace

operator_api::operator_api(const control_settings& settings, const operator_tokens& tokens, control_node& node, const rules_publisher& publisher, operator_api_hooks hooks)
    : m_settings(settings)
    , m_tokens(tokens)
    , m_node(node)
    , m_publisher(publisher)
    , m_hooks(std::move(hooks))
{
}

void operator_api::onRequest(const http_request& request, const std::shared_ptr<http_responder>& responder)
{
    if (request.method == http_method::get)
        return onGet(request, *responder);
    if (request.method == http_method::put && request.path == "/v1/rules")
        return onChange(request, responder);
    if (request.method == http_method::post && request.path.starts_with(drainPrefix))
        return onDrain(std::string_view(request.path).substr(drainPrefix.size()), request, *responder);
    replyFailure(makeError(error_kind::unknown_resource, "no such path or method"), *responder);
}

void operator_api::onGet(const http_request& request, http_responder& responder)
{
    if (request.path == "/v1/rules")
        return replyRules(responder);
    if (request.path.starts_with(tracePrefix))
        return replyTrace(std::string_view(request.path).substr(tracePrefix.size()), responder);
    if (request.path == "/v1/status")
        return replyStatus(responder);
    if (request.path == "/v1/members")
        return replyMembers(responder);
    if (request.path == "/healthz")
        return reply(responder, { { "state", "ok" } });
    replyFailure(makeError(error_kind::unknown_resource, "no such path"), responder);
}

void operator_api::onChange(const http_request& request, const std::shared_ptr<http_responder>& responder)
{
    const auto operatorName = m_tokens.operatorFor(request.header("Authorization"));
    if (!operatorName)
        return replyFailure(makeError(error_kind::unauthorized, {}), *responder);
    const auto change = readChange(request, *operatorName);
    if (!change)
        return replyFailure(change.error(), *responder);
    m_node.change(m_hooks.now(), change.value(), [this, responder](const protocol::result<change_answer>& answer) {
        if (answer)
            replyToChange(answer.value(), *responder);
        else
            replyFailure(answer.error(), *responder);
    });
}

void operator_api::onDrain(std::string_view host, const http_request& request, http_responder& responder)
{
    if (!m_tokens.operatorFor(request.header("Authorization")))
        return replyFailure(makeError(error_kind::unauthorized, {}), responder);
    const std::string name(host);
    const bool isKnown = std::any_of(m_settings.entries.begin(), m_settings.entries.end(), [&](const entry_address& entry) { return entry.host == name; });
    if (!isKnown)
        return replyFailure(makeError(error_kind::unknown_resource, "no entry host '" + name + "'"), responder);
    if (!m_hooks.drain(name))
        return replyFailure(makeError(error_kind::timed_out, "the request to '" + name + "' could not be sent"), responder);
    reply(responder, { { "host", name }, { "state", "requested" } });
}

void operator_api::replyTrace(std::string_view name, http_responder& responder) const
{
    if (!m_node.isServingLeader())
        return replyFailure(makeError(error_kind::not_leader, {}), responder);
    const auto trace = m_node.rules().trace(name);
    if (!trace)
        return replyFailure(trace.error(), responder);
    json body = toJson(trace.value().introducedIn);
    const state::rule_line& rule = trace.value().rule;
    body["name"] = rule.name;
    body["value"] = rule.value;
    body["author"] = rule.author;
    body["line"] = rule.line;
    reply(responder, body);
}

void operator_api::replyRules(http_responder& responder) const
{
    if (!m_node.isServingLeader())
        return replyFailure(makeError(error_kind::not_leader, {}), responder);
    json body = toJson(m_node.rules().inForce());
    body["rules"] = m_node.rules().text();
    reply(responder, body);
}

void operator_api::replyStatus(http_responder& responder) const
{
    const control_node_status status = m_node.status();
    const auto leader = m_node.leader();
    json entries = json::array();
    for (const entry_host_version& entry : m_publisher.versions(m_hooks.now()))
        entries.push_back({ { "host", entry.host }, { "version", entry.version }, { "heard", entry.isHeard } });
    reply(responder, {
                         { "host", m_settings.host },
                         { "incarnation", m_node.self().incarnation },
                         { "group", m_settings.group },
                         { "role", toText(status.role) },
                         { "leader", leader ? leader->host : "" },
                         { "term", status.term },
                         { "commit", status.commitIndex },
                         { "version", m_node.rules().inForce().version },
                         { "storage", status.storageFailure.empty() ? "ok" : "failed" },
                         { "storage_detail", status.storageFailure },
                         { "journal_bytes", status.journalBytes },
                         { "stored_entries", status.storedEntries },
                         { "entries", entries },
                     });
}

void operator_api::replyMembers(http_responder& responder) const
{
    const auto list = [&](const std::vector<raft_member_id>& members) {
        json out = json::array();
        for (const raft_member_id& member : members) {
            const control_member* known = m_settings.findMember(member.host);
            out.push_back({ { "host", member.host }, { "incarnation", member.incarnation }, { "address", known ? apps::toText(known->operators) : "" } });
        }
        return out;
    };
    const auto leader = m_node.leader();
    reply(responder, { { "leader", leader ? leader->host : "" }, { "voters", list(m_node.membership().voters) }, { "learners", list(m_node.membership().learners) } });
}

void operator_api::replyFailure(const protocol::error& failure, http_responder& responder) const
{
    json body = apps::failureBody(failure.kind(), failure.detail);
    const auto leader = m_node.leader();
    const control_member* known = leader ? m_settings.findMember(leader->host) : nullptr;
    if (failure.kind() == error_kind::not_leader && known && known->host != m_settings.host)
        body["leader"] = { { "host", known->host }, { "address", apps::toText(known->operators) } };
    reply(responder, body, protocol::errorAnswer(failure.kind()).httpStatus);
}

} // namespace jackdaw::control
