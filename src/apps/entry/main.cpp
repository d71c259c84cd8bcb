// jackdaw-entry: takes callers' jobs and runs their tasks on the upstreams of one availability zone.
#include "apps/entry/entry_process.h"
#include "apps/shared/command_line.h"

#include <string>
#include <utility>

using namespace jackdaw;

namespace {

constexpr apps::program_info program { "jackdaw-entry", "runs callers' jobs on the upstreams of one availability zone" };

int serve(entry::entry_settings settings, const std::string& settingsPath)
{
    state::configureLog({ settings.logLevel, std::string(program.name), settings.logFile });
    entry::entry_process process(std::move(settings), settingsPath);
    if (const auto opened = process.open(); !opened)
        return apps::reportFailure(program.name, opened.error());
    process.run();
    return apps::exitDone;
}

} // namespace

int main(int argc, char** argv)
{
    return apps::runProgram(program, argc, argv, entry::readEntrySettings, serve);
}
