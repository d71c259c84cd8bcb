// A folder for one test's files, removed at its end.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace jackdaw::state::testing {

class temporary_folder {
public:
    temporary_folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "jackdaw-test-XXXXXX").string();
        m_path = mkdtemp(pattern.data());
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder() { std::filesystem::remove_all(m_path); }

    std::string path(const std::string& name) const { return m_path + '/' + name; }

private:
    std::string m_path;
};

} // namespace jackdaw::state::testing
