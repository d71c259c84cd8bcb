// jackdaw-burn: the service-level burn report, from the entry hosts' metrics over time.
#include "apps/burn/burn_settings.h"
#include "apps/burn/html_report.h"
#include "apps/shared/blocking_client.h"
#include "apps/shared/command_line.h"
#include "state/rules_file.h"

#include <boost/program_options/value_semantic.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

namespace {

using namespace jackdaw;
using namespace jackdaw::burn;

constexpr std::string_view program = "jackdaw-burn";
constexpr int exitBurning = 3; // an objective burns by the fast or the slow pair
constexpr int exitNoData = 4; // no host answered, or no objective had an answer
constexpr protocol::duration readingTimeout = std::chrono::seconds(2);
constexpr unix_milliseconds coarseStep = std::chrono::minutes(15);

// Tells readings of one set of objectives from those of another.
std::string keyOf(const std::vector<service_objective>& objectives)
{
    std::string key;
    for (const service_objective& each : objectives)
        key += each.client + '/' + each.team + '/' + std::to_string(each.within.count()) + ' ';
    return key;
}

class reporter {
public:
    reporter(burn_settings settings, std::vector<service_objective> objectives)
        : m_settings(std::move(settings))
        , m_objectives(std::move(objectives))
        , m_key(keyOf(m_objectives))
        , m_history(budgetPeriod, windowPairs().back().longWindow, coarseStep)
        , m_client(m_loop)
    {
    }

    // Reads the history of earlier runs, and writes what is still of use anew.
    bool openHistory()
    {
        if (m_settings.historyFile.empty())
            return true;
        std::ifstream old(m_settings.historyFile);
        for (std::string line; std::getline(old, line);) {
            auto reading = parseLine(line, m_key);
            if (reading && reading.value().counts.size() == m_objectives.size())
                m_history.add(std::move(reading.value()));
        }
        const std::string fresh = m_settings.historyFile + ".new";
        m_historyFile.open(fresh, std::ios::trunc);
        for (const host_reading& reading : m_history.readings())
            m_historyFile << toLine(reading, m_key) << '\n';
        m_historyFile.flush();
        std::error_code failure;
        std::filesystem::rename(fresh, m_settings.historyFile, failure);
        return m_historyFile.good() && !failure;
    }

    void readAll()
    {
        m_hosts.clear();
        for (const transport::endpoint& target : m_settings.operators)
            m_hosts.push_back(read(target));
    }

    // Prints the table, writes the page, and returns the exit code.
    int report()
    {
        const auto now = protocol::unixNow();
        const auto burns = computeBurns(m_history, m_objectives, now, m_settings.windowDivisor);
        std::cout << toTable(burns, m_hosts, now) << std::flush;
        if (!m_settings.htmlFile.empty() && !writePage(toHtml(m_history, burns, m_hosts, now)))
            return apps::exitFailed;
        const burn_verdict worst = worstVerdict(burns);
        if (worst == burn_verdict::no_data)
            return exitNoData;
        return worst == burn_verdict::met ? apps::exitDone : exitBurning;
    }

    protocol::duration interval() const { return m_settings.interval; }

private:
    host_state read(const transport::endpoint& target)
    {
        host_state state;
        state.host = target.host + ':' + std::to_string(target.port);
        transport::http_call call;
        call.path = "/metrics";
        call.timeout = readingTimeout;
        const auto answer = m_client.await(target, std::move(call));
        constexpr int statusOk = 200;
        state.isAnswering = answer.outcome == transport::request_outcome::answered && answer.response.status == statusOk;
        if (state.isAnswering)
            keep({ protocol::unixNow(), state.host, readAnswerCounts(answer.response.body, m_objectives) });
        const auto last = m_history.lastReadings();
        if (const auto found = last.find(state.host); found != last.end())
            state.lastReading = found->second;
        return state;
    }

    void keep(host_reading reading)
    {
        if (m_historyFile.is_open())
            m_historyFile << toLine(reading, m_key) << std::endl;
        m_history.add(std::move(reading));
    }

    // Replaces the page at once, so that a browser never sees half of it.
    bool writePage(const std::string& page) const
    {
        const std::string fresh = m_settings.htmlFile + ".new";
        std::ofstream file(fresh, std::ios::trunc);
        file << page;
        file.close();
        std::error_code failure;
        std::filesystem::rename(fresh, m_settings.htmlFile, failure);
        if (file && !failure)
            return true;
        std::cerr << program << ": " << m_settings.htmlFile << " can't be written\n";
        return false;
    }

    burn_settings m_settings;
    std::vector<service_objective> m_objectives;
    std::string m_key;
    burn_history m_history;
    std::ofstream m_historyFile;
    transport::event_loop m_loop;
    apps::blocking_client m_client;
    std::vector<host_state> m_hosts; // by the last reading
};

int run(reporter& report, std::uint32_t readings)
{
    if (!report.openHistory()) {
        std::cerr << program << ": the history file can't be written\n";
        return apps::exitFailed;
    }
    int code = exitNoData;
    for (std::uint32_t i = 0; i < readings; ++i) {
        if (i > 0)
            std::this_thread::sleep_for(report.interval());
        report.readAll();
        code = report.report();
    }
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    po::options_description options("Report");
    options.add_options()("rules", po::value<std::string>(), "rules file with the objectives");
    options.add_options()("readings", po::value<std::uint32_t>()->default_value(1), "how often to read and report");
    const auto line = apps::readCommandLine({ program, "service-level burn report" }, { argv, static_cast<std::size_t>(argc) }, options);
    if (line.exitCode)
        return *line.exitCode;
    auto reader = state::settings_reader::open(line.settingsPath);
    if (!reader)
        return apps::reportBadSettings(program, reader.error());
    auto settings = readBurnSettings(reader.value());
    if (!settings)
        return apps::reportBadSettings(program, settings.error());
    if (line.isCheckOnly)
        return apps::exitDone;
    if (!line.values.contains("rules"))
        return apps::reportBadSettings(program, protocol::makeError(protocol::error_kind::malformed_request, "--rules is missing"));
    auto rules = state::openRules(line.values["rules"].as<std::string>());
    if (!rules)
        return apps::reportBadSettings(program, rules.error());
    reporter report(std::move(settings.value()), std::move(rules.value().objectives));
    return run(report, line.values["readings"].as<std::uint32_t>());
}
