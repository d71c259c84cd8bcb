// Identity and lock of a data folder. The identity is a small TOML text in a snapshot file.
#include "state/data_folder.h"

#include "state/internal/file.h"
#include "state/settings_reader.h"
#include "state/snapshot_file.h"

#include <filesystem>
#include <limits>

#include <fcntl.h>
#include <sys/file.h>

namespace jackdaw::state {

using protocol::error_kind;
using protocol::makeError;
using protocol::result;

namespace {

    constexpr auto identityFileName = "identity";
    constexpr auto lockFileName = "lock";
    constexpr auto creationFileName = "creation"; // there while the folder is being created

    // Names come from settings and are short; quotes, backslashes and control characters have no place in them.
    bool isPlainName(const std::string& name)
    {
        return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
            return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
        });
    }

    std::string toText(const data_folder_identity& identity)
    {
        return "host = \"" + identity.host + "\"\ngroup = \"" + identity.group
            + "\"\nincarnation = " + std::to_string(identity.incarnation) + '\n';
    }

    result<data_folder_identity> parseIdentity(std::string_view text, const std::string& path)
    {
        auto reader = settings_reader::parse(text, path);
        if (!reader)
            return makeError(error_kind::corrupt_data, reader.error().detail);
        data_folder_identity identity;
        identity.host = reader.value().requiredString("host");
        identity.group = reader.value().requiredString("group");
        identity.incarnation = static_cast<std::uint64_t>(
            reader.value().requiredInteger("incarnation", 0, std::numeric_limits<std::int64_t>::max()));
        if (const auto finished = reader.value().finish(); !finished)
            return makeError(error_kind::corrupt_data, finished.error().detail);
        return identity;
    }

    result<internal::file> lockFolder(const std::string& path)
    {
        auto lock = internal::file::open(path + '/' + lockFileName, O_RDWR | O_CREAT);
        if (lock && ::flock(lock.value().descriptor(), LOCK_EX | LOCK_NB) != 0)
            return makeError(error_kind::storage_failed, path + ": in use by another process");
        return lock;
    }

    result<void> makeFolder(const std::string& path, const file_hooks& hooks)
    {
        std::error_code failure;
        std::filesystem::create_directories(path, failure);
        if (failure)
            return makeError(error_kind::storage_failed, path + ": can't be made: " + failure.message());
        const auto absolute = std::filesystem::absolute(path).lexically_normal();
        const auto parent = absolute.has_filename() ? absolute.parent_path() : absolute.parent_path().parent_path();
        return internal::syncFolder(parent.string(), hooks);
    }

    // Removes what a creation that was cut short has left.
    result<void> clearIncomplete(const std::string& path)
    {
        std::error_code failure;
        const bool isIncomplete = !data_folder::exists(path) && std::filesystem::exists(path + '/' + creationFileName, failure);
        const std::filesystem::directory_iterator entries(path, failure);
        for (const auto& entry : entries) {
            if (!isIncomplete)
                return makeError(error_kind::storage_failed, path + ": not empty: won't be made anew");
            if (entry.path().filename() != creationFileName)
                std::filesystem::remove_all(entry.path(), failure);
        }
        if (failure)
            return makeError(error_kind::storage_failed, path + ": can't be cleared: " + failure.message());
        return boost::outcome_v2::success();
    }

    result<void> storeIdentity(const std::string& path, const data_folder_identity& identity, const file_hooks& hooks, const data_folder::fill_hook& fill)
    {
        const std::string creationPath = path + '/' + creationFileName;
        if (auto creation = internal::file::open(creationPath, O_WRONLY | O_CREAT); !creation)
            return creation.error();
        // No other name may outlive a loss of power without this one.
        if (auto synced = internal::syncFolder(path, hooks); !synced)
            return synced;
        auto lock = lockFolder(path);
        if (!lock)
            return lock.error();
        if (auto filled = fill ? fill(path) : result<void>(boost::outcome_v2::success()); !filled)
            return filled;
        if (auto stored = snapshot_file(path + '/' + identityFileName, hooks).store(toText(identity)); !stored)
            return stored;
        std::error_code ignored; // beside an identity the file has no meaning
        std::filesystem::remove(creationPath, ignored);
        return boost::outcome_v2::success();
    }

} // namespace

class data_folder::impl {
public:
    std::string path;
    data_folder_identity identity;
    internal::file lock;
};

data_folder::data_folder(std::unique_ptr<impl> opened)
    : m_impl(std::move(opened))
{
}
data_folder::data_folder(data_folder&&) noexcept = default;
data_folder& data_folder::operator=(data_folder&&) noexcept = default;
data_folder::~data_folder() = default;

result<data_folder> data_folder::create(const std::string& path, const data_folder_identity& identity, const file_hooks& hooks, const fill_hook& fill)
{
    if (!isPlainName(identity.host) || !isPlainName(identity.group))
        return makeError(error_kind::malformed_request, "host and group names are letters, digits, '-', '_' and '.'");
    if (const auto made = makeFolder(path, hooks); !made)
        return made.error();
    if (const auto cleared = clearIncomplete(path); !cleared)
        return cleared.error();
    if (const auto stored = storeIdentity(path, identity, hooks, fill); !stored)
        return stored.error();
    return open(path, identity.host, identity.group);
}

bool data_folder::exists(const std::string& path)
{
    std::error_code failure;
    return std::filesystem::exists(path + '/' + identityFileName, failure);
}

result<data_folder> data_folder::open(const std::string& path, const std::string& host, const std::string& group)
{
    const std::string identityPath = path + '/' + identityFileName;
    const auto stored = snapshot_file(identityPath).load();
    if (!stored)
        return stored.error();
    if (!stored.value())
        return makeError(error_kind::storage_failed, path + ": no data folder: its identity file is missing");
    auto identity = parseIdentity(*stored.value(), identityPath);
    if (!identity)
        return identity.error();
    if (identity.value().host != host || identity.value().group != group)
        return makeError(error_kind::corrupt_data, path + ": belongs to host '" + identity.value().host + "' of group '" + identity.value().group + "'");
    auto lock = lockFolder(path);
    if (!lock)
        return lock.error();
    auto opened = std::make_unique<impl>();
    opened->path = path;
    opened->identity = std::move(identity.value());
    opened->lock = std::move(lock.value());
    return data_folder(std::move(opened));
}

const data_folder_identity& data_folder::identity() const
{
    return m_impl->identity;
}

std::string data_folder::pathOf(const std::string& fileName) const
{
    return m_impl->path + '/' + fileName;
}

} // namespace jackdaw::state
