// Encodes and decodes cell messages: an array of the kind and the packed fields.
#include "protocol/cell_messages.h"

#include <algorithm>
#include <array>
#include <optional>
#include <tuple>
#include <utility>

namespace jackdaw::protocol {
namespace {

    template <std::size_t Kind = 0>
    std::optional<cell_message> readFields(std::size_t kind, const msgpack::object& fields)
    {
        if constexpr (Kind < std::variant_size_v<cell_message>) {
            if (kind == Kind)
                return cell_message(fields.as<std::variant_alternative_t<Kind, cell_message>>());
            return readFields<Kind + 1>(kind, fields);
        }
        return std::nullopt;
    }

} // namespace

order_answer makeOrderAnswer(const job_order& order, job_outcome outcome, std::string_view reason, std::uint32_t retryAfterMs)
{
    return { order.id, order.submissionNumber, order.handOverCount, outcome, std::string(reason), retryAfterMs, {}, {} };
}

std::size_t memoryOf(const job_order& order)
{
    const auto ofReport = [](const upstream_report& report) {
        std::size_t bytes = sizeof(report) + report.id.capacity() + report.service.capacity() + report.address.capacity() + report.zone.capacity();
        for (const std::string& label : report.labels)
            bytes += sizeof(std::string) + label.capacity();
        return bytes;
    };
    std::size_t bytes = sizeof(order) + order.id.capacity() + order.cell.capacity() + order.spec.capacity() + order.service.capacity();
    for (const job_step& step : order.steps)
        bytes += sizeof(step) + step.dependsOn.capacity() * sizeof(std::uint32_t) + step.requiredLabel.capacity() + step.dataRack.capacity();
    for (const std::string& task : order.doneTasks)
        bytes += sizeof(std::string) + task.capacity();
    for (const task_failures& failed : order.failures)
        bytes += sizeof(failed) + failed.task.capacity();
    for (const upstream_report& report : order.runsOn)
        bytes += ofReport(report);
    return bytes;
}

void shortenTimeLeft(job_order& order, std::chrono::milliseconds delay)
{
    order.timeLeftMs -= static_cast<std::uint32_t>(std::clamp<std::int64_t>(delay.count(), 0, order.timeLeftMs));
}

bool isNewer(const upstream_report& report, const upstream_report& other)
{
    return std::tie(report.startedUnixMs, report.sequence) > std::tie(other.startedUnixMs, other.sequence);
}

std::string_view kindOf(const cell_message& message)
{
    constexpr std::array<std::string_view, std::variant_size_v<cell_message>> names { "gossip", "directory_request", "control_heartbeat", "directory_update", "configuration", "raft", "job", "job_answer", "job_cancel", "configuration_pull", "upstream_list", "evacuation_state" };
    return names[message.index()];
}

std::string_view toText(job_outcome outcome)
{
    switch (outcome) {
    case job_outcome::completed:
        return "completed";
    case job_outcome::failed:
        return "failed";
    case job_outcome::rejected:
        return "rejected";
    case job_outcome::unfinished:
        return "unfinished";
    case job_outcome::moved:
        return "moved";
    case job_outcome::released:
        return "released";
    case job_outcome::not_owned:
        return "not_owned";
    }
    return "unknown";
}

std::string encodeCellMessage(const cell_message& message)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(2);
    packer.pack(static_cast<std::uint32_t>(message.index()));
    std::visit([&](const auto& fields) { packer.pack(fields); }, message);
    return { buffer.data(), buffer.size() };
}

result<cell_message> decodeCellMessage(std::string_view bytes)
{
    auto message = unpackWith(bytes, messageOptions, [](const msgpack::object& object) -> std::optional<cell_message> {
        if (object.type != msgpack::type::ARRAY || object.via.array.size < 2)
            throw msgpack::type_error();
        return readFields(object.via.array.ptr[0].as<std::uint32_t>(), object.via.array.ptr[1]);
    });
    if (!message)
        return message.error();
    if (!message.value())
        return makeError(error_kind::malformed_request, "cell message of unknown kind");
    return std::move(*message.value());
}

} // namespace jackdaw::protocol
