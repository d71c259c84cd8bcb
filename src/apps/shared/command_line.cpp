// Command line by Boost.Program_options.
#include "apps/shared/command_line.h"

#include <boost/program_options/parsers.hpp>

#include <iostream>

namespace jackdaw::apps {
namespace {

    namespace po = boost::program_options;

    po::options_description commonOptions()
    {
        po::options_description options("Options");
        options.add_options()("settings", po::value<std::string>(), "TOML settings file")("check-settings",
            "check the settings file, then end")("help", "print this help")("version", "print the version");
        return options;
    }

    int usageError(const program_info& program, std::string_view reason)
    {
        std::cerr << program.name << ": " << reason << " (try --help)\n";
        return exitBadUsage;
    }

} // namespace

command_line readCommandLine(
    const program_info& program, std::span<const char* const> arguments, const po::options_description& ownOptions)
{
    po::options_description options = commonOptions();
    options.add(ownOptions);
    command_line out;
    try {
        po::store(po::parse_command_line(static_cast<int>(arguments.size()), arguments.data(), options), out.values);
    } catch (const po::error& problem) {
        out.exitCode = usageError(program, problem.what());
        return out;
    }
    if (out.values.contains("help")) {
        std::cout << program.name << ": " << program.purpose << '\n'
                  << options;
        out.exitCode = exitDone;
        return out;
    }
    if (out.values.contains("version")) {
        std::cout << program.name << ' ' << JACKDAW_VERSION << '\n';
        out.exitCode = exitDone;
        return out;
    }
    out.isCheckOnly = out.values.contains("check-settings");
    if (out.values.contains("settings"))
        out.settingsPath = out.values["settings"].as<std::string>();
    else if (program.needsSettings || out.isCheckOnly)
        out.exitCode = usageError(program, "--settings is missing");
    return out;
}

int reportBadSettings(std::string_view program, const protocol::error& failure)
{
    std::cerr << program << ": " << failure.detail << '\n';
    return exitBadUsage;
}

int reportFailure(std::string_view program, const protocol::error& failure)
{
    std::cerr << program << ": " << failure.detail << '\n';
    return exitFailed;
}

int reportGoodSettings(std::string_view settingsPath)
{
    std::cout << settingsPath << ": ok\n";
    return exitDone;
}

} // namespace jackdaw::apps
