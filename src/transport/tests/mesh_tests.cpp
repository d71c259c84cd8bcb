// Tests of the links between processes: delivery, batching, restart of a peer, and a link that goes silent.
#include "transport/internal/mesh_frame.h"
#include "transport/mesh.h"
#include "transport/tests/bound_port.h"
#include "transport/tests/tcp_relay.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace jackdaw::transport;

namespace {

// A port that was free a moment ago.
std::string freeAddress()
{
    return "127.0.0.1:" + std::to_string(tests::bound_port().number());
}

std::uint16_t portOf(const std::string& address)
{
    return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
}

struct mesh_fixture {
    event_loop loop;
    bool hasFinished = false;

    std::unique_ptr<mesh> start(const std::string& host, std::uint64_t incarnation, const std::string& address, mesh::delivery_hook hook)
    {
        mesh_settings settings;
        settings.host = host;
        settings.incarnation = incarnation;
        settings.listenAddress = address;
        settings.silenceLimit = std::chrono::milliseconds(300);
        auto started = std::make_unique<mesh>(loop, settings, std::move(hook));
        REQUIRE(started->listen());
        return started;
    }

    // Runs until the condition holds, or, as a failure, for a generous limit.
    void runUntil(const std::function<bool()>& condition)
    {
        hasFinished = false;
        auto poll = loop.every(std::chrono::milliseconds(1), [&] {
            hasFinished = condition();
            if (hasFinished)
                loop.stop();
        });
        auto limit = loop.after(std::chrono::seconds(20), [this] { loop.stop(); });
        loop.run();
        REQUIRE(hasFinished);
    }
};

} // namespace

TEST_CASE("messages arrive in order, batched, and a restarted peer is reached again")
{
    mesh_fixture fixture;
    const std::string addressA = freeAddress();
    const std::string addressB = freeAddress();
    std::vector<std::string> heard;
    std::uint64_t senderIncarnation = 0;
    auto hear = [&](const mesh_delivery& delivery) {
        CHECK(delivery.sender == "a");
        senderIncarnation = delivery.senderIncarnation;
        heard.emplace_back(delivery.body);
    };
    auto a = fixture.start("a", 7, addressA, {});
    auto b = fixture.start("b", 8, addressB, hear);
    a->setPeer("b", addressB);
    b->setPeer("a", addressA);
    for (int i = 0; i < 100; ++i)
        CHECK(a->send("b", std::to_string(i)));
    CHECK_FALSE(a->send("unknown", "x"));
    fixture.runUntil([&] { return heard.size() == 100; });
    CHECK(heard[42] == "42");
    CHECK(senderIncarnation == 7);
    CHECK(a->sentMessages() < 10);

    b.reset();
    heard.clear();
    b = fixture.start("b", 9, addressB, hear);
    fixture.runUntil([&] {
        a->send("b", "again");
        return !heard.empty();
    });
}

TEST_CASE("a queue over its bound drops messages instead of growing")
{
    mesh_fixture fixture;
    auto a = fixture.start("a", 1, freeAddress(), {});
    a->setPeer("b", freeAddress());
    const std::string body(1024 * 1024, 'x');
    int accepted = 0;
    for (int i = 0; i < 10; ++i)
        accepted += a->send("b", body) ? 1 : 0;
    CHECK(accepted == 4);
    CHECK(a->droppedMessages() == 6);
}

TEST_CASE("a link that went silent is dialled anew")
{
    mesh_fixture fixture;
    const std::string addressA = freeAddress();
    const std::string addressB = freeAddress();
    std::vector<std::string> heard;
    auto a = fixture.start("a", 1, addressA, {});
    auto b = fixture.start("b", 2, addressB, [&](const mesh_delivery& delivery) { heard.emplace_back(delivery.body); });
    tests::tcp_relay relay(fixture.loop, portOf(addressB));
    a->setPeer("b", "127.0.0.1:" + std::to_string(relay.port()));
    b->setPeer("a", addressA);
    a->send("b", "before");
    fixture.runUntil([&] { return heard.size() == 1; });
    relay.silencePresent();
    fixture.runUntil([&] {
        a->send("b", "after");
        return heard.size() > 1;
    });
    CHECK(heard.back() == "after");
}

TEST_CASE("bytes that are no frame are refused, whatever they are")
{
    std::mt19937 random(1);
    const std::string good = internal::encodeFrame({ 1, "a", 2, 3, 4, 5, { "body" } });
    REQUIRE(internal::decodeFrame(good));
    for (int i = 0; i < 20'000; ++i) {
        std::string bytes = good;
        const auto mutations = 1 + random() % 4;
        for (unsigned m = 0; m < mutations; ++m)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        (void)internal::decodeFrame(bytes);
    }
    CHECK_FALSE(internal::decodeFrame(""));
}

TEST_CASE("a message to a host whose connections hang arrives once, when the host listens")
{
    mesh_fixture fixture;
    const std::string address = freeAddress();
    // A listener with a full queue: the kernel drops the first packet of further connections.
    const int deaf = socket(AF_INET, SOCK_STREAM, 0);
    const int reuse = 1;
    setsockopt(deaf, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(portOf(address));
    inet_pton(AF_INET, "127.0.0.1", &name.sin_addr);
    REQUIRE(bind(deaf, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0);
    REQUIRE(listen(deaf, 0) == 0);
    std::vector<int> fillers;
    for (int i = 0; i < 4; ++i) {
        fillers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        [[maybe_unused]] const int pending = connect(fillers.back(), reinterpret_cast<sockaddr*>(&name), sizeof(name));
    }

    const auto sender = fixture.start("a", 1, freeAddress(), [](const mesh_delivery&) {});
    sender->setPeer("b", address);
    sender->send("b", "first");
    int rounds = 0;
    const auto timer = fixture.loop.every(std::chrono::milliseconds(100), [&] { ++rounds; });
    fixture.runUntil([&] { return rounds >= 6; });
    for (const int filler : fillers)
        close(filler);
    close(deaf);
    std::vector<std::string> heard;
    const auto receiver = fixture.start("b", 1, address, [&](const mesh_delivery& delivery) { heard.emplace_back(delivery.body); });
    fixture.runUntil([&] { return !heard.empty(); });
    rounds = 0;
    fixture.runUntil([&] { return rounds >= 6; });
    CHECK(heard == std::vector<std::string> { "first" });
}
