// jackdawctl: the operators' tool for rules, members and hosts.
#include "apps/ctl/commands.h"
#include "apps/shared/command_line.h"

#include <boost/program_options.hpp>

#include <iostream>

using namespace jackdaw;
namespace po = boost::program_options;

namespace {

constexpr auto usageText = "Usage: jackdawctl [options] COMMAND\n\n"
                           "  rules check FILE             checks a rules file; needs no control host\n"
                           "  rules apply FILE --expect N  replaces version N of the rules, waits until it is in force\n"
                           "  rules show                   prints the rules in force\n"
                           "  rules trace NAME             tells who asked for a rule, and which change brought it in\n"
                           "  status                       a control host's view: leader, version, entry hosts\n"
                           "  members                      the control group\n"
                           "  drain HOST                   asks an entry host to stop gracefully\n\n"
                           "Exit codes: 0 done, 1 failed, 2 wrong usage or settings, 3 version conflict, 4 wrong rules file,\n"
                           "5 accepted but not in force everywhere in time, 6 no answer\n";
constexpr auto defaultSettings = "/etc/jackdaw/ctl.toml";
constexpr unsigned defaultWaitSeconds = 10;

po::options_description visibleOptions()
{
    po::options_description options("Options");
    options.add_options()("settings", po::value<std::string>()->default_value(defaultSettings), "TOML settings file")(
        "expect", po::value<std::uint64_t>(), "apply: the version that is to be replaced; 0 for the first")(
        "change", po::value<std::string>()->default_value(""), "apply: change id, to send an unanswered change again")(
        "wait", po::value<unsigned>()->default_value(defaultWaitSeconds), "apply: seconds to wait until in force everywhere")(
        "json", "print answers as JSON")("help", "print this help")("version", "print the version");
    return options;
}

po::variables_map parse(int argc, char** argv)
{
    po::options_description all = visibleOptions();
    all.add_options()("words", po::value<std::vector<std::string>>()->default_value({}, ""), "command");
    po::positional_options_description positions;
    positions.add("words", -1);
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
    return values;
}

int usageError(const std::string& reason)
{
    std::cerr << "jackdawctl: " << reason << " (try --help)\n";
    return apps::exitBadUsage;
}

int run(const ctl::command_options& options, const std::string& settingsPath)
{
    const std::vector<std::string>& words = options.words;
    if (words.size() == 3 && words[0] == "rules" && words[1] == "check")
        return ctl::checkRules(words[2]);
    auto settings = ctl::readCtlSettings(settingsPath);
    if (!settings)
        return apps::reportBadSettings("jackdawctl", settings.error());
    std::string token;
    if (!settings.value().tokenFile.empty()) {
        auto read = ctl::readToken(settings.value().tokenFile);
        if (!read)
            return apps::reportBadSettings("jackdawctl", read.error());
        token = std::move(read.value());
    }
    ctl::control_connection connection(std::move(settings.value()), std::move(token));
    if (const auto exitCode = ctl::runCommand(options, connection))
        return *exitCode;
    return usageError("unknown command, or a wrong number of arguments");
}

} // namespace

int main(int argc, char** argv)
{
    po::variables_map values;
    try {
        values = parse(argc, argv);
    } catch (const po::error& problem) {
        return usageError(problem.what());
    }
    if (values.contains("help")) {
        std::cout << usageText << '\n'
                  << visibleOptions();
        return apps::exitDone;
    }
    if (values.contains("version")) {
        std::cout << "jackdawctl " << JACKDAW_VERSION << '\n';
        return apps::exitDone;
    }
    ctl::command_options options;
    options.words = values["words"].as<std::vector<std::string>>();
    if (options.words.empty())
        return usageError("no command");
    if (values.contains("expect"))
        options.expectedVersion = values["expect"].as<std::uint64_t>();
    options.changeId = values["change"].as<std::string>();
    options.wait = std::chrono::seconds(values["wait"].as<unsigned>());
    options.isJson = values.contains("json");
    return run(options, values["settings"].as<std::string>());
}
