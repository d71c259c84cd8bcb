// What a member of the control group keeps on its disk: identity, hard state, snapshot and journal in one data folder.
#pragma once

#include "coordination/raft_node.h"
#include "protocol/result.h"
#include "state/data_folder.h"
#include "state/file_hooks.h"

#include <cstdint>
#include <memory>
#include <string>

namespace jackdaw::control {

struct storage_settings {
    std::string folder;
    std::string host;
    std::string group;
    state::file_hooks hooks;
};

class control_storage {
public:
    // Makes a new data folder with this incarnation. The founder begins a group of its own; any other member waits to be
    // taken in. A creation that was cut short can be repeated. storage_failed when the folder is not empty.
    static protocol::result<void> create(const storage_settings& settings, std::uint64_t incarnation, bool isFounder);

    // corrupt_data for a damaged folder or one of another host or group; storage_failed when it is missing or in use.
    static protocol::result<control_storage> open(storage_settings settings);

    control_storage(control_storage&&) noexcept;
    control_storage& operator=(control_storage&&) noexcept;
    ~control_storage();

    // What was on disk at the opening.
    const coordination::raft_initial_state& initial() const;
    coordination::raft_member_id self() const;
    const coordination::raft_membership& membership() const; // the newest one on disk at the opening

    // Acknowledged entries are missing: this incarnation must not vote any more.
    bool hasLostEntries() const;

    // Stores hard state, snapshot and entries of a ready, synced. After storage_failed every later change is refused.
    protocol::result<void> store(const coordination::raft_ready& ready);

    // Stores a snapshot of applied entries and gives the space of those back.
    protocol::result<void> compact(const coordination::raft_snapshot& snapshot);

    // Writes and syncs the hard state as it is on disk; for a storage that was opened again after a failure.
    protocol::result<void> checkWritable();

    std::uint64_t journalBytes() const;

private:
    class impl;
    explicit control_storage(std::unique_ptr<impl> opened);
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::control
