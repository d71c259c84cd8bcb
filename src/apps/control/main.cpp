// jackdaw-control: keeps the rules and the membership on the hosts with a disk, replicated.
#include "apps/control/control_process.h"
#include "apps/control/group_probe.h"
#include "apps/shared/command_line.h"
#include "state/log.h"

#include <filesystem>
#include <iostream>
#include <random>
#include <span>

using namespace jackdaw;

namespace {

constexpr std::string_view programName = "jackdaw-control";
constexpr std::uint64_t incarnationMask = (1ULL << 62) - 1;

int fail(const protocol::error& failure)
{
    std::cerr << programName << ": " << failure.detail << '\n';
    return apps::exitFailed;
}

std::uint64_t randomNumber()
{
    std::random_device device;
    return ((static_cast<std::uint64_t>(device()) << 32) | device()) & incarnationMask;
}

// A member whose acknowledged entries are gone must not vote as the one that acknowledged them: its folder is set aside,
// and it returns as a new incarnation.
protocol::result<control::control_storage> rejoin(const control::storage_settings& settings)
{
    const std::string aside = settings.folder + ".set-aside-" + std::to_string(protocol::unixNow().count());
    std::error_code failure;
    std::filesystem::rename(settings.folder, aside, failure);
    if (failure)
        return protocol::makeError(protocol::error_kind::storage_failed, settings.folder + ": can't be set aside: " + failure.message());
    state::logEvent(state::log_level::error, "acknowledged_entries_lost", { { "set_aside", aside } });
    if (const auto created = control::control_storage::create(settings, randomNumber(), false); !created)
        return created.error();
    return control::control_storage::open(settings);
}

protocol::result<control::control_storage> openStorage(const control::storage_settings& settings)
{
    bool isOnlyVoter = false;
    {
        auto opened = control::control_storage::open(settings);
        if (!opened || !opened.value().hasLostEntries())
            return opened;
        isOnlyVoter = opened.value().membership().voters.size() <= 1;
    }
    if (isOnlyVoter)
        return protocol::makeError(protocol::error_kind::corrupt_data, settings.folder + ": acknowledged entries are missing, and no other voter is known to have them; see 'Lost disk' in the operators' page");
    return rejoin(settings);
}

int create(const control::control_settings& settings, bool isFounder)
{
    if (isFounder) {
        if (const std::string host = control::findGroupMember(settings); !host.empty())
            return fail(protocol::makeError(protocol::error_kind::version_conflict, "'" + host + "' belongs to the group '" + settings.group + "' already: use --join"));
    }
    if (const auto created = control::control_storage::create({ settings.dataFolder, settings.host, settings.group, {} }, randomNumber(), isFounder); !created)
        return fail(created.error());
    std::cout << settings.dataFolder << (isFounder ? ": new group '" : ": new member for group '") << settings.group << "'\n";
    return apps::exitDone;
}

int serve(control::control_settings settings, control::operator_tokens tokens)
{
    state::configureLog({ settings.logLevel, std::string(programName), settings.logFile });
    auto storage = openStorage({ settings.dataFolder, settings.host, settings.group, {} });
    if (!storage)
        return fail(storage.error());
    control::control_process process(std::move(settings), std::move(tokens), std::move(storage.value()), randomNumber());
    if (const auto opened = process.open(); !opened)
        return fail(opened.error());
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
    if (commandLine.isCheckOnly) {
        std::cout << commandLine.settingsPath << ": ok\n";
        return apps::exitDone;
    }
    const bool isFounder = commandLine.values.contains("found");
    if (isFounder || commandLine.values.contains("join"))
        return create(settings.value(), isFounder);
    return serve(std::move(settings.value()), std::move(tokens.value()));
}
