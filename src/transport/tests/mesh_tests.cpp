// Tests of the links between processes: delivery, batching, restart of a peer, and a link that goes silent.
#include "transport/internal/mesh_frame.h"
#include "transport/mesh.h"
#include "transport/tests/bound_port.h"
#include "transport/tests/tcp_relay.h"

#include <doctest/doctest.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <arpa/inet.h>
#include <malloc.h>
#include <netinet/in.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
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

std::size_t entriesOf(const char* folder)
{
    const std::filesystem::directory_iterator entries(folder);
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

struct process_size {
    std::size_t threads = entriesOf("/proc/self/task");
    std::size_t descriptors = entriesOf("/proc/self/fd");
    std::size_t residentKiB = readResidentKiB();

    // Without what the heap keeps of earlier peaks, which depend on how fast the peers answer.
    static std::size_t readResidentKiB()
    {
        malloc_trim(0);
        std::ifstream status("/proc/self/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:"))
                return std::stoul(line.substr(std::string("VmRSS:").size()));
        }
        return 0;
    }
};

// The sanitizer keeps freed memory for a while; it reports what is never freed by itself.
#ifdef __SANITIZE_ADDRESS__
constexpr bool isMemoryMeasurable = false;
#else
constexpr bool isMemoryMeasurable = true;
#endif

sockaddr_in parseAddress(const std::string& address)
{
    sockaddr_in name {};
    int length = sizeof(name);
    REQUIRE(evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&name), &length) == 0);
    return name;
}

// A process that listens and never accepts: the kernel opens its connections, and nobody answers on them.
class stalled_listener {
public:
    explicit stalled_listener(const std::string& address)
    {
        const int reuse = 1;
        setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
        const sockaddr_in name = parseAddress(address);
        REQUIRE(bind(m_descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0);
        REQUIRE(listen(m_descriptor, 16) == 0);
    }
    ~stalled_listener() { close(m_descriptor); }
    stalled_listener(const stalled_listener&) = delete;
    stalled_listener& operator=(const stalled_listener&) = delete;

private:
    const int m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
};

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

// Callers of a host that is killed send their jobs again after 1.3 s; the owners of its jobs must not wait for its silence.
TEST_CASE("the end of a peer's process passes for silence, or the loss of a link for the end of the process")
{
    event_loop loop;
    const std::string address = freeAddress();
    const std::string peerAddress = freeAddress();
    auto peer = std::make_unique<mesh>(loop, mesh_settings { "peer", 1, peerAddress }, [](const mesh_delivery&) {});
    REQUIRE(peer->listen());
    tests::tcp_relay relay(loop, portOf(peerAddress));
    std::vector<std::string> refused;
    mesh self(
        loop, { "self", 1, address }, [](const mesh_delivery&) {}, [&](std::string_view host) { refused.emplace_back(host); });
    self.setPeer("direct", peerAddress);
    self.setPeer("relayed", "127.0.0.1:" + std::to_string(relay.port()));
    const auto runFor = [&](std::chrono::milliseconds length) {
        const auto end = loop.after(length, [&] { loop.stop(); });
        loop.run();
    };
    runFor(std::chrono::milliseconds(300));
    CHECK(refused.empty());
    peer.reset();
    runFor(std::chrono::milliseconds(300));
    REQUIRE_FALSE(refused.empty());
    for (const std::string& host : refused)
        CHECK(host == "direct"); // whoever listens at the other address has not ended
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

TEST_CASE("a link that is open and still writes its first frame is dialled anew, and the frame starts again")
{
    // The frame is longer than what the kernel buffers, and takes two seconds: several times the patience with a link that does not open.
    constexpr std::size_t frameBytes = 16 * 1024 * 1024;
    std::signal(SIGPIPE, SIG_IGN); // the relay writes to connections that the receiver has closed
    mesh_fixture fixture;
    const std::string address = freeAddress();
    std::size_t heard = 0;
    const auto receiver = fixture.start("b", 1, address, [&](const mesh_delivery& delivery) { heard = delivery.body.size(); });
    tests::tcp_relay relay(fixture.loop, portOf(address));
    relay.limitRate(frameBytes / 2);
    mesh_settings settings;
    settings.host = "a";
    settings.incarnation = 1;
    settings.listenAddress = freeAddress();
    settings.maxQueuedBytes = frameBytes;
    settings.silenceLimit = std::chrono::seconds(4); // looks at its links six times within it
    mesh sender(fixture.loop, settings, [](const mesh_delivery&) {});
    REQUIRE(sender.listen());
    sender.setPeer("b", "127.0.0.1:" + std::to_string(relay.port()));
    sender.send("b", std::string(frameBytes, 'x'));
    fixture.runUntil([&] { return heard == frameBytes; });
    CHECK(relay.connectionsTaken() == 1);
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

TEST_CASE("peers that vanish and return leave threads, descriptors or memory behind")
{
    constexpr std::size_t peers = 150;
    constexpr int rounds = 50;
    constexpr std::size_t memorySlackKiB = 1024;
    mesh_fixture fixture;
    const std::string hubAddress = freeAddress();
    std::vector<std::string> addresses;
    // An address for each, since a connection of another one could take the port of a peer that is away.
    const std::string port = std::to_string(portOf(freeAddress()));
    for (std::size_t i = 0; i < peers; ++i)
        addresses.push_back("127.1.0." + std::to_string(i + 1) + ':' + port);

    std::set<std::string> heardByHub;
    const auto hub = fixture.start("hub", 1, hubAddress, [&](const mesh_delivery& delivery) { heardByHub.emplace(delivery.sender); });
    for (std::size_t i = 0; i < peers; ++i)
        hub->setPeer("peer" + std::to_string(i), addresses[i]);

    std::optional<process_size> afterFirst;
    for (int round = 1; round <= rounds; ++round) {
        heardByHub.clear();
        std::set<std::size_t> heardByPeers;
        std::vector<std::unique_ptr<mesh>> started;
        for (std::size_t i = 0; i < peers; ++i) {
            started.push_back(fixture.start("peer" + std::to_string(i), round, addresses[i], [&heardByPeers, i](const mesh_delivery&) { heardByPeers.insert(i); }));
            started.back()->setPeer("hub", hubAddress);
            started.back()->send("hub", "hello");
            hub->send("peer" + std::to_string(i), "hello");
        }
        fixture.runUntil([&] {
            for (std::size_t i = 0; i < peers; ++i) {
                if (!heardByPeers.contains(i))
                    hub->send("peer" + std::to_string(i), "hello");
            }
            return heardByHub.size() == peers && heardByPeers.size() == peers;
        });
        started.clear();
        fixture.runUntil([&] { return hub->acceptedConnections() == 0 && hub->openLinks() == 0; });
        {
            std::vector<std::unique_ptr<stalled_listener>> stalled;
            for (const std::string& address : addresses) {
                stalled.push_back(std::make_unique<stalled_listener>(address));
                hub->send("peer" + std::to_string(stalled.size() - 1), "hello");
            }
            const auto stalledUntil = jackdaw::protocol::steadyNow() + std::chrono::milliseconds(400);
            fixture.runUntil([stalledUntil] { return jackdaw::protocol::steadyNow() >= stalledUntil; });
        }
        if (round == 1)
            afterFirst.emplace();
    }
    const process_size atEnd;
    CHECK(atEnd.threads <= afterFirst->threads);
    CHECK(atEnd.descriptors <= afterFirst->descriptors + peers); // a link may have a connection under way
    if (isMemoryMeasurable)
        CHECK(atEnd.residentKiB <= afterFirst->residentKiB + memorySlackKiB);
}

TEST_CASE("a peer that comes back without having ended its connection keeps the old one open here")
{
    mesh_fixture fixture;
    const std::string addressB = freeAddress();
    std::vector<std::string> heard;
    auto a = fixture.start("a", 1, freeAddress(), {});
    auto b = fixture.start("b", 2, addressB, [&](const mesh_delivery& delivery) { heard.emplace_back(delivery.body); });
    tests::tcp_relay relay(fixture.loop, portOf(addressB));
    a->setPeer("b", "127.0.0.1:" + std::to_string(relay.port()));
    for (std::size_t round = 1; round <= 5; ++round) {
        heard.clear();
        fixture.runUntil([&] {
            a->send("b", "hello");
            return !heard.empty();
        });
        CHECK(b->acceptedConnections() == 1);
        relay.silencePresent();
    }
}

// The loop's timers run before it reads what has arrived while one of them took long.
TEST_CASE("a host that stood still dials a link anew, though the peer's answer waits unread")
{
    mesh_fixture fixture;
    event_loop peerLoop;
    const std::string address = freeAddress();
    const std::string peerAddress = freeAddress();
    std::atomic<int> heardByPeer = 0;
    std::atomic<std::uint64_t> sentByPeer = 0;
    mesh peer(peerLoop, { "b", 2, peerAddress }, [&](const mesh_delivery&) { ++heardByPeer; });
    REQUIRE(peer.listen());
    tests::tcp_relay relay(peerLoop, portOf(peerAddress));
    const auto count = peerLoop.every(std::chrono::milliseconds(1), [&] { sentByPeer = peer.sentMessages(); });
    peer.setPeer("a", address);
    int heard = 0;
    const auto self = fixture.start("a", 1, address, [&](const mesh_delivery&) { ++heard; });
    self->setPeer("b", "127.0.0.1:" + std::to_string(relay.port()));
    peer.send("a", "hello");
    std::thread peerThread([&] { peerLoop.run(); });
    fixture.runUntil([&] { return heard == 1; });
    self->send("b", "hello"); // acknowledged 500 ms later, since nothing else is sent
    fixture.runUntil([&] { return heardByPeer == 1; });

    std::unique_ptr<event_loop::timer> longTimer;
    const auto timer = fixture.loop.after({}, [&] {
        longTimer = fixture.loop.after({}, [&] {
            const auto begin = std::chrono::steady_clock::now();
            const std::uint64_t sentBefore = sentByPeer;
            while (sentByPeer == sentBefore || std::chrono::steady_clock::now() - begin < std::chrono::milliseconds(1000))
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(100)); // the links' timer is due within it
    });
    int rounds = 0;
    const auto counter = fixture.loop.every(std::chrono::milliseconds(50), [&] { ++rounds; });
    fixture.runUntil([&] { return longTimer && rounds >= 10; });
    peerLoop.stop();
    peerThread.join();
    CHECK(relay.connectionsTaken() == 1);
}

TEST_CASE("of two connections of a host the earlier one is closed with messages that wait unread")
{
    mesh_fixture fixture;
    const std::string address = freeAddress();
    std::vector<std::string> heard;
    const auto receiver = fixture.start("b", 1, address, [&](const mesh_delivery& delivery) { heard.emplace_back(delivery.body); });
    const std::string header("\0SP\0\0\x50\0\0", 8);
    const auto makeMessage = [](std::uint64_t sequence, const std::string& body) {
        const std::string frame = internal::encodeFrame({ 1, "a", 2, sequence, 0, 0, { body } });
        return std::string(7, '\0') + static_cast<char>(frame.size()) + frame;
    };
    const auto dial = [&address] {
        const sockaddr_in name = parseAddress(address);
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        REQUIRE(connect(descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0);
        return descriptor;
    };
    const auto write = [](int descriptor, std::string_view bytes) { REQUIRE(send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())); };
    const std::string third = makeMessage(3, "third");
    const std::string fourth = makeMessage(4, "fourth");
    const int earlier = dial();
    write(earlier, header + makeMessage(1, "first"));
    fixture.runUntil([&] { return heard.size() == 1; });
    const int later = dial();
    write(later, header + third.substr(0, 10));
    int rounds = 0;
    fixture.runUntil([&] { return receiver->acceptedConnections() == 2 && ++rounds > 50; });
    // The loop reads the connections in the order in which they have become readable.
    write(later, third.substr(10) + fourth);
    write(earlier, makeMessage(2, "second") + std::string(1, '\0')); // and a part of one that never ends
    fixture.runUntil([&] { return heard.back() == "fourth"; });
    CHECK(heard == std::vector<std::string> { "first", "second", "third", "fourth" });
    CHECK(receiver->acceptedConnections() == 1);
    close(earlier);
    close(later);
}

TEST_CASE("a process of an earlier build, which speaks the pipeline protocol, is not understood")
{
    mesh_fixture fixture;
    const std::string address = freeAddress();
    std::vector<std::string> heard;
    const auto receiver = fixture.start("b", 1, address, [&](const mesh_delivery& delivery) { heard.emplace_back(delivery.body); });

    sockaddr_in name = parseAddress(address);
    bufferevent* stream = bufferevent_socket_new(fixture.loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    const std::string frame = internal::encodeFrame({ 1, "a", 2, 1, 0, 0, { "body" } });
    REQUIRE(frame.size() < 256);
    std::string bytes("\0SP\0\0\x50\0\0\0\0\0\0\0\0\0", 15);
    bytes.push_back(static_cast<char>(frame.size()));
    bytes += frame;
    bufferevent_write(stream, bytes.data(), bytes.size());
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    REQUIRE(bufferevent_socket_connect(stream, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0);
    fixture.runUntil([&] { return !heard.empty(); });
    CHECK(heard == std::vector<std::string> { "body" });

    std::string answer(8, 'x');
    REQUIRE(evbuffer_get_length(bufferevent_get_input(stream)) == answer.size());
    evbuffer_remove(bufferevent_get_input(stream), answer.data(), answer.size());
    CHECK(answer == std::string("\0SP\0\0\x51\0\0", 8));
    bufferevent_free(stream);
}

TEST_CASE("a connection that does not speak the links' protocol, or announces a message over the bound, stays open")
{
    for (const std::string& bytes : { std::string("GET / HTTP/1.1\r\n\r\n"), std::string("\0SP\0\0\x50\0\0\xff\xff\xff\xff\xff\xff\xff\xff", 16) }) {
        mesh_fixture fixture;
        const std::string address = freeAddress();
        const auto receiver = fixture.start("b", 1, address, {});
        sockaddr_in name = parseAddress(address);
        bufferevent* stream = bufferevent_socket_new(fixture.loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        bool isClosed = false;
        bufferevent_setcb(
            stream, nullptr, nullptr, [](bufferevent*, short events, void* flag) { *static_cast<bool*>(flag) = *static_cast<bool*>(flag) || (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0; }, &isClosed);
        bufferevent_write(stream, bytes.data(), bytes.size());
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        REQUIRE(bufferevent_socket_connect(stream, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0);
        fixture.runUntil([&] { return isClosed; });
        CHECK(receiver->acceptedConnections() == 0);
        bufferevent_free(stream);
    }
}
