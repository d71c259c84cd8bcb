// jackdaw-control: keeps the rules and the membership on the hosts with a disk, replicated.
#include "apps/control/control_process.h"
#include "apps/control/group_probe.h"
#include "apps/control/storage_opening.h"
#include "apps/shared/command_line.h"
#include "state/log.h"

#include <iostream>
#include <span>

using namespace jackdaw;

namespace {

constexpr std::string_view programName = "jackdaw-control";

int create(const control::control_settings& settings, bool isFounder)
{
    if (isFounder) {
        if (const std::string host = control::findGroupMember(settings); !host.empty())
            return apps::reportFailure(programName, protocol::makeError(protocol::error_kind::version_conflict, "'" + host + "' belongs to the group '" + settings.group + "' already: use --join"));
    }
    if (const auto created = control::control_storage::create({ settings.dataFolder, settings.host, settings.group, {} }, control::randomIncarnation(), isFounder); !created)
        return apps::reportFailure(programName, created.error());
    std::cout << settings.dataFolder << (isFounder ? ": new group '" : ": new member for group '") << settings.group << "'\n";
    return apps::exitDone;
}

int serve(control::control_settings settings, control::operator_tokens tokens)
{
    state::configureLog({ settings.logLevel, std::string(programName), settings.logFile });
    auto storage = control::openStorage({ settings.dataFolder, settings.host, settings.group, {} });
    if (!storage)
        return apps::reportFailure(programName, storage.error());
    control::control_process process(std::move(settings), std::move(tokens), std::move(storage.value()), control::randomIncarnation());
    if (const auto opened = process.open(); !opened)
        return apps::reportFailure(programName, opened.error());
    process.run();
    return apps::exitDone;
}

} // namespace

int main(int argc, char** argv)
{
    constexpr apps::program_info program { programName, "keeps the operators' rules, replicated on the hosts with a disk" };
    boost::program_options::options_description ownOptions("Data folder");
    ownOptions.add_options()("found", "make the data folder of the first member of a new group, then end")(
        "join", "make the data folder of a member that the group is to take in, then end");
    const apps::command_line commandLine = apps::readCommandLine(program, std::span<const char* const>(argv, static_cast<std::size_t>(argc)), ownOptions);
    if (commandLine.exitCode)
        return *commandLine.exitCode;
    auto settings = control::readControlSettings(commandLine.settingsPath);
    if (!settings)
        return apps::reportBadSettings(programName, settings.error());
    auto tokens = control::operator_tokens::open(settings.value().tokensFile);
    if (!tokens)
        return apps::reportBadSettings(programName, tokens.error());
    if (commandLine.isCheckOnly)
        return apps::reportGoodSettings(commandLine.settingsPath);
    const bool isFounder = commandLine.values.contains("found");
    if (isFounder || commandLine.values.contains("join"))
        return create(settings.value(), isFounder);
    return serve(std::move(settings.value()), std::move(tokens.value()));
}
