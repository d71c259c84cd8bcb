// Maps the replicated log's records onto journal, snapshot file and hard state file.
#include "apps/control/control_storage.h"

#include "protocol/raft_codec.h"
#include "protocol/time.h"
#include "state/journal.h"
#include "state/log.h"
#include "state/snapshot_file.h"

#include <algorithm>
#include <filesystem>
#include <optional>
#include <utility>

namespace jackdaw::control {

using coordination::raft_entry;
using coordination::raft_hard_state;
using coordination::raft_initial_state;
using coordination::raft_ready;
using coordination::raft_snapshot;
using protocol::error_kind;
using protocol::makeError;
using protocol::result;
using state::logEvent;

namespace {

    constexpr auto hardStateFileName = "hard-state";
    constexpr auto snapshotFileName = "snapshot";
    constexpr auto journalFolderName = "journal";
    constexpr std::uint64_t segmentBytes = 256 * 1024;
    constexpr protocol::duration slowChange = std::chrono::milliseconds(100); // a heartbeat of the group is late by then

    // A file that belongs to every data folder: when it is missing, the folder is damaged.
    result<std::string> loadRequired(const state::snapshot_file& file, const std::string& path)
    {
        auto content = file.load();
        if (!content)
            return content.error();
        if (!content.value())
            return makeError(error_kind::corrupt_data, path + ": is missing");
        return std::move(*content.value());
    }

} // namespace

class control_storage::impl {
public:
    impl(storage_settings wanted, state::data_folder openedFolder, state::journal openedLog)
        : settings(std::move(wanted))
        , folder(std::move(openedFolder))
        , hardStateFile(folder.pathOf(hardStateFileName), settings.hooks)
        , snapshotFile(folder.pathOf(snapshotFileName), settings.hooks)
        , log(std::move(openedLog))
    {
    }

    storage_settings settings;
    state::data_folder folder;
    state::snapshot_file hardStateFile;
    state::snapshot_file snapshotFile;
    state::journal log;
    raft_initial_state initial;
    bool hasFailed = false;

    result<void> load();
    result<void> loadEntries();
    result<void> dropOverruledEntries();
    result<void> storeSnapshot(const raft_snapshot& snapshot);
    result<void> storeEntries(const std::vector<raft_entry>& entries);

    template <typename Change>
    result<void> guard(const Change& change)
    {
        if (hasFailed)
            return makeError(error_kind::storage_failed, settings.folder + ": an earlier write failed");
        const protocol::time_point before = protocol::steadyNow();
        result<void> changed = change();
        const protocol::duration took = protocol::steadyNow() - before;
        if (took >= slowChange)
            logEvent(state::log_level::warning, "storage_slow", { { "folder", settings.folder }, { "took_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(took).count()) } });
        hasFailed = changed.has_error();
        return changed;
    }
};

result<void> control_storage::impl::load()
{
    const auto hardState = loadRequired(hardStateFile, folder.pathOf(hardStateFileName));
    if (!hardState)
        return hardState.error();
    auto decodedHardState = protocol::decodeRaftHardState(hardState.value());
    if (!decodedHardState)
        return decodedHardState.error();
    const auto snapshot = loadRequired(snapshotFile, folder.pathOf(snapshotFileName));
    if (!snapshot)
        return snapshot.error();
    auto decodedSnapshot = protocol::decodeRaftSnapshot(snapshot.value());
    if (!decodedSnapshot)
        return decodedSnapshot.error();
    initial.hardState = std::move(decodedHardState.value());
    initial.snapshot = std::move(decodedSnapshot.value());
    return loadEntries();
}

result<void> control_storage::impl::loadEntries()
{
    std::optional<protocol::error> failure;
    std::optional<raft_entry> atSnapshot;
    const auto read = log.read(initial.snapshot.index, [&](const state::journal_record& record) {
        auto entry = protocol::decodeRaftEntry(record.data);
        if (!entry)
            failure = makeError(error_kind::corrupt_data, folder.pathOf(journalFolderName) + ": record " + std::to_string(record.index) + ": " + entry.error().detail);
        else if (record.index == initial.snapshot.index)
            atSnapshot = std::move(entry.value());
        else
            initial.entries.push_back(std::move(entry.value()));
    });
    if (!read)
        return read.error();
    if (failure)
        return *failure;
    // A crash between the storing of a leader's snapshot and the clearing of the journal leaves entries that it overrules.
    const bool isBehind = !log.isEmpty() && log.lastIndex() < initial.snapshot.index;
    const bool isOverruled = atSnapshot && atSnapshot->term != initial.snapshot.term;
    if ((isBehind || isOverruled) && log.lostUpTo() <= initial.snapshot.index)
        return dropOverruledEntries();
    if (log.lostUpTo() <= initial.snapshot.index && !initial.entries.empty() && initial.entries.front().index != initial.snapshot.index + 1)
        return makeError(error_kind::corrupt_data, folder.pathOf(journalFolderName) + ": entries after the snapshot are missing");
    return boost::outcome_v2::success();
}

result<void> control_storage::impl::dropOverruledEntries()
{
    initial.entries.clear();
    return log.clear();
}

result<void> control_storage::impl::storeSnapshot(const raft_snapshot& snapshot)
{
    if (auto stored = snapshotFile.store(protocol::encode(snapshot)); !stored)
        return stored;
    return log.clear();
}

result<void> control_storage::impl::storeEntries(const std::vector<raft_entry>& entries)
{
    if (!log.isEmpty() && entries.front().index <= log.lastIndex()) {
        if (auto truncated = log.truncateFrom(entries.front().index); !truncated)
            return truncated;
    }
    std::vector<std::string> encoded;
    encoded.reserve(entries.size());
    for (const raft_entry& entry : entries)
        encoded.push_back(protocol::encode(entry));
    std::vector<state::journal_record> records;
    records.reserve(entries.size());
    for (std::size_t i = 0; i < entries.size(); ++i)
        records.push_back({ entries[i].index, encoded[i] });
    return log.append(records);
}

control_storage::control_storage(std::unique_ptr<impl> opened)
    : m_impl(std::move(opened))
{
}
control_storage::control_storage(control_storage&&) noexcept = default;
control_storage& control_storage::operator=(control_storage&&) noexcept = default;
control_storage::~control_storage() = default;

result<void> control_storage::create(const storage_settings& settings, std::uint64_t incarnation, bool isFounder)
{
    const auto fill = [&](const std::string& path) -> result<void> {
        state::snapshot_file hardStateFile(path + '/' + hardStateFileName, settings.hooks);
        if (auto stored = hardStateFile.store(protocol::encode(raft_hard_state {})); !stored)
            return stored;
        if (const auto log = state::journal::open({ path + '/' + journalFolderName, segmentBytes, settings.hooks }); !log)
            return log.error();
        raft_snapshot first;
        if (isFounder)
            first.membership.voters.push_back({ settings.host, incarnation });
        return state::snapshot_file(path + '/' + snapshotFileName, settings.hooks).store(protocol::encode(first));
    };
    if (const auto folder = state::data_folder::create(settings.folder, { settings.host, settings.group, incarnation }, settings.hooks, fill); !folder)
        return folder.error();
    return boost::outcome_v2::success();
}

result<control_storage> control_storage::open(storage_settings settings)
{
    auto folder = state::data_folder::open(settings.folder, settings.host, settings.group);
    if (!folder)
        return folder.error();
    const std::string journalFolder = folder.value().pathOf(journalFolderName);
    if (!std::filesystem::is_directory(journalFolder))
        return makeError(error_kind::corrupt_data, journalFolder + ": is missing");
    auto log = state::journal::open({ journalFolder, segmentBytes, settings.hooks });
    if (!log)
        return log.error();
    auto opened = std::make_unique<impl>(std::move(settings), std::move(folder.value()), std::move(log.value()));
    if (const auto loaded = opened->load(); !loaded)
        return loaded.error();
    return control_storage(std::move(opened));
}

const raft_initial_state& control_storage::initial() const
{
    return m_impl->initial;
}

coordination::raft_member_id control_storage::self() const
{
    const state::data_folder_identity& identity = m_impl->folder.identity();
    return { identity.host, identity.incarnation };
}

const coordination::raft_membership& control_storage::membership() const
{
    const std::vector<raft_entry>& entries = m_impl->initial.entries;
    const auto newest = std::find_if(entries.rbegin(), entries.rend(), [](const raft_entry& entry) { return entry.kind == coordination::raft_entry_kind::membership; });
    return newest == entries.rend() ? m_impl->initial.snapshot.membership : newest->membership;
}

bool control_storage::hasLostEntries() const
{
    return m_impl->log.lostUpTo() > m_impl->initial.snapshot.index;
}

result<void> control_storage::store(const raft_ready& ready)
{
    return m_impl->guard([&]() -> result<void> {
        if (ready.hardState) {
            if (auto stored = m_impl->hardStateFile.store(protocol::encode(*ready.hardState)); !stored)
                return stored;
        }
        if (ready.snapshot) {
            if (auto stored = m_impl->storeSnapshot(*ready.snapshot); !stored)
                return stored;
        }
        if (ready.entries.empty())
            return boost::outcome_v2::success();
        return m_impl->storeEntries(ready.entries);
    });
}

result<void> control_storage::compact(const raft_snapshot& snapshot)
{
    return m_impl->guard([&]() -> result<void> {
        if (auto stored = m_impl->snapshotFile.store(protocol::encode(snapshot)); !stored)
            return stored;
        return m_impl->log.compactUpTo(snapshot.index);
    });
}

result<void> control_storage::checkWritable()
{
    return m_impl->guard([&] { return m_impl->hardStateFile.store(protocol::encode(m_impl->initial.hardState)); });
}

std::uint64_t control_storage::journalBytes() const
{
    return m_impl->log.storedBytes();
}

} // namespace jackdaw::control
