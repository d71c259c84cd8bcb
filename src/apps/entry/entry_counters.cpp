// Counters and their text form.
#include "apps/entry/entry_counters.h"

#include <string_view>

namespace jackdaw::entry {

using protocol::ran_state;

namespace {

    constexpr std::array<std::string_view, static_cast<std::size_t>(message_purpose::count)> purposeNames {
        "task", "job", "retry", "settle", "stop", "forward", "claim", "heartbeat", "lease", "announce", "config"
    };

    void appendSample(std::string& page, std::string_view name, std::string_view label, std::string_view value, std::uint64_t count)
    {
        page += name;
        if (!label.empty())
            page.append("{").append(label).append("=\"").append(value).append("\"}");
        page.append(" ").append(std::to_string(count)).append("\n");
    }

    void appendType(std::string& page, std::string_view name)
    {
        page.append("# TYPE ").append(name).append(" counter\n");
    }

} // namespace

void entry_counters::countMessages(message_purpose purpose, std::uint64_t count)
{
    m_messages[static_cast<std::size_t>(purpose)].fetch_add(count, std::memory_order_relaxed);
}

void entry_counters::countAnswer(const protocol::job_answer& answer)
{
    if (const auto* failure = std::get_if<protocol::job_failure>(&answer))
        m_failures[static_cast<std::size_t>(failure->kind)].fetch_add(1, std::memory_order_relaxed);
    else
        m_complete.fetch_add(1, std::memory_order_relaxed);
}

void entry_counters::countStart()
{
    m_starts.fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t entry_counters::starts() const
{
    return m_starts.load(std::memory_order_relaxed);
}

std::string entry_counters::toPrometheus() const
{
    std::string page;
    appendType(page, "jackdaw_messages_total");
    for (std::size_t i = 0; i < purposes; ++i)
        appendSample(page, "jackdaw_messages_total", "purpose", purposeNames[i], m_messages[i].load(std::memory_order_relaxed));
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    appendType(page, "jackdaw_refusals_total");
    for (const protocol::error_answer& row : protocol::errorTable()) {
        const std::uint64_t count = m_failures[static_cast<std::size_t>(row.kind)].load(std::memory_order_relaxed);
        (row.ran == ran_state::no ? refused : failed) += count;
        if (count > 0)
            appendSample(page, "jackdaw_refusals_total", "kind", row.name, count);
    }
    appendType(page, "jackdaw_jobs_total");
    appendSample(page, "jackdaw_jobs_total", "state", "complete", m_complete.load(std::memory_order_relaxed));
    appendSample(page, "jackdaw_jobs_total", "state", "failed", failed);
    appendSample(page, "jackdaw_jobs_total", "state", "refused", refused);
    appendType(page, "jackdaw_starts_total");
    appendSample(page, "jackdaw_starts_total", {}, {}, starts());
    return page;
}

} // namespace jackdaw::entry
