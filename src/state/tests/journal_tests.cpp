// Tests of the journal, the snapshot file and the data folder: crashes, damage and full disks.
#include "state/data_folder.h"
#include "state/journal.h"
#include "state/snapshot_file.h"
#include "state/tests/temporary_folder.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

#include <unistd.h>

using namespace jackdaw::state;
using jackdaw::protocol::error_kind;
using jackdaw::state::testing::temporary_folder;

namespace {

namespace fs = std::filesystem;

constexpr std::size_t recordCount = 5;
constexpr std::uint64_t smallSegment = 100;

std::string dataOf(std::uint64_t index)
{
    return "record " + std::to_string(index) + std::string(index * 3, static_cast<char>('a' + index));
}

jackdaw::protocol::result<void> appendRange(journal& target, std::uint64_t first, std::uint64_t last)
{
    for (std::uint64_t index = first; index <= last; ++index) {
        const std::string data = dataOf(index);
        const std::array records { journal_record { index, data } };
        if (auto appended = target.append(records); !appended)
            return appended;
    }
    return boost::outcome_v2::success();
}

// Reads everything; each record must be the one that was written. Returns the number of records.
std::size_t checkedCount(const journal& source)
{
    std::size_t count = 0;
    const auto read = source.read(0, [&](const journal_record& record) {
        CHECK(record.data == dataOf(record.index));
        ++count;
    });
    CHECK(read);
    return count;
}

std::string bytesOf(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void setBytes(const std::string& path, const std::string& bytes)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

std::vector<std::string> segmentsIn(const std::string& folder)
{
    std::vector<std::string> paths;
    for (const auto& entry : fs::directory_iterator(folder)) {
        if (entry.path().extension() == ".log")
            paths.push_back(entry.path().string());
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

std::string makeJournal(const std::string& folder, std::uint64_t segmentBytes = 4096)
{
    auto opened = journal::open({ folder, segmentBytes, {} });
    REQUIRE(opened);
    REQUIRE(appendRange(opened.value(), 1, recordCount));
    return segmentsIn(folder).back();
}

} // namespace

TEST_CASE("a journal cut at any byte of its last record comes back without that record")
{
    const temporary_folder folder;
    const std::string path = makeJournal(folder.path("journal"));
    const std::string whole = bytesOf(path);
    std::size_t lastRecord = whole.size();
    {
        auto opened = journal::open({ folder.path("journal"), 4096, {} });
        REQUIRE(opened.value().truncateFrom(recordCount));
        lastRecord = bytesOf(path).size();
    }
    for (std::size_t size = lastRecord; size < whole.size(); ++size) {
        setBytes(path, whole.substr(0, size));
        auto opened = journal::open({ folder.path("journal"), 4096, {} });
        REQUIRE(opened);
        CHECK(checkedCount(opened.value()) == recordCount - 1);
        REQUIRE(appendRange(opened.value(), recordCount, recordCount));
        CHECK(bytesOf(path) == whole);
    }
    setBytes(path, whole.substr(0, lastRecord) + std::string(512, '\0'));
    auto opened = journal::open({ folder.path("journal"), 4096, {} });
    REQUIRE(opened);
    CHECK(opened.value().lastIndex() == recordCount - 1);
}

TEST_CASE("a journal opens without its last record if a power loss left out a sector in the middle of it")
{
    const temporary_folder folder;
    const std::string path = makeJournal(folder.path("journal"), 1 << 16);
    const std::size_t start = bytesOf(path).size();
    {
        auto opened = journal::open({ folder.path("journal"), 1 << 16, {} });
        const std::string data(3000, 'x');
        const std::array records { journal_record { recordCount + 1, data } };
        REQUIRE(opened.value().append(records));
    }
    const std::string whole = bytesOf(path);
    constexpr std::size_t sector = 512;
    for (std::size_t hole = sector; hole < whole.size(); hole += sector) {
        CAPTURE(hole);
        std::string torn = whole;
        const std::size_t length = std::min(sector, whole.size() - hole);
        torn.replace(hole, length, length, '\0');
        setBytes(path, torn);
        auto opened = journal::open({ folder.path("journal"), 1 << 16, {} });
        REQUIRE(opened);
        CHECK(opened.value().lastIndex() == recordCount);
        CHECK(bytesOf(path).size() == start);
    }
    std::string damaged = whole;
    damaged[start + 100] = 'y';
    setBytes(path, damaged);
    CHECK_FALSE(journal::open({ folder.path("journal"), 1 << 16, {} }));
}

TEST_CASE("a record with an unwritten sector is damage if another one follows it")
{
    const temporary_folder folder;
    const std::string path = makeJournal(folder.path("journal"), 1 << 16);
    auto opened = journal::open({ folder.path("journal"), 1 << 16, {} });
    for (std::uint64_t index = recordCount + 1; index <= recordCount + 2; ++index) {
        const std::string data(1500, 'x');
        const std::array records { journal_record { index, data } };
        REQUIRE(opened.value().append(records));
    }
    std::string damaged = bytesOf(path);
    damaged.replace(512, 512, 512, '\0');
    setBytes(path, damaged);
    CHECK_FALSE(journal::open({ folder.path("journal"), 1 << 16, {} }));
}

TEST_CASE("a journal with any byte changed does not open and names the place")
{
    const temporary_folder folder;
    makeJournal(folder.path("journal"), smallSegment);
    REQUIRE(segmentsIn(folder.path("journal")).size() > 1);
    for (const std::string& path : segmentsIn(folder.path("journal"))) {
        const std::string whole = bytesOf(path);
        for (std::size_t offset = 0; offset < whole.size(); ++offset) {
            for (const int mask : { 0x01, 0x80, 0xff }) {
                std::string damaged = whole;
                damaged[offset] = static_cast<char>(damaged[offset] ^ mask);
                setBytes(path, damaged);
                const auto opened = journal::open({ folder.path("journal"), smallSegment, {} });
                REQUIRE_FALSE(opened);
                CHECK(opened.error().kind() == error_kind::corrupt_data);
                CHECK(opened.error().detail.find(path + ": offset ") != std::string::npos);
            }
        }
        setBytes(path, whole);
    }
}

TEST_CASE("a journal that lost records it had reported as stored says so, and a torn append does not")
{
    const temporary_folder folder;
    const std::string path = makeJournal(folder.path("journal"));
    const std::string whole = bytesOf(path);
    setBytes(path, whole + whole.substr(24, 15)); // the beginning of one more record
    {
        auto opened = journal::open({ folder.path("journal"), 4096, {} });
        REQUIRE(opened);
        CHECK(opened.value().lostUpTo() == 0);
        REQUIRE(opened.value().truncateFrom(recordCount));
    }
    CHECK(journal::open({ folder.path("journal"), 4096, {} }).value().lostUpTo() == 0);
    setBytes(path, whole.substr(0, 60));
    CHECK(journal::open({ folder.path("journal"), 4096, {} }).value().lostUpTo() == recordCount - 1);
    fs::remove(path);
    CHECK(journal::open({ folder.path("journal"), 4096, {} }).value().lostUpTo() == recordCount - 1);
    auto emptied = journal::open({ folder.path("journal"), 4096, {} });
    REQUIRE(emptied.value().clear());
    CHECK(journal::open({ folder.path("journal"), 4096, {} }).value().lostUpTo() == 0);
}

TEST_CASE("a segment that is missing or cut before another one is corrupt")
{
    const temporary_folder folder;
    makeJournal(folder.path("journal"), smallSegment);
    const auto paths = segmentsIn(folder.path("journal"));
    const std::string whole = bytesOf(paths.front());
    for (std::size_t size = 0; size < whole.size(); ++size) {
        setBytes(paths.front(), whole.substr(0, size));
        const auto opened = journal::open({ folder.path("journal"), smallSegment, {} });
        REQUIRE_FALSE(opened);
        CHECK(opened.error().kind() == error_kind::corrupt_data);
    }
}

TEST_CASE("truncation and compaction keep exactly the records between them, also after reopening")
{
    const temporary_folder folder;
    const std::string path = folder.path("journal");
    for (std::uint64_t cut = 1; cut <= 20; ++cut) {
        fs::remove_all(path);
        auto opened = journal::open({ path, smallSegment, {} });
        REQUIRE(appendRange(opened.value(), 1, 20));
        REQUIRE(opened.value().truncateFrom(cut));
        CHECK(opened.value().lastIndex() == cut - 1);
        REQUIRE(appendRange(opened.value(), cut, 25));
        REQUIRE(opened.value().compactUpTo(cut));
        opened = journal::open({ path, smallSegment, {} });
        REQUIRE(opened);
        CHECK(opened.value().lastIndex() == 25);
        CHECK(opened.value().firstIndex() <= cut + 1);
        CHECK(checkedCount(opened.value()) == 26 - opened.value().firstIndex());
    }
    auto opened = journal::open({ path, smallSegment, {} });
    const auto before = opened.value().storedBytes();
    REQUIRE(opened.value().compactUpTo(25));
    CHECK(opened.value().storedBytes() < before);
    REQUIRE(opened.value().clear());
    CHECK(opened.value().isEmpty());
    REQUIRE(appendRange(opened.value(), 40, 41));
    CHECK(opened.value().firstIndex() == 40);
}

TEST_CASE("a full or failing disk refuses changes until the journal is reopened, and reads go on")
{
    for (const int failure : { ENOSPC, EIO }) {
        for (const bool failsOnSync : { false, true }) {
            const temporary_folder folder;
            makeJournal(folder.path("journal"));
            bool isBroken = true;
            file_hooks hooks;
            hooks.write = [&](int descriptor, const void* data, std::size_t size) -> ssize_t {
                if (!isBroken || failsOnSync)
                    return ::write(descriptor, data, size);
                if (size > 10) // a part gets through first
                    return ::write(descriptor, data, 10);
                errno = failure;
                return -1;
            };
            hooks.sync = [&](int descriptor) {
                errno = failure;
                return isBroken ? -1 : ::fsync(descriptor);
            };
            {
                auto opened = journal::open({ folder.path("journal"), 4096, hooks });
                REQUIRE(opened);
                CHECK(appendRange(opened.value(), 6, 6).error().kind() == error_kind::storage_failed);
                isBroken = false;
                CHECK(appendRange(opened.value(), 6, 6).error().kind() == error_kind::storage_failed);
                CHECK(opened.value().hasFailed());
                CHECK(checkedCount(opened.value()) == recordCount);
            }
            auto opened = journal::open({ folder.path("journal"), 4096, hooks });
            REQUIRE(opened);
            CHECK(opened.value().lastIndex() == recordCount);
            CHECK(appendRange(opened.value(), 6, 6));
        }
    }
}

TEST_CASE("a snapshot is replaced as a whole, and any changed or missing byte is seen")
{
    const temporary_folder folder;
    bool isFull = false;
    file_hooks hooks;
    hooks.write = [&](int descriptor, const void* data, std::size_t size) -> ssize_t {
        errno = ENOSPC;
        return isFull ? -1 : ::write(descriptor, data, size);
    };
    snapshot_file file(folder.path("snapshot"), hooks);
    CHECK_FALSE(file.load().value());
    REQUIRE(file.store("first"));
    isFull = true;
    CHECK(file.store("second").error().kind() == error_kind::storage_failed);
    isFull = false;
    CHECK(file.store("second").error().kind() == error_kind::storage_failed);
    CHECK(*file.load().value() == "first");

    const std::string whole = bytesOf(folder.path("snapshot"));
    for (std::size_t offset = 0; offset < whole.size(); ++offset) {
        std::string damaged = whole;
        damaged[offset] = static_cast<char>(damaged[offset] ^ 1);
        setBytes(folder.path("snapshot"), damaged);
        CHECK(file.load().error().kind() == error_kind::corrupt_data);
        setBytes(folder.path("snapshot"), whole.substr(0, offset));
        CHECK(file.load().error().kind() == error_kind::corrupt_data);
    }
}

TEST_CASE("a creation that is cut short before its first sync leaves a folder that can be created anew, foreign files do not")
{
    const temporary_folder folder;
    const std::string path = folder.path("data");
    file_hooks failing;
    int syncs = 0;
    failing.sync = [&syncs](int) { return ++syncs == 1 ? 0 : -1; }; // the first one is of the parent folder
    std::filesystem::create_directory(path);
    const data_folder_identity identity { "a1", "control", 7 };
    CHECK_FALSE(data_folder::create(path, identity, failing));
    std::vector<std::string> names;
    for (const auto& entry : std::filesystem::directory_iterator(path))
        names.push_back(entry.path().filename());
    CHECK(names == std::vector<std::string> { "creation" });
    CHECK_FALSE(data_folder::exists(path));
    CHECK(data_folder::create(path, identity));
    CHECK(data_folder::exists(path));
    CHECK_FALSE(data_folder::create(path, identity));
    const std::string foreign = folder.path("foreign");
    std::filesystem::create_directory(foreign);
    setBytes(foreign + "/notes", "x");
    CHECK_FALSE(data_folder::create(foreign, identity));
    CHECK(bytesOf(foreign + "/notes") == "x");
}

TEST_CASE("a data folder is refused to a second process, another host or another group")
{
    const temporary_folder folder;
    const std::string path = folder.path("data");
    CHECK(data_folder::open(path, "a1", "control").error().kind() == error_kind::storage_failed);
    {
        const auto made = data_folder::create(path, { "a1", "control", 7 });
        REQUIRE(made);
        CHECK(made.value().identity().incarnation == 7);
        CHECK(data_folder::open(path, "a1", "control").error().detail.find("in use") != std::string::npos);
    }
    CHECK(data_folder::open(path, "a1", "control"));
    CHECK(data_folder::open(path, "b1", "control").error().kind() == error_kind::corrupt_data);
    CHECK(data_folder::open(path, "a1", "other").error().kind() == error_kind::corrupt_data);
    CHECK_FALSE(data_folder::create(path, { "a1", "control", 8 }));
}
