// The folder that holds one process's stored state: whose it is, and a lock against a second process.
#pragma once

#include "protocol/result.h"
#include "state/file_hooks.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jackdaw::state {

struct data_folder_identity {
    std::string host;
    std::string group; // the replicated group the data belongs to
    std::uint64_t incarnation = 0; // below 2^63; made with the folder, so that lost data never passes for old data

    friend bool operator==(const data_folder_identity&, const data_folder_identity&) = default;
};

class data_folder {
public:
    using fill_hook = std::function<protocol::result<void>(const std::string& path)>;

    // Makes the folder where needed, has it filled, and stores the identity last: a folder with an identity is complete. What an
    // earlier creation left that was cut short is removed first. Refused with storage_failed when the folder holds anything else.
    static protocol::result<data_folder> create(const std::string& path, const data_folder_identity& identity, const file_hooks& hooks = {}, const fill_hook& fill = {});

    // Whether there is a complete data folder, of any host and group.
    static bool exists(const std::string& path);

    // storage_failed: no data folder, or in use by another process. corrupt_data: it belongs to another host or group,
    // or its identity can't be read.
    static protocol::result<data_folder> open(const std::string& path, const std::string& host, const std::string& group);

    data_folder(data_folder&&) noexcept;
    data_folder& operator=(data_folder&&) noexcept;
    ~data_folder();

    const data_folder_identity& identity() const;
    std::string pathOf(const std::string& fileName) const;

private:
    class impl;
    explicit data_folder(std::unique_ptr<impl> opened);
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::state
