// Encodes and decodes claim messages, commands and snapshots.
#include "protocol/claim_codec.h"

#include "protocol/internal/msgpack_array.h"
#include "protocol/raft_codec.h"

#include <algorithm>

namespace jackdaw::protocol {
namespace {

    using internal::decodeVersioned;
    using internal::encodeVersioned;
    using internal::msgpack_array_reader;
    using internal::msgpack_writer;
    using internal::takeBytes;
    using internal::writeBytes;

    constexpr std::uint32_t formatVersion = 1;

    // Message kinds on the wire, in the order of the variant claim_message. Numbers are never reused.
    enum class message_kind : std::uint8_t {
        hello = 0,
        bootstrap = 1,
        raft = 2,
        request = 3,
        reply = 4,
        redirect = 5
    };

    void write(msgpack_writer& writer, const submission_id& submission)
    {
        writeBytes(writer, { reinterpret_cast<const char*>(submission.data), submission.size() });
    }

    submission_id takeSubmission(msgpack_array_reader& fields)
    {
        const std::string bytes = takeBytes(fields);
        submission_id submission;
        if (bytes.size() != submission.size())
            throw msgpack::type_error();
        std::copy(bytes.begin(), bytes.end(), submission.begin());
        return submission;
    }

    // Members, coordinators and generations are encoded as a host and its incarnation.
    template <typename HostIncarnation>
    void writeHostIncarnation(msgpack_writer& writer, const HostIncarnation& value)
    {
        writer.pack_array(2);
        writer.pack(value.host);
        writer.pack(value.incarnation);
    }

    template <typename HostIncarnation>
    HostIncarnation readHostIncarnation(const msgpack::object& object)
    {
        msgpack_array_reader fields(object);
        HostIncarnation value;
        value.host = fields.take<std::string>();
        value.incarnation = fields.take<std::uint64_t>();
        return value;
    }

    template <typename T, typename Write>
    void writeEach(msgpack_writer& writer, const std::vector<T>& values, Write writeOne)
    {
        writer.pack_array(static_cast<std::uint32_t>(values.size()));
        for (const T& value : values)
            writeOne(writer, value);
    }

    template <typename T, typename Read>
    std::vector<T> readEach(const msgpack::object& object, Read readOne)
    {
        if (object.type != msgpack::type::ARRAY)
            throw msgpack::type_error();
        std::vector<T> values;
        values.reserve(object.via.array.size);
        for (std::uint32_t i = 0; i < object.via.array.size; ++i)
            values.push_back(readOne(object.via.array.ptr[i]));
        return values;
    }

    void writeTime(msgpack_writer& writer, const std::optional<unix_milliseconds>& time)
    {
        if (time)
            writer.pack(time->count());
        else
            writer.pack_nil();
    }

    std::optional<unix_milliseconds> takeTime(msgpack_array_reader& fields)
    {
        const msgpack::object& object = fields.next();
        if (object.is_nil())
            return std::nullopt;
        return unix_milliseconds(object.as<std::int64_t>());
    }

    void writeClaim(msgpack_writer& writer, const claim_entry& claim)
    {
        writer.pack_array(3);
        write(writer, claim.submission);
        writer.pack(claim.attempt);
        writer.pack(claim.bodyHash);
    }

    claim_entry readClaim(const msgpack::object& object)
    {
        msgpack_array_reader fields(object);
        claim_entry claim;
        claim.submission = takeSubmission(fields);
        claim.attempt = fields.take<std::uint64_t>();
        claim.bodyHash = fields.take<std::uint64_t>();
        return claim;
    }

    void writeBatch(msgpack_writer& writer, const claim_batch& batch)
    {
        writer.pack_array(2);
        writeHostIncarnation(writer, batch.coordinator);
        writeEach(writer, batch.claims, writeClaim);
    }

    claim_batch readBatch(const msgpack::object& object)
    {
        msgpack_array_reader fields(object);
        claim_batch batch;
        batch.coordinator = readHostIncarnation<claim_coordinator>(fields.next());
        batch.claims = readEach<claim_entry>(fields.next(), readClaim);
        return batch;
    }

    void writeAnswer(msgpack_writer& writer, const claim_answer& answer)
    {
        writer.pack_array(4);
        write(writer, answer.submission);
        writer.pack(answer.attempt);
        writer.pack(static_cast<std::uint8_t>(answer.outcome));
        writeHostIncarnation(writer, answer.holder);
    }

    claim_answer readAnswer(const msgpack::object& object)
    {
        msgpack_array_reader fields(object);
        claim_answer answer;
        answer.submission = takeSubmission(fields);
        answer.attempt = fields.take<std::uint64_t>();
        const auto outcome = fields.take<std::uint8_t>();
        if (outcome > static_cast<std::uint8_t>(claim_outcome::from_future))
            throw msgpack::type_error();
        answer.outcome = static_cast<claim_outcome>(outcome);
        answer.holder = readHostIncarnation<claim_coordinator>(fields.next());
        return answer;
    }

    void writeRecord(msgpack_writer& writer, const claim_record& record)
    {
        writer.pack_array(4);
        write(writer, record.submission);
        writer.pack(record.coordinator);
        writer.pack(record.attempt);
        writer.pack(record.bodyHash);
    }

    claim_record readRecord(const msgpack::object& object)
    {
        msgpack_array_reader fields(object);
        claim_record record;
        record.submission = takeSubmission(fields);
        record.coordinator = fields.take<std::uint32_t>();
        record.attempt = fields.take<std::uint64_t>();
        record.bodyHash = fields.take<std::uint64_t>();
        return record;
    }

    void writeBody(msgpack_writer& writer, const claim_hello& hello)
    {
        writer.pack_array(3);
        writer.pack(hello.incarnation);
        if (hello.generation)
            writeHostIncarnation(writer, *hello.generation);
        else
            writer.pack_nil();
        writer.pack(hello.wantsReply);
    }

    claim_message readHello(msgpack_array_reader& fields)
    {
        claim_hello hello;
        hello.incarnation = fields.take<std::uint64_t>();
        if (const msgpack::object& generation = fields.next(); !generation.is_nil())
            hello.generation = readHostIncarnation<claim_generation>(generation);
        hello.wantsReply = fields.take<bool>();
        return hello;
    }

    void writeBody(msgpack_writer& writer, const claim_bootstrap& bootstrap)
    {
        writer.pack_array(2);
        writeHostIncarnation(writer, bootstrap.generation);
        writeEach(writer, bootstrap.voters, writeHostIncarnation<raft_member_id>);
    }

    claim_message readBootstrap(msgpack_array_reader& fields)
    {
        claim_bootstrap bootstrap;
        bootstrap.generation = readHostIncarnation<claim_generation>(fields.next());
        bootstrap.voters = readEach<raft_member_id>(fields.next(), readHostIncarnation<raft_member_id>);
        return bootstrap;
    }

    void writeBody(msgpack_writer& writer, const claim_raft_message& raft)
    {
        writer.pack_array(2);
        writeHostIncarnation(writer, raft.generation);
        writeBytes(writer, encode(raft.message));
    }

    claim_message readRaft(msgpack_array_reader& fields)
    {
        claim_raft_message raft;
        raft.generation = readHostIncarnation<claim_generation>(fields.next());
        auto message = decodeRaftMessage(takeBytes(fields));
        if (!message)
            throw msgpack::type_error();
        raft.message = std::move(message).value();
        return raft;
    }

    void writeBody(msgpack_writer& writer, const claim_request& request)
    {
        writer.pack_array(1);
        writeBatch(writer, request.batch);
    }

    void writeBody(msgpack_writer& writer, const claim_reply& reply)
    {
        writer.pack_array(2);
        writer.pack(reply.incarnation);
        writeEach(writer, reply.answers, writeAnswer);
    }

    claim_message readReply(msgpack_array_reader& fields)
    {
        claim_reply reply;
        reply.incarnation = fields.take<std::uint64_t>();
        reply.answers = readEach<claim_answer>(fields.next(), readAnswer);
        return reply;
    }

    void writeBody(msgpack_writer& writer, const claim_redirect& redirect)
    {
        writer.pack_array(1);
        writer.pack(redirect.leaderHost);
    }

    claim_message readBody(message_kind kind, msgpack_array_reader& fields)
    {
        switch (kind) {
        case message_kind::hello:
            return readHello(fields);
        case message_kind::bootstrap:
            return readBootstrap(fields);
        case message_kind::raft:
            return readRaft(fields);
        case message_kind::request:
            return claim_request { readBatch(fields.next()) };
        case message_kind::reply:
            return readReply(fields);
        case message_kind::redirect:
            return claim_redirect { fields.take<std::string>() };
        }
        throw msgpack::type_error();
    }

    claim_message readMessage(msgpack_array_reader& fields)
    {
        const auto kind = static_cast<message_kind>(fields.take<std::uint8_t>());
        msgpack_array_reader body(fields.next());
        return readBody(kind, body);
    }

    claim_command readCommand(msgpack_array_reader& fields)
    {
        claim_command command;
        command.time = unix_milliseconds(fields.take<std::int64_t>());
        command.knownSince = takeTime(fields);
        command.batches = readEach<claim_batch>(fields.next(), readBatch);
        return command;
    }

    claim_snapshot readSnapshot(msgpack_array_reader& fields)
    {
        claim_snapshot snapshot;
        snapshot.knownSince = takeTime(fields);
        snapshot.time = unix_milliseconds(fields.take<std::int64_t>());
        snapshot.coordinators = readEach<claim_coordinator>(fields.next(), readHostIncarnation<claim_coordinator>);
        snapshot.records = readEach<claim_record>(fields.next(), readRecord);
        for (const claim_record& record : snapshot.records) {
            if (record.coordinator >= snapshot.coordinators.size())
                throw msgpack::type_error();
        }
        return snapshot;
    }

} // namespace

std::string encode(const claim_message& message)
{
    return encodeVersioned(formatVersion, 2, [&](msgpack_writer& writer) {
        writer.pack(static_cast<std::uint8_t>(message.index()));
        std::visit([&](const auto& body) { writeBody(writer, body); }, message);
    });
}

std::string encode(const claim_command& command)
{
    return encodeVersioned(formatVersion, 3, [&](msgpack_writer& writer) {
        writer.pack(command.time.count());
        writeTime(writer, command.knownSince);
        writeEach(writer, command.batches, writeBatch);
    });
}

std::string encode(const claim_snapshot& snapshot)
{
    return encodeVersioned(formatVersion, 4, [&](msgpack_writer& writer) {
        writeTime(writer, snapshot.knownSince);
        writer.pack(snapshot.time.count());
        writeEach(writer, snapshot.coordinators, writeHostIncarnation<claim_coordinator>);
        writeEach(writer, snapshot.records, writeRecord);
    });
}

result<claim_message> decodeClaimMessage(std::string_view bytes)
{
    return decodeVersioned(formatVersion, bytes, "claim message", readMessage);
}

result<claim_command> decodeClaimCommand(std::string_view bytes)
{
    return decodeVersioned(formatVersion, bytes, "claim command", readCommand);
}

result<claim_snapshot> decodeClaimSnapshot(std::string_view bytes)
{
    return decodeVersioned(formatVersion, bytes, "claim snapshot", readSnapshot);
}

} // namespace jackdaw::protocol
