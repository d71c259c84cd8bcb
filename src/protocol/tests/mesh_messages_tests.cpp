// Tests of the encoding of messages between entry hosts.
#include "protocol/mesh_messages.h"

#include <doctest/doctest.h>
#include <msgpack.hpp>

#include <random>

using namespace jackdaw::protocol;
using namespace std::chrono_literals;

namespace {

const submission_id exampleId = makeSubmissionId(unix_milliseconds(1'700'000'000'123), 0x1234, 0x5678);

announcement exampleAnnouncement()
{
    return { "u1", 0xfedcba9876543210, "10.0.0.1", 8080, "a", 8, 60, { 32000, 65536, 1 }, upstream_state::leaving, 3s };
}

job_forward exampleForward()
{
    job_forward forward { 17, 1, true, {} };
    forward.job = { exampleId, "client", "team", "b", 10s, true, true, 99, { { std::string("\0x", 2), { 1000, 64, 0 }, 50ms }, { "y", {}, {} } } };
    return forward;
}

template <typename Message>
Message roundTrip(const Message& message)
{
    const auto decoded = decodeMeshMessage(encode(message));
    REQUIRE(decoded);
    REQUIRE(std::holds_alternative<Message>(decoded.value()));
    return std::get<Message>(decoded.value());
}

} // namespace

TEST_CASE("a heartbeat is unchanged after encoding and decoding")
{
    const heartbeat sent { "a", true, 12, { { exampleAnnouncement(), 250ms } }, { { 7, 1ms } }, { 8, 9 } };
    const heartbeat read = roundTrip(sent);
    CHECK(read.zone == "a");
    CHECK(read.isDraining);
    CHECK(read.rulesVersion == 12);
    REQUIRE(read.changed.size() == 1);
    CHECK(read.changed[0].age == 250ms);
    CHECK(contentHash(read.changed[0].content) == contentHash(exampleAnnouncement()));
    REQUIRE(read.refreshed.size() == 1);
    CHECK(read.refreshed[0].contentHash == 7);
    CHECK(read.requestedHashes == sent.requestedHashes);
}

TEST_CASE("a forwarded job and its answers are unchanged after encoding and decoding")
{
    const job_forward read = roundTrip(exampleForward());
    CHECK(read.requestId == 17);
    CHECK(read.isDetached);
    CHECK(read.job.submission == exampleId);
    CHECK(read.job.deadline == 10s);
    CHECK(read.job.bodyHash == 99);
    REQUIRE(read.job.tasks.size() == 2);
    CHECK(read.job.tasks[0].payload == std::string("\0x", 2));
    CHECK(read.job.tasks[0].need.memoryMb == 64);
    const job_answer complete = job_results { { "a", "", "c" } };
    CHECK(roundTrip(job_forward_answer { 1, exampleId, complete }).answer == complete);
    const job_answer failed = job_failure { error_kind::never_fits, "task 3", 2s };
    CHECK(roundTrip(job_forward_answer { 1, exampleId, failed }).answer == failed);
    CHECK(roundTrip(service_message { mesh_service::configuration, "bytes", "a/0" }).bytes == "bytes");
    CHECK(roundTrip(service_message { mesh_service::claims, "bytes", "a/0" }).scope == "a/0");
}

TEST_CASE("trailing fields of a later format are ignored, and fields that an older format lacks take defaults")
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> out(buffer);
    out.pack_array(6);
    out.pack(2U); // version
    out.pack(4U); // withdrawal
    out.pack(33U);
    out.pack(true);
    out.pack("new");
    out.pack(1.5);
    const auto later = decodeMeshMessage({ buffer.data(), buffer.size() });
    REQUIRE(later);
    CHECK(std::get<job_withdrawal>(later.value()).requestId == 33);
    CHECK(std::get<job_withdrawal>(later.value()).cancelsJob);
    buffer.clear();
    out.pack_array(3);
    out.pack(1U);
    out.pack(1U); // heartbeat
    out.pack("a");
    const auto older = decodeMeshMessage({ buffer.data(), buffer.size() });
    REQUIRE(older);
    CHECK(std::get<heartbeat>(older.value()).requestedHashes.empty());
}

TEST_CASE("corrupted messages are decoded or rejected, without a crash")
{
    std::mt19937 random(7);
    const std::vector<std::string> samples { encode(exampleForward()), encode(heartbeat { "a", false, 1, { { exampleAnnouncement(), 1ms } }, {}, {} }),
        encode(job_forward_answer { 1, exampleId, job_results { { "a" } } }) };
    std::size_t refused = 0;
    for (int round = 0; round < 3000; ++round) {
        std::string bytes = samples[random() % samples.size()];
        bytes[random() % bytes.size()] = static_cast<char>(random());
        if (round % 3 == 0)
            bytes.resize(random() % bytes.size());
        refused += decodeMeshMessage(bytes) ? 0 : 1;
    }
    CHECK(refused > 0);
    CHECK_FALSE(decodeMeshMessage(""));
    CHECK_FALSE(decodeMeshMessage("\xc1"));
}
