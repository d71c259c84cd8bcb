// Pushes and answers to pulls.
#include "apps/control/rules_publisher.h"

namespace jackdaw::control {
namespace {

    constexpr protocol::duration silenceLimit = std::chrono::seconds(5);

} // namespace

rules_publisher::rules_publisher(std::vector<std::string> entryHosts, send_hook send)
    : m_send(std::move(send))
{
    for (std::string& host : entryHosts)
        m_entries.emplace(std::move(host), entry_state {});
}

void rules_publisher::publish(std::uint64_t version, std::string text, bool isLeader)
{
    m_version = version;
    m_text = std::move(text);
    if (!isLeader)
        return;
    for (const auto& [host, entry] : m_entries)
        push(host);
}

void rules_publisher::onPull(protocol::time_point now, std::string_view host, std::uint64_t version)
{
    const auto found = m_entries.find(host);
    if (found == m_entries.end())
        return;
    found->second = { version, now, true };
    if (version < m_version)
        push(found->first);
}

void rules_publisher::pushAgain(protocol::time_point now)
{
    for (const auto& [host, entry] : m_entries) {
        const bool isSilent = entry.wasHeard && entry.heardAt + silenceLimit < now;
        if (entry.version < m_version && !isSilent)
            push(host);
    }
}

std::vector<entry_host_version> rules_publisher::versions(protocol::time_point now) const
{
    std::vector<entry_host_version> versions;
    for (const auto& [host, entry] : m_entries)
        versions.push_back({ host, entry.version, entry.wasHeard && now <= entry.heardAt + silenceLimit });
    return versions;
}

void rules_publisher::push(const std::string& host)
{
    m_send(host, protocol::rules_push { m_version, m_text });
}

} // namespace jackdaw::control
