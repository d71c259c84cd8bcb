// jackdaw-entry: takes callers' jobs and runs their tasks on the upstreams of one availability zone.
#include "apps/entry/entry_process.h"
#include "apps/shared/command_line.h"

#include <iostream>
#include <span>

using namespace jackdaw;

namespace {

int serve(entry::entry_settings settings, const std::string& settingsPath)
{
    state::configureLog({ settings.logLevel, "jackdaw-entry", settings.logFile });
    entry::entry_process process(std::move(settings), settingsPath);
    if (const auto opened = process.open(); !opened) {
        std::cerr << "jackdaw-entry: " << opened.error().detail << '\n';
        return apps::exitFailed;
    }
    process.run();
    return apps::exitDone;
}

} // namespace

int main(int argc, char** argv)
{
    constexpr apps::program_info program { "jackdaw-entry", "runs callers' jobs on the upstreams of one availability zone" };
    const apps::command_line commandLine = apps::readCommandLine(program, std::span<const char* const>(argv, static_cast<std::size_t>(argc)), {});
    if (commandLine.exitCode)
        return *commandLine.exitCode;
    auto settings = entry::readEntrySettings(commandLine.settingsPath);
    if (!settings)
        return apps::reportBadSettings(program.name, settings.error());
    if (commandLine.isCheckOnly) {
        std::cout << commandLine.settingsPath << ": ok\n";
        return apps::exitDone;
    }
    return serve(std::move(settings.value()), commandLine.settingsPath);
}
