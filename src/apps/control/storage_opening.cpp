// Sets a damaged folder aside, and makes a new one.
#include "apps/control/storage_opening.h"

#include "state/data_folder.h"
#include "state/log.h"

#include <filesystem>
#include <random>

namespace jackdaw::control {
namespace {

    constexpr std::uint64_t incarnationMask = (1ULL << 62) - 1;

    // A member whose acknowledged entries are gone must not vote as the one that acknowledged them: its folder is set aside,
    // and it returns as a new incarnation.
    protocol::result<control_storage> rejoin(const storage_settings& settings)
    {
        const std::string aside = settings.folder + ".set-aside-" + std::to_string(protocol::unixNow().count());
        std::error_code failure;
        std::filesystem::rename(settings.folder, aside, failure);
        if (failure)
            return protocol::makeError(protocol::error_kind::storage_failed, settings.folder + ": can't be set aside: " + failure.message());
        state::logEvent(state::log_level::error, "acknowledged_entries_lost", { { "set_aside", aside } });
        return openOrCreateStorage(settings, false);
    }

} // namespace

std::uint64_t randomIncarnation()
{
    std::random_device device;
    return ((static_cast<std::uint64_t>(device()) << 32) | device()) & incarnationMask;
}

protocol::result<control_storage> openStorage(const storage_settings& settings)
{
    bool isOnlyVoter = false;
    {
        auto opened = control_storage::open(settings);
        if (!opened || !opened.value().hasLostEntries())
            return opened;
        isOnlyVoter = opened.value().membership().voters.size() <= 1;
    }
    if (isOnlyVoter)
        return protocol::makeError(protocol::error_kind::corrupt_data, settings.folder + ": acknowledged entries are missing, and no other voter is known to have them; see 'Lost disk' in the operators' page");
    return rejoin(settings);
}

protocol::result<control_storage> openOrCreateStorage(const storage_settings& settings, bool isFounder)
{
    if (state::data_folder::exists(settings.folder))
        return openStorage(settings);
    if (const auto created = control_storage::create(settings, randomIncarnation(), isFounder); !created)
        return created.error();
    state::logEvent(state::log_level::info, "data_folder_created", { { "folder", settings.folder }, { "founder", isFounder ? "yes" : "no" } });
    return control_storage::open(settings);
}

} // namespace jackdaw::control
