// Msgpack encoding of the messages between entry hosts: each message is the array [version, kind, fields...].
#include "protocol/mesh_messages.h"

#include "protocol/internal/msgpack_array.h"
#include "protocol/msgpack_codec.h"

#include <xxhash.h>

#include <algorithm>

namespace jackdaw::protocol {
namespace {

    using internal::msgpack_array_reader;
    using packer = internal::msgpack_writer;

    constexpr std::uint32_t formatVersion = 1;
    constexpr std::uint32_t headerFieldCount = 2; // version and kind

    enum class message_kind : std::uint32_t {
        heartbeat = 1,
        job_forward = 2,
        job_forward_answer = 3,
        job_withdrawal = 4,
        service = 5
    };

    template <typename... Fields>
    void packFields(packer& out, const Fields&... fields)
    {
        (out.pack(fields), ...);
    }

    void packHeader(packer& out, message_kind kind, std::uint32_t fields)
    {
        out.pack_array(headerFieldCount + fields);
        packFields(out, formatVersion, static_cast<std::uint32_t>(kind));
    }

    void readDuration(msgpack_array_reader& in, duration& out)
    {
        std::int64_t microseconds = out.count();
        in.read(microseconds);
        out = duration(microseconds);
    }

    void packSubmission(packer& out, const submission_id& id)
    {
        internal::writeBytes(out, { reinterpret_cast<const char*>(id.data), id.size() });
    }

    void readSubmission(msgpack_array_reader& in, submission_id& out)
    {
        const std::string bytes = internal::takeBytes(in);
        if (bytes.size() != out.size())
            throw msgpack::type_error();
        std::copy(bytes.begin(), bytes.end(), out.begin());
    }

    // Resources.

    void packResources(packer& out, const resources& value)
    {
        packFields(out, value.millicores, value.memoryMb, value.accelerators);
    }

    void readResources(msgpack_array_reader& in, resources& out)
    {
        in.read(out.millicores);
        in.read(out.memoryMb);
        in.read(out.accelerators);
    }

    // Announcements.

    void packAnnouncement(packer& out, const announcement& value)
    {
        constexpr std::uint32_t fields = 12;
        out.pack_array(fields);
        packFields(out, value.name, value.incarnation, value.host, value.port, value.zone, value.slots, value.connections,
            static_cast<std::uint32_t>(value.state), static_cast<std::int64_t>(value.ttl.count()));
        packResources(out, value.capacity);
    }

    void readAnnouncement(msgpack_array_reader& in, announcement& out)
    {
        std::uint32_t state = 0;
        in.read(out.name);
        in.read(out.incarnation);
        in.read(out.host);
        in.read(out.port);
        in.read(out.zone);
        in.read(out.slots);
        in.read(out.connections);
        in.read(state);
        readDuration(in, out.ttl);
        readResources(in, out.capacity);
        out.state = state == 0 ? upstream_state::serving : upstream_state::leaving;
    }

    void readRelayed(msgpack_array_reader& in, relayed_announcement& out)
    {
        readDuration(in, out.age);
        msgpack_array_reader inner(in.next());
        readAnnouncement(inner, out.content);
    }

    // Heartbeats.

    void pack(packer& out, const heartbeat& message)
    {
        packHeader(out, message_kind::heartbeat, 6);
        packFields(out, message.zone, message.isDraining, message.rulesVersion);
        out.pack_array(static_cast<std::uint32_t>(message.changed.size()));
        for (const relayed_announcement& one : message.changed) {
            out.pack_array(2);
            out.pack(static_cast<std::int64_t>(one.age.count()));
            packAnnouncement(out, one.content);
        }
        out.pack_array(static_cast<std::uint32_t>(message.refreshed.size()));
        for (const refreshed_announcement& one : message.refreshed) {
            out.pack_array(2);
            packFields(out, one.contentHash, static_cast<std::int64_t>(one.age.count()));
        }
        out.pack(message.requestedHashes);
    }

    heartbeat readHeartbeat(msgpack_array_reader& in)
    {
        heartbeat out;
        in.read(out.zone);
        in.read(out.isDraining);
        in.read(out.rulesVersion);
        in.readRecords(out.changed, readRelayed);
        in.readRecords(out.refreshed, [](msgpack_array_reader& inner, refreshed_announcement& one) {
            inner.read(one.contentHash);
            readDuration(inner, one.age);
        });
        in.read(out.requestedHashes);
        return out;
    }

    // Jobs.

    void packTask(packer& out, const task_spec& task)
    {
        constexpr std::uint32_t fields = 5;
        out.pack_array(fields);
        packFields(out, task.payload, static_cast<std::int64_t>(task.expectedRunTime.count()));
        packResources(out, task.need);
    }

    void readTask(msgpack_array_reader& in, task_spec& out)
    {
        in.read(out.payload);
        readDuration(in, out.expectedRunTime);
        readResources(in, out.need);
    }

    void pack(packer& out, const job_forward& message)
    {
        const job_request& job = message.job;
        packHeader(out, message_kind::job_forward, 12);
        packFields(out, message.requestId, message.hops, message.isDetached);
        packSubmission(out, job.submission);
        packFields(out, job.client, job.team, job.zone, static_cast<std::int64_t>(job.deadline.count()), job.idempotent,
            job.firstAttempt, job.bodyHash);
        out.pack_array(static_cast<std::uint32_t>(job.tasks.size()));
        for (const task_spec& task : job.tasks)
            packTask(out, task);
    }

    job_forward readForward(msgpack_array_reader& in)
    {
        job_forward out;
        in.read(out.requestId);
        in.read(out.hops);
        in.read(out.isDetached);
        readSubmission(in, out.job.submission);
        in.read(out.job.client);
        in.read(out.job.team);
        in.read(out.job.zone);
        readDuration(in, out.job.deadline);
        in.read(out.job.idempotent);
        in.read(out.job.firstAttempt);
        in.read(out.job.bodyHash);
        in.readRecords(out.job.tasks, readTask);
        if (out.job.tasks.empty() || out.job.deadline <= duration::zero())
            throw msgpack::type_error();
        return out;
    }

    // Answers. A failure is encoded by the name of its kind, because names are stable across releases.

    error_kind kindFromName(std::string_view name)
    {
        const auto rows = errorTable();
        const auto found = std::find_if(rows.begin(), rows.end(), [name](const error_answer& row) { return row.name == name; });
        return found == rows.end() ? error_kind::internal : found->kind;
    }

    void pack(packer& out, const job_forward_answer& message)
    {
        const auto* failure = std::get_if<job_failure>(&message.answer);
        packHeader(out, message_kind::job_forward_answer, failure ? 6 : 4);
        out.pack(message.requestId);
        packSubmission(out, message.submission);
        out.pack(failure == nullptr);
        if (failure)
            packFields(out, std::string(errorAnswer(failure->kind).name), failure->detail, static_cast<std::int64_t>(failure->retryAfter.count()));
        else
            out.pack(std::get<job_results>(message.answer).bodies);
    }

    job_failure readFailure(msgpack_array_reader& in)
    {
        job_failure out;
        std::string kind;
        in.read(kind);
        in.read(out.detail);
        readDuration(in, out.retryAfter);
        out.kind = kindFromName(kind);
        return out;
    }

    job_results readResults(msgpack_array_reader& in)
    {
        job_results out;
        out.bodies = in.take<std::vector<std::string>>();
        return out;
    }

    job_forward_answer readForwardAnswer(msgpack_array_reader& in)
    {
        job_forward_answer out;
        bool isComplete = false;
        in.read(out.requestId);
        readSubmission(in, out.submission);
        in.read(isComplete);
        if (isComplete)
            out.answer = readResults(in);
        else
            out.answer = readFailure(in);
        return out;
    }

    void pack(packer& out, const job_withdrawal& message)
    {
        packHeader(out, message_kind::job_withdrawal, 2);
        packFields(out, message.requestId, message.cancelsJob);
    }

    job_withdrawal readWithdrawal(msgpack_array_reader& in)
    {
        job_withdrawal out;
        in.read(out.requestId);
        in.read(out.cancelsJob);
        return out;
    }

    void pack(packer& out, const service_message& message)
    {
        packHeader(out, message_kind::service, 3);
        packFields(out, static_cast<std::uint32_t>(message.service), message.bytes, message.scope);
    }

    service_message readService(msgpack_array_reader& in)
    {
        service_message out;
        std::uint32_t service = 0;
        in.read(service);
        in.read(out.bytes);
        in.read(out.scope);
        if (service > static_cast<std::uint32_t>(mesh_service::configuration))
            throw msgpack::type_error();
        out.service = static_cast<mesh_service>(service);
        return out;
    }

    mesh_message readBody(message_kind kind, msgpack_array_reader& in)
    {
        switch (kind) {
        case message_kind::heartbeat:
            return readHeartbeat(in);
        case message_kind::job_forward:
            return readForward(in);
        case message_kind::job_forward_answer:
            return readForwardAnswer(in);
        case message_kind::job_withdrawal:
            return readWithdrawal(in);
        case message_kind::service:
            return readService(in);
        }
        throw msgpack::type_error();
    }

    mesh_message readMessage(const msgpack::object& object)
    {
        msgpack_array_reader in(object);
        std::uint32_t version = 0;
        std::uint32_t kind = 0;
        in.read(version);
        in.read(kind);
        if (version == 0)
            throw msgpack::type_error();
        return readBody(static_cast<message_kind>(kind), in);
    }

} // namespace

std::string encode(const mesh_message& message)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    std::visit([&out](const auto& body) { pack(out, body); }, message);
    return { buffer.data(), buffer.size() };
}

result<mesh_message> decodeMeshMessage(std::string_view bytes)
{
    return unpackWith(bytes, messageOptions, readMessage);
}

std::uint64_t contentHash(const announcement& announcement)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    packAnnouncement(out, announcement);
    return XXH3_64bits(buffer.data(), buffer.size());
}

} // namespace jackdaw::protocol
