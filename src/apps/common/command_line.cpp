// Reads the daemons' command line by Boost.Program_options.
#include "apps/common/command_line.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace jackdaw::apps {
namespace {

    namespace options = boost::program_options;

    options::options_description describe(const std::string& program)
    {
        options::options_description description("Usage: " + program + " --settings FILE [--check-settings]\n\nOptions");
        description.add_options()("settings", options::value<std::string>(), "TOML settings file");
        description.add_options()("check-settings", "check the settings file and exit");
        description.add_options()("help", "print this text and exit");
        description.add_options()("version", "print the version and exit");
        return description;
    }

    command_line_outcome usageError(const std::string& program, const std::string& reason)
    {
        std::cerr << program << ": " << reason << "\nTry '" << program << " --help'.\n";
        return { std::nullopt, exit_code::usage };
    }

} // namespace

command_line_outcome parseDaemonCommandLine(int argc, const char* const* argv, const std::string& program, const std::string& summary)
{
    const options::options_description description = describe(program);
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error& problem) {
        return usageError(program, problem.what());
    }
    if (values.count("help") > 0) {
        std::cout << summary << "\n\n"
                  << description;
        return {};
    }
    if (values.count("version") > 0) {
        std::cout << program << ' ' << JACKDAW_VERSION << '\n';
        return {};
    }
    if (values.count("settings") == 0)
        return usageError(program, "--settings is missing");
    return { daemon_options { values["settings"].as<std::string>(), values.count("check-settings") > 0 }, exit_code::ok };
}

} // namespace jackdaw::apps
