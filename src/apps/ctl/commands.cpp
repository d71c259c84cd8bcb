// Commands of jackdawctl on the control hosts' HTTP interface.
#include "apps/ctl/commands.h"

#include "apps/shared/command_line.h"
#include "protocol/json_document.h"
#include "state/rules_file.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <random>
#include <sstream>

namespace jackdaw::ctl {

using nlohmann::json;
using protocol::error_kind;
using protocol::steadyNow;
using transport::http_method;
using transport::http_response;

namespace {

    constexpr int statusOk = 200;
    constexpr protocol::duration pollInterval = std::chrono::milliseconds(200);

    std::string makeChangeId()
    {
        std::random_device device;
        std::ostringstream id;
        for (int i = 0; i < 4; ++i)
            id << std::hex << device();
        return id.str();
    }

    json parsed(const http_response& response)
    {
        json body = protocol::parseJsonOrDiscard(response.body);
        return body.is_object() ? body : json::object();
    }

    int reportUnreachable(const protocol::error& failure)
    {
        std::cerr << "jackdawctl: " << failure.detail << '\n';
        return exitUnreachable;
    }

    int exitCodeOf(std::string_view errorName)
    {
        if (errorName == protocol::errorAnswer(error_kind::version_conflict).name)
            return exitConflict;
        if (errorName == protocol::errorAnswer(error_kind::timed_out).name)
            return exitUnreachable;
        return apps::exitFailed;
    }

    int reportRefusal(const http_response& response)
    {
        const json body = parsed(response);
        std::cerr << "jackdawctl: " << body.value("error", "status " + std::to_string(response.status)) << ": " << body.value("text", "");
        if (const std::string detail = body.value("detail", ""); !detail.empty())
            std::cerr << ": " << detail;
        std::cerr << '\n';
        if (body.contains("winner"))
            std::cerr << "in force: version " << body["winner"].value("version", std::uint64_t {}) << ", change " << body["winner"].value("change", "")
                      << ", operator " << body["winner"].value("operator", "") << '\n';
        return exitCodeOf(body.value("error", ""));
    }

    // Calls, and hands a good answer to the printer.
    template <typename Printer>
    int show(control_connection& connection, const std::string& path, bool isJson, const Printer& print)
    {
        const auto answer = connection.call(http_method::get, path);
        if (!answer)
            return reportUnreachable(answer.error());
        if (answer.value().status != statusOk)
            return reportRefusal(answer.value());
        if (isJson)
            std::cout << answer.value().body << '\n';
        else
            print(parsed(answer.value()));
        return apps::exitDone;
    }

    void printOrigin(std::ostream& out, const json& body)
    {
        out << "version " << body.value("version", std::uint64_t {}) << ", change " << body.value("change", "") << ", operator "
            << body.value("operator", "") << '\n';
    }

    void printStatus(const json& body)
    {
        for (const char* key : { "host", "group", "role", "leader", "storage", "storage_detail" })
            std::cout << key << ": " << body.value(key, "") << '\n';
        for (const char* key : { "incarnation", "term", "commit", "version", "journal_bytes", "stored_entries" })
            std::cout << key << ": " << body.value(key, std::uint64_t {}) << '\n';
        for (const json& entry : body.value("entries", json::array()))
            std::cout << "entry " << entry.value("host", "") << ": version " << entry.value("version", std::uint64_t {})
                      << (entry.value("heard", false) ? "" : ", not heard") << '\n';
    }

    void printMembers(const json& body)
    {
        const std::string leader = body.value("leader", "");
        for (const char* list : { "voters", "learners" }) {
            for (const json& member : body.value(list, json::array())) {
                const std::string host = member.value("host", "");
                std::cout << host << ' ' << member.value("address", "") << ' ' << member.value("incarnation", std::uint64_t {}) << ' ' << (list == std::string_view("voters") ? "voter" : "learner")
                          << (host == leader ? " leader" : "") << '\n';
            }
        }
    }

    struct entry_count {
        std::size_t inForce = 0;
        std::size_t all = 0;
        std::string missing; // names of the others
    };

    entry_count countEntries(const json& status, std::uint64_t version)
    {
        entry_count count;
        for (const json& entry : status.value("entries", json::array())) {
            ++count.all;
            if (entry.value("version", std::uint64_t {}) >= version)
                ++count.inForce;
            else
                count.missing += ' ' + entry.value("host", "");
        }
        return count;
    }

    int waitUntilInForce(control_connection& connection, std::uint64_t version, protocol::duration wait)
    {
        const auto deadline = steadyNow() + wait;
        entry_count count;
        while (true) {
            const auto status = connection.call(http_method::get, "/v1/status");
            if (!status)
                return reportUnreachable(status.error());
            count = countEntries(parsed(status.value()), version);
            if (count.inForce == count.all || steadyNow() >= deadline)
                break;
            connection.pause(pollInterval);
        }
        std::cout << "in force on " << count.inForce << " of " << count.all << " entry hosts\n";
        if (count.inForce == count.all)
            return apps::exitDone;
        std::cerr << "jackdawctl: not yet in force on:" << count.missing << '\n';
        return exitNotEverywhere;
    }

    int applyRules(const command_options& options, control_connection& connection)
    {
        const auto text = state::readRulesText(options.words[2]);
        const int checked = checkRules(options.words[2]);
        if (!text || checked != apps::exitDone)
            return checked;
        if (!options.expectedVersion) {
            std::cerr << "jackdawctl: --expect VERSION is missing\n";
            return apps::exitBadUsage;
        }
        const std::string changeId = options.changeId.empty() ? makeChangeId() : options.changeId;
        const auto answer = connection.call(http_method::put, "/v1/rules?expect=" + std::to_string(*options.expectedVersion) + "&change=" + changeId, text.value());
        if (!answer || answer.value().status != statusOk) {
            const int exitCode = answer ? reportRefusal(answer.value()) : reportUnreachable(answer.error());
            if (exitCode == exitUnreachable)
                std::cerr << "jackdawctl: not known whether the change was accepted; send it again with --change " << changeId << '\n';
            return exitCode;
        }
        const json accepted = parsed(answer.value());
        std::cout << "accepted: ";
        printOrigin(std::cout, accepted);
        return waitUntilInForce(connection, accepted.value("version", std::uint64_t {}), options.wait);
    }

    int traceRule(const std::string& name, bool isJson, control_connection& connection)
    {
        const bool isPlain = !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
            return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
        });
        if (!isPlain) {
            std::cerr << "jackdawctl: '" << name << "' can't be the name of a rule\n";
            return apps::exitBadUsage;
        }
        return show(connection, "/v1/rules/trace/" + name, isJson, [](const json& body) {
            std::cout << body.value("name", "") << " = " << body.value("value", "") << "\nasked for by " << body.value("author", "") << "\nline "
                      << body.value("line", std::uint64_t {}) << "\nbrought in by ";
            printOrigin(std::cout, body);
        });
    }

    int drainHost(const std::string& host, control_connection& connection)
    {
        const auto answer = connection.call(http_method::post, "/v1/drain/" + host);
        if (!answer)
            return reportUnreachable(answer.error());
        if (answer.value().status != statusOk)
            return reportRefusal(answer.value());
        std::cout << host << ": drain requested\n";
        return apps::exitDone;
    }

} // namespace

int checkRules(const std::string& file)
{
    const auto document = state::openRules(file);
    if (!document) {
        std::cerr << document.error().detail << '\n';
        return exitBadRules;
    }
    std::cout << file << ": " << document.value().lines.size() << " rules, ok\n";
    return apps::exitDone;
}

std::optional<int> runCommand(const command_options& options, control_connection& connection)
{
    const std::vector<std::string>& words = options.words;
    const std::string command = words[0] == "rules" && words.size() > 1 ? "rules " + words[1] : words[0];
    if (command == "rules apply" && words.size() == 3)
        return applyRules(options, connection);
    if (command == "rules show" && words.size() == 2)
        return show(connection, "/v1/rules", options.isJson, [](const json& body) {
            printOrigin(std::cerr, body);
            std::cout << body.value("rules", "");
        });
    if (command == "rules trace" && words.size() == 3)
        return traceRule(words[2], options.isJson, connection);
    if (command == "status" && words.size() == 1)
        return show(connection, "/v1/status", options.isJson, printStatus);
    if (command == "members" && words.size() == 1)
        return show(connection, "/v1/members", options.isJson, printMembers);
    if (command == "drain" && words.size() == 2)
        return drainHost(words[1], connection);
    return std::nullopt;
}

} // namespace jackdaw::ctl
