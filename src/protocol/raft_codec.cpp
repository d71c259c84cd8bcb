// Encodes and decodes Raft messages and records.
#include "protocol/raft_codec.h"

#include "protocol/internal/msgpack_array.h"

namespace jackdaw::protocol {
namespace {

    using internal::decodeVersioned;
    using internal::encodeVersioned;
    using internal::msgpack_array_reader;
    using internal::msgpack_writer;
    using internal::takeBytes;
    using internal::writeBytes;

    constexpr std::uint32_t formatVersion = 1;
    constexpr std::uint32_t entryFields = 5;
    constexpr std::uint32_t snapshotFields = 4;
    constexpr std::uint32_t messageFields = 5;

    // Kinds of message bodies on the wire. Numbers are never reused.
    enum class body_kind : std::uint8_t {
        vote_request = 0,
        vote_reply = 1,
        append_request = 2,
        append_reply = 3,
        snapshot_request = 4,
        timeout_now_request = 5,
        incarnation_ended = 6
    };

    void write(msgpack_writer& writer, const raft_member_id& member)
    {
        writer.pack_array(2);
        writer.pack(member.host);
        writer.pack(member.incarnation);
    }

    raft_member_id readMember(const msgpack::object& object)
    {
        msgpack_array_reader fields(object);
        raft_member_id member;
        member.host = fields.take<std::string>();
        member.incarnation = fields.take<std::uint64_t>();
        return member;
    }

    void write(msgpack_writer& writer, const std::vector<raft_member_id>& members)
    {
        writer.pack_array(static_cast<std::uint32_t>(members.size()));
        for (const raft_member_id& member : members)
            write(writer, member);
    }

    std::vector<raft_member_id> readMembers(const msgpack::object& object)
    {
        if (object.type != msgpack::type::ARRAY)
            throw msgpack::type_error();
        std::vector<raft_member_id> members;
        for (std::uint32_t i = 0; i < object.via.array.size; ++i)
            members.push_back(readMember(object.via.array.ptr[i]));
        return members;
    }

    void write(msgpack_writer& writer, const raft_membership& membership)
    {
        writer.pack_array(2);
        write(writer, membership.voters);
        write(writer, membership.learners);
    }

    raft_membership readMembership(const msgpack::object& object)
    {
        msgpack_array_reader fields(object);
        raft_membership membership;
        membership.voters = readMembers(fields.next());
        membership.learners = readMembers(fields.next());
        return membership;
    }

    // The membership is encoded only in entries of kind membership; other entries have nil in its place.
    void writeFields(msgpack_writer& writer, const raft_entry& entry)
    {
        writer.pack(entry.index);
        writer.pack(entry.term);
        writer.pack(static_cast<std::uint8_t>(entry.kind));
        writeBytes(writer, entry.data);
        if (entry.kind == raft_entry_kind::membership)
            write(writer, entry.membership);
        else
            writer.pack_nil();
    }

    raft_entry readEntry(msgpack_array_reader& fields)
    {
        raft_entry entry;
        entry.index = fields.take<std::uint64_t>();
        entry.term = fields.take<std::uint64_t>();
        const auto kind = fields.take<std::uint8_t>();
        if (kind > static_cast<std::uint8_t>(raft_entry_kind::membership))
            throw msgpack::type_error();
        entry.kind = static_cast<raft_entry_kind>(kind);
        entry.data = takeBytes(fields);
        if (const msgpack::object& membership = fields.next(); !membership.is_nil())
            entry.membership = readMembership(membership);
        return entry;
    }

    void writeFields(msgpack_writer& writer, const raft_snapshot& snapshot)
    {
        writer.pack(snapshot.index);
        writer.pack(snapshot.term);
        write(writer, snapshot.membership);
        writeBytes(writer, snapshot.data);
    }

    raft_snapshot readSnapshot(msgpack_array_reader& fields)
    {
        raft_snapshot snapshot;
        snapshot.index = fields.take<std::uint64_t>();
        snapshot.term = fields.take<std::uint64_t>();
        snapshot.membership = readMembership(fields.next());
        snapshot.data = takeBytes(fields);
        return snapshot;
    }

    void writeBody(msgpack_writer& writer, const vote_request& request)
    {
        writer.pack_array(4);
        writer.pack(request.preVote);
        writer.pack(request.leadershipTransfer);
        writer.pack(request.lastIndex);
        writer.pack(request.lastTerm);
    }

    void writeBody(msgpack_writer& writer, const vote_reply& reply)
    {
        writer.pack_array(2);
        writer.pack(reply.preVote);
        writer.pack(reply.granted);
    }

    void writeBody(msgpack_writer& writer, const append_request& request)
    {
        writer.pack_array(4);
        writer.pack(request.previousIndex);
        writer.pack(request.previousTerm);
        writer.pack(request.commitIndex);
        writer.pack_array(static_cast<std::uint32_t>(request.entries.size()));
        for (const raft_entry& entry : request.entries) {
            writer.pack_array(entryFields);
            writeFields(writer, entry);
        }
    }

    void writeBody(msgpack_writer& writer, const append_reply& reply)
    {
        writer.pack_array(3);
        writer.pack(reply.accepted);
        writer.pack(reply.matchIndex);
        writer.pack(reply.previousIndex);
    }

    void writeBody(msgpack_writer& writer, const snapshot_request& request)
    {
        writer.pack_array(snapshotFields);
        writeFields(writer, request.snapshot);
    }

    void writeBody(msgpack_writer& writer, const timeout_now_request& /*request*/)
    {
        writer.pack_array(0);
    }

    void writeBody(msgpack_writer& writer, const incarnation_ended& answer)
    {
        writer.pack_array(1);
        writer.pack(answer.incarnation);
    }

    vote_request readVoteRequest(msgpack_array_reader& fields)
    {
        vote_request request;
        request.preVote = fields.take<bool>();
        request.leadershipTransfer = fields.take<bool>();
        request.lastIndex = fields.take<std::uint64_t>();
        request.lastTerm = fields.take<std::uint64_t>();
        return request;
    }

    vote_reply readVoteReply(msgpack_array_reader& fields)
    {
        vote_reply reply;
        reply.preVote = fields.take<bool>();
        reply.granted = fields.take<bool>();
        return reply;
    }

    append_request readAppendRequest(msgpack_array_reader& fields)
    {
        append_request request;
        request.previousIndex = fields.take<std::uint64_t>();
        request.previousTerm = fields.take<std::uint64_t>();
        request.commitIndex = fields.take<std::uint64_t>();
        const msgpack::object& entries = fields.next();
        if (entries.type != msgpack::type::ARRAY)
            throw msgpack::type_error();
        for (std::uint32_t i = 0; i < entries.via.array.size; ++i) {
            msgpack_array_reader entryReader(entries.via.array.ptr[i]);
            request.entries.push_back(readEntry(entryReader));
        }
        return request;
    }

    append_reply readAppendReply(msgpack_array_reader& fields)
    {
        append_reply reply;
        reply.accepted = fields.take<bool>();
        reply.matchIndex = fields.take<std::uint64_t>();
        reply.previousIndex = fields.take<std::uint64_t>();
        return reply;
    }

    void readBody(raft_message& message, body_kind kind, msgpack_array_reader& fields)
    {
        switch (kind) {
        case body_kind::vote_request:
            message.body = readVoteRequest(fields);
            return;
        case body_kind::vote_reply:
            message.body = readVoteReply(fields);
            return;
        case body_kind::append_request:
            message.body = readAppendRequest(fields);
            return;
        case body_kind::append_reply:
            message.body = readAppendReply(fields);
            return;
        case body_kind::snapshot_request:
            message.body = snapshot_request { readSnapshot(fields) };
            return;
        case body_kind::timeout_now_request:
            message.body = timeout_now_request {};
            return;
        case body_kind::incarnation_ended:
            message.body = incarnation_ended { fields.take<std::uint64_t>() };
            return;
        }
        throw msgpack::type_error();
    }

    raft_message readMessage(msgpack_array_reader& fields)
    {
        raft_message message;
        message.from = readMember(fields.next());
        message.to = readMember(fields.next());
        message.term = fields.take<std::uint64_t>();
        const auto kind = static_cast<body_kind>(fields.take<std::uint8_t>());
        msgpack_array_reader body(fields.next());
        readBody(message, kind, body);
        return message;
    }

    raft_hard_state readHardState(msgpack_array_reader& fields)
    {
        raft_hard_state state;
        state.term = fields.take<std::uint64_t>();
        if (const msgpack::object& vote = fields.next(); !vote.is_nil())
            state.votedFor = readMember(vote);
        return state;
    }

} // namespace

std::string encode(const raft_message& message)
{
    return encodeVersioned(formatVersion, messageFields, [&](msgpack_writer& writer) {
        write(writer, message.from);
        write(writer, message.to);
        writer.pack(message.term);
        writer.pack(static_cast<std::uint8_t>(message.body.index())); // the variant has the order of body_kind
        std::visit([&](const auto& body) { writeBody(writer, body); }, message.body);
    });
}

std::string encode(const raft_entry& entry)
{
    return encodeVersioned(formatVersion, entryFields, [&](msgpack_writer& writer) { writeFields(writer, entry); });
}

std::string encode(const raft_snapshot& snapshot)
{
    return encodeVersioned(formatVersion, snapshotFields, [&](msgpack_writer& writer) { writeFields(writer, snapshot); });
}

std::string encode(const raft_hard_state& state)
{
    return encodeVersioned(formatVersion, 2, [&](msgpack_writer& writer) {
        writer.pack(state.term);
        if (state.votedFor)
            write(writer, *state.votedFor);
        else
            writer.pack_nil();
    });
}

result<raft_message> decodeRaftMessage(std::string_view bytes)
{
    return decodeVersioned(formatVersion, bytes, "raft message", readMessage);
}

result<raft_entry> decodeRaftEntry(std::string_view bytes)
{
    return decodeVersioned(formatVersion, bytes, "raft entry", readEntry);
}

result<raft_snapshot> decodeRaftSnapshot(std::string_view bytes)
{
    return decodeVersioned(formatVersion, bytes, "raft snapshot", readSnapshot);
}

result<raft_hard_state> decodeRaftHardState(std::string_view bytes)
{
    return decodeVersioned(formatVersion, bytes, "raft hard state", readHardState);
}

} // namespace jackdaw::protocol
