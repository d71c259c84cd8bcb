// Counters by direction, role and purpose.
#include "apps/shared/traffic_account.h"

namespace jackdaw::apps {
namespace {

    std::string_view toText(traffic_direction direction)
    {
        return direction == traffic_direction::sent ? "sent" : "received";
    }

    std::string_view toText(peer_role peer)
    {
        switch (peer) {
        case peer_role::entry:
            return "entry";
        case peer_role::control:
            return "control";
        case peer_role::upstream:
            return "upstream";
        }
        return "unknown";
    }

} // namespace

traffic_account::traffic_account(state::metrics& all)
    : m_all(all)
{
}

traffic_account::entry& traffic_account::find(traffic_direction direction, peer_role peer, std::string_view purpose)
{
    key name { direction, peer, std::string(purpose) };
    if (const auto found = m_entries.find(name); found != m_entries.end())
        return found->second;
    const state::metric_labels labels { { "direction", std::string(toText(direction)) }, { "peer", std::string(toText(peer)) }, { "purpose", std::string(purpose) } };
    state::counter& messages = m_all.addCounter("jackdaw_traffic_messages_total", "Messages and calls, by direction, role of the peer and purpose.", labels);
    state::counter& bytes = m_all.addCounter("jackdaw_traffic_bytes_total", "Bytes of messages and calls, by direction, role of the peer and purpose.", labels);
    return m_entries.emplace(std::move(name), entry { messages, bytes }).first->second;
}

void traffic_account::add(traffic_direction direction, peer_role peer, std::string_view purpose, std::size_t bytes)
{
    entry& counted = find(direction, peer, purpose);
    counted.messages.add();
    counted.bytes.add(bytes);
}

std::string traffic_account::takeSummary()
{
    std::string out;
    for (auto& [name, counted] : m_entries) {
        const std::uint64_t messages = counted.messages.value() - counted.messagesBefore;
        const std::uint64_t bytes = counted.bytes.value() - counted.bytesBefore;
        counted.messagesBefore += messages;
        counted.bytesBefore += bytes;
        if (messages == 0)
            continue;
        const auto& [direction, peer, purpose] = name;
        out += out.empty() ? "" : " ";
        out += std::string(toText(direction)) + '_' + std::string(toText(peer)) + '_' + purpose + '=' + std::to_string(messages) + '/' + std::to_string(bytes);
    }
    return out;
}

} // namespace jackdaw::apps
