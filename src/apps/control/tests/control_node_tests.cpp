// Tests of a control node and its storage with a clock and a disk of the test's own.
#include "apps/control/control_messages.h"
#include "apps/control/control_node.h"
#include "state/rules_file.h"
#include "state/tests/temporary_folder.h"

#include <doctest/doctest.h>

#include <cerrno>
#include <filesystem>
#include <optional>

#include <unistd.h>

using namespace jackdaw;
using namespace jackdaw::control;
using coordination::change_answer;
using coordination::change_outcome;
using protocol::error_kind;
using state::testing::temporary_folder;

namespace {

// A group of one member, so that a change is committed as soon as it is stored.
class lone_node {
public:
    lone_node()
    {
        m_settings.storage = { m_folder.path("data"), "a1", "control", hooks() };
        m_settings.compactAfterEntries = 50;
        REQUIRE(control_storage::create(m_settings.storage, 7, true));
        open();
    }

    void open()
    {
        node.reset();
        auto storage = control_storage::open(m_settings.storage);
        REQUIRE(storage);
        node.emplace(m_settings, std::move(storage.value()), control_node_hooks { [](const auto&) {}, {}, [this] { ++evacuationChanges; } }, m_now);
        becomeLeader();
    }

    // Bounded: a node that does not become the leader fails the checks that follow.
    void becomeLeader()
    {
        for (int i = 0; i < 1000 && !node->isServingLeader(); ++i)
            pass(std::chrono::milliseconds(10));
    }

    void pass(duration time)
    {
        m_now += time;
        node->advance(m_now);
    }

    std::optional<protocol::result<change_answer>> change(std::uint64_t expected, const std::string& id)
    {
        std::optional<protocol::result<change_answer>> answer;
        const std::string text = "retry.budget = 0.5 # asked for by " + id + '\n';
        node->change(m_now, { id, expected, "ana", text, state::parseRules(text, "r").value().lines }, [&](const auto& given) { answer = given; });
        return answer;
    }

    std::optional<protocol::result<change_answer>> evacuate(const std::string& id, const std::string& zone, bool isEvacuated)
    {
        std::optional<protocol::result<change_answer>> answer;
        coordination::rules_change order;
        order.changeId = id;
        order.evacuation = coordination::zone_order { zone, isEvacuated, 1000 };
        node->change(m_now, order, [&](const auto& given) { answer = given; });
        return answer;
    }

    std::uint64_t folderBytes() const
    {
        std::uint64_t bytes = 0;
        for (const auto& entry : std::filesystem::recursive_directory_iterator(m_settings.storage.folder)) {
            if (entry.is_regular_file())
                bytes += entry.file_size();
        }
        return bytes;
    }

    std::optional<control_node> node;
    bool isDiskFull = false;
    int evacuationChanges = 0; // that the node has announced

private:
    state::file_hooks hooks()
    {
        return { [this](int descriptor, const void* data, std::size_t size) -> ssize_t {
                    errno = ENOSPC;
                    return isDiskFull ? -1 : ::write(descriptor, data, size);
                },
            [](int) { return 0; } };
    }

    temporary_folder m_folder;
    control_node_settings m_settings;
    time_point m_now;
};

} // namespace

TEST_CASE("a full disk refuses changes, serves the rules, and takes changes again when there is space")
{
    lone_node lone;
    REQUIRE(lone.change(0, "a")->value().outcome == change_outcome::accepted);
    lone.isDiskFull = true;
    CHECK(lone.change(1, "b")->error().kind() == error_kind::storage_failed);
    CHECK(lone.change(1, "c")->error().kind() == error_kind::storage_failed);
    CHECK_FALSE(lone.node->status().storageFailure.empty());
    for (int i = 0; i < 30; ++i) {
        lone.pass(std::chrono::seconds(1));
        CHECK(lone.node->rules().inForce().changeId == "a");
    }
    lone.isDiskFull = false;
    for (int i = 0; i < 10; ++i) {
        lone.pass(std::chrono::seconds(1));
        CHECK(lone.node->rules().inForce().version == 1);
    }
    lone.becomeLeader();
    CHECK(lone.change(1, "b")->value() == change_answer { change_outcome::accepted, { 2, "b", "ana" } });
    lone.open();
    CHECK(lone.node->rules().inForce().version == 2);
}

TEST_CASE("an evacuation is acknowledged although it can't be stored, or is lost with a full disk, a restart or a compaction")
{
    lone_node lone;
    REQUIRE(lone.change(0, "a")->value().outcome == change_outcome::accepted);
    REQUIRE(lone.evacuate("1", "a", true)->value().outcome == change_outcome::accepted);
    REQUIRE(lone.evacuate("2", "a", true)->value().outcome == change_outcome::accepted);
    CHECK(lone.evacuationChanges == 1);
    lone.isDiskFull = true;
    CHECK(lone.evacuate("3", "b", true)->error().kind() == error_kind::storage_failed);
    for (int i = 0; i < 10; ++i) {
        lone.pass(std::chrono::seconds(1));
        CHECK(lone.node->rules().evacuations().isEvacuated("a"));
        CHECK_FALSE(lone.node->rules().evacuations().isEvacuated("b"));
    }
    lone.isDiskFull = false;
    for (int i = 0; i < 10; ++i) {
        lone.pass(std::chrono::seconds(1));
        CHECK(lone.node->rules().evacuations().isEvacuated("a"));
    }
    lone.becomeLeader();
    for (int i = 0; i < 120; ++i) // beyond the entries after which the log is compacted
        REQUIRE(lone.evacuate("b/" + std::to_string(i), "b", i % 2 == 0)->value().outcome == change_outcome::accepted);
    lone.open();
    CHECK(lone.node->rules().evacuations().isEvacuated("a"));
    CHECK_FALSE(lone.node->rules().evacuations().isEvacuated("b"));
    CHECK(lone.node->rules().evacuations().number() == 121);
    CHECK(lone.node->rules().inForce().changeId == "a");
}

TEST_CASE("a data folder whose creation was cut short by a full disk is created anew when there is space")
{
    constexpr int writesOfCreation = 20; // more than there are
    for (int room = 0; room < writesOfCreation; ++room) {
        CAPTURE(room);
        const temporary_folder folder;
        int writesLeft = room;
        storage_settings settings { folder.path("data"), "a1", "control", {} };
        settings.hooks.write = [&writesLeft](int descriptor, const void* data, std::size_t size) -> ssize_t {
            errno = ENOSPC;
            return writesLeft-- > 0 ? ::write(descriptor, data, size) : -1;
        };
        const bool isCreated = static_cast<bool>(control_storage::create(settings, 7, true));
        CHECK(static_cast<bool>(control_storage::open(settings)) == isCreated);
        writesLeft = writesOfCreation;
        CHECK(static_cast<bool>(control_storage::create(settings, 8, true)) == !isCreated);
        const auto opened = control_storage::open(settings);
        REQUIRE(opened);
        CHECK(opened.value().self().incarnation == (isCreated ? 7 : 8));
        CHECK(opened.value().membership().voters.size() == 1);
    }
}

TEST_CASE("after many changes a restart has all of them, and the data folder stays small")
{
    constexpr std::uint64_t changes = 1000;
    lone_node lone;
    std::uint64_t most = 0;
    for (std::uint64_t version = 0; version < changes; ++version) {
        REQUIRE(lone.change(version, "c" + std::to_string(version))->value().outcome == change_outcome::accepted);
        most = std::max(most, lone.folderBytes());
    }
    CHECK(most < 1024 * 1024);
    CHECK(lone.node->status().storedEntries <= 51);
    lone.open();
    CHECK(lone.node->rules().inForce().version == changes);
    CHECK(lone.change(changes - 1, "c999")->value().inForce.version == changes);
}

TEST_CASE("a member that is not the leader does not take a change")
{
    lone_node lone;
    coordination::raft_message stray { { "b1", 1 }, { "a1", 7 }, 99, coordination::append_request {} };
    lone.node->step({}, stray);
    CHECK(lone.change(0, "a")->error().kind() == error_kind::not_leader);
}

TEST_CASE("messages between control processes survive their codec, and damaged ones never crash")
{
    const control_message hello { "control", member_hello { { "a1", 1ULL << 61 } } };
    const control_message raft { "control", coordination::raft_message { { "a1", 1 }, { "b1", 2 }, 3, coordination::vote_reply { true, true } } };
    for (const control_message& message : { hello, raft }) {
        const std::string bytes = encode(message);
        CHECK(decodeControlMessage(bytes).value() == message);
        for (std::size_t offset = 0; offset < bytes.size(); ++offset) {
            CHECK_FALSE(decodeControlMessage(std::string_view(bytes).substr(0, offset)));
            std::string damaged = bytes;
            damaged[offset] = static_cast<char>(damaged[offset] ^ 0xff);
            static_cast<void>(decodeControlMessage(damaged));
        }
    }
}
