// jackdaw-entry: takes callers' jobs and runs their tasks on the upstreams of one availability zone.
#include "apps/common/command_line.h"
#include "apps/entry/entry_process.h"

#include <iostream>

using namespace jackdaw;

int main(int argc, char** argv)
{
    const auto commandLine = apps::parseDaemonCommandLine(argc, argv, "jackdaw-entry", "Runs callers' jobs on the upstreams of one availability zone.");
    if (!commandLine.options)
        return apps::toStatus(commandLine.exit);
    const std::string& file = commandLine.options->settingsFile;
    auto settings = entry::readEntrySettings(file);
    if (!settings) {
        std::cerr << "jackdaw-entry: " << settings.error().detail << '\n';
        return apps::toStatus(apps::exit_code::settings);
    }
    if (commandLine.options->checkOnly) {
        std::cout << file << ": ok\n";
        return apps::toStatus(apps::exit_code::ok);
    }
    state::configureLog({ settings.value().logLevel, "jackdaw-entry", settings.value().logFile });
    entry::entry_process process(std::move(settings.value()), file);
    if (auto opened = process.open(); !opened) {
        std::cerr << "jackdaw-entry: " << opened.error().detail << '\n';
        return apps::toStatus(apps::exit_code::failed);
    }
    process.run();
    return apps::toStatus(apps::exit_code::ok);
}
